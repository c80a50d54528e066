#include "instancelistclient.h"

#include "endlessserver.h"
#include "loopthread.h"

#include "absl/synchronization/notification.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

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
            client->readPage("", [&](const auto &outcome) {
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

// Guards against a reader that calls on because it can't tell a platform that rejects calls from
// one that is down.
BOOST_AUTO_TEST_CASE(rejectionBecauseOfTooManyCallsIsTyped)
{
    const std::pair<std::string, ErrorCode> rows[] = {
            {"429 Too Many Requests", ErrorCode::RateLimited},
            {"503 Service Unavailable", ErrorCode::UpstreamUnavailable},
    };
    for (const auto &[status, code] : rows) {
        net::EndlessServer server("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n", "");
        net::LoopThread thread;
        std::unique_ptr<InstanceListClient> client;
        absl::Notification ended;
        ErrorCode seen = ErrorCode::Internal;
        thread.run([&] {
            client = std::make_unique<InstanceListClient>(thread.loop(), server.address());
            client->readPage("", [&](const auto &outcome) {
                seen = outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
                ended.Notify();
            });
        });
        BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        BOOST_TEST((seen == code));
        thread.run([&] { client.reset(); });
    }
}

// Guards against a list that is not followed, or a process that ends, because another writer left
// one odd entry: it names no upstream, and the others hold.
BOOST_AUTO_TEST_CASE(oddEntryDoesNotAffectTheOthers)
{
    const auto entry = [](const std::string &extra) {
        return "{\"id\":\"i\",\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\"" + extra + "}";
    };
    const std::string address = ",\"address\":\"10.0.0.2:80\"";
    const std::string slots = ",\"slots\":8";
    const std::string deep = std::string(1500000, '[') + std::string(1500000, ']');
    const std::string odd[] = {
            entry(address + ",\"slots\":1e999"),
            entry(address + slots + ",\"cold-remaining-ms\":1e999"),
            entry(address + slots + ",\"models\":" + deep),
            deep,
            entry(address + ",\"slots\":9223372036854775807"),
            entry(address + ",\"slots\":18446744073709551615"),
            entry(address + ",\"slots\":99999999999999999999999"),
            entry(address + ",\"slots\":0"),
            entry(slots + ",\"address\":\"10.0.0.2:99999\""),
            entry(slots + ",\"address\":\"10.0.0.2:0\""),
            entry(slots + ",\"address\":\"10.0.0.2:-1\""),
            entry(slots + ",\"address\":\"10.0.0.2\""),
            entry(slots + ",\"address\":\":80\""),
            entry(slots + address + ",\"id\":\"i\\r\\nX: 1\""),
            entry(slots + address + ",\"id\":\"i\\n\""),
            "\"\xff\xfe\"",
            "null",
            "7",
    };
    for (const std::string &text : odd) {
        BOOST_TEST_INFO_SCOPE(text.substr(0, 200));
        const std::string sound = entry(address + slots + ",\"version\":\"v2\"");
        const std::string body =
                "{\"instances\":[" + sound + "," + text + "," + sound + "],\"next\":\"p\"}";
        const auto page = outcomeOf([&] { return decodeInstancePage(body); });
        BOOST_TEST_REQUIRE(page.ok());
        BOOST_TEST_REQUIRE(page.value().upstreams.size() == 2u);
        BOOST_TEST(page.value().upstreams[1].address == "10.0.0.2:80");
        BOOST_TEST(page.value().upstreams[1].version == "v2");
        BOOST_TEST(page.value().skipped == 1);
        BOOST_TEST(page.value().nextPage == "p");
    }
}

// Guards against a call to the platform with another one inside.
BOOST_AUTO_TEST_CASE(nextPageThatIsNoPartOfATargetIsUnreadable)
{
    for (const std::string next : {"p\\r\\nX: 1", "p q", "p\\n", "p\\u0000"}) {
        const std::string body = R"({"instances":[],"next":")" + next + R"("})";
        BOOST_TEST(!outcomeOf([&] { return decodeInstancePage(body); }).ok(), next);
    }
}

// Guards against an upstream that gets no requests because the time for which it remains cold can't
// be read, against such a time that is used, and against a fault that no log line can name.
BOOST_AUTO_TEST_CASE(unreadableColdTimeDoesNotAffectTheUpstream)
{
    struct Row
    {
        std::string field;
        std::int64_t remainingMs;
        bool isReadable;
    };
    const Row rows[] = {
            {"", -1, true},
            {",\"cold-remaining-ms\":0", 0, true},
            {",\"cold-remaining-ms\":1500.4", 1500, true},
            {",\"cold-remaining-ms\":3600000", 3600000, true},
            {",\"cold-remaining-ms\":3600001", -1, false},
            {",\"cold-remaining-ms\":-1", -1, false},
            {",\"cold-remaining-ms\":1e300", -1, false},
            {",\"cold-remaining-ms\":99999999999999999999999", -1, false},
            {",\"cold-remaining-ms\":\"1500\"", -1, false},
            {",\"cold-remaining-ms\":null", -1, false},
            {",\"cold-remaining-ms\":[1500]", -1, false},
    };
    for (const Row &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.field);
        const std::string body = "{\"instances\":[{\"id\":\"i\",\"service\":\"s\",\"zone\":\"z\","
                                 "\"state\":\"ready\",\"address\":\"10.0.0.2:80\",\"slots\":8"
                                 + row.field + "}]}";
        std::vector<std::string> unreadable;
        const auto page = outcomeOf([&] {
            return decodeInstancePage(body,
                                      [&](const std::string &upstream, std::string_view field) {
                                          unreadable.push_back(upstream + " " + std::string(field));
                                      });
        });
        BOOST_TEST_REQUIRE(page.value().upstreams.size() == 1u);
        BOOST_TEST(page.value().upstreams[0].coldRemainingMs == row.remainingMs);
        const std::vector<std::string> expected = {"i cold-remaining-ms"};
        BOOST_TEST((unreadable == (row.isReadable ? std::vector<std::string>() : expected)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
