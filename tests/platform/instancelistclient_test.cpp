#include "instancelistclient.h"

#include "endlessserver.h"
#include "loopthread.h"

#include "absl/synchronization/notification.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace rattanrill;
using namespace rattanrill::platform;

BOOST_AUTO_TEST_SUITE(InstanceListClientTest)

// Guards against a list without end: in its head, in a page, or in a page that arrives slowly. The
// read must fail and close the connection.
BOOST_AUTO_TEST_CASE(listWithoutEndFailsTheRead)
{
    struct Row
    {
        std::string prefix;
        std::string filler;
        absl::Duration pause;
    };
    const std::string filler(65536, ' ');
    const Row rows[] = {
            {"HTTP/1.1 200 OK\r\nX: ", filler, absl::ZeroDuration()},
            {"HTTP/1.1 200 OK\r\n\r\n", filler, absl::ZeroDuration()},
            {"HTTP/1.1 200 OK\r\n\r\n", " ", absl::Milliseconds(20)},
    };
    for (const Row &row : rows) {
        net::EndlessServer server(row.prefix, row.filler, row.pause);
        net::LoopThread thread;
        std::unique_ptr<InstanceListClient> client;
        absl::Notification ended;
        bool isOk = true;
        thread.run([&] {
            client = std::make_unique<InstanceListClient>(thread.loop(), server.address());
            client->read([&](const auto &outcome) {
                isOk = outcome.ok();
                ended.Notify();
            });
        });
        BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        BOOST_TEST(!isOk);
        BOOST_TEST(server.awaitClose());
        // Far below what the server could send in the time that a page may take.
        BOOST_TEST(server.sentBytes() < (std::size_t(64) << 20));
        thread.run([&] { client.reset(); });
    }
}

BOOST_AUTO_TEST_SUITE_END()
