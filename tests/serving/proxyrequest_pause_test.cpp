#include "proxyfixture.h"

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

/// An upstream that stands still with a full accept queue until resume(), and then responds to each
/// request as if its id were "b".
class PausedUpstream
{
public:
    using Tcp = boost::asio::ip::tcp;

    PausedUpstream()
    {
        const Tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
        m_acceptor.open(any.protocol());
        m_acceptor.bind(any);
        m_acceptor.listen(0);
        for (Tcp::socket &socket : m_queued) {
            socket.open(any.protocol());
            socket.async_connect(m_acceptor.local_endpoint(), [](const auto &) {});
        }
    }
    ~PausedUpstream()
    {
        m_isStopped = true;
        if (m_thread.joinable())
            m_thread.join();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    void resume()
    {
        m_acceptor.non_blocking(true);
        m_thread = std::thread([this] {
            while (!m_isStopped) {
                accept();
                for (auto &[socket, text] : m_connections)
                    respond(socket, text);
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
            }
        });
    }

private:
    void accept()
    {
        boost::system::error_code error;
        Tcp::socket socket = m_acceptor.accept(error);
        if (error)
            return;
        socket.non_blocking(true);
        m_connections.emplace_back(std::move(socket), std::string());
    }

    static void respond(Tcp::socket &socket, std::string &text)
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code error;
        const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
        if (error)
            return;
        text.append(buffer.data(), size);
        if (text.find("\r\n\r\n") == std::string::npos)
            return;
        text.clear();
        boost::asio::write(socket, boost::asio::buffer(completeResponse("b", "done")), error);
    }

    boost::asio::io_context m_context;
    Tcp::acceptor m_acceptor{m_context};
    std::array<Tcp::socket, 4> m_queued{Tcp::socket(m_context), Tcp::socket(m_context),
                                        Tcp::socket(m_context), Tcp::socket(m_context)};
    std::vector<std::pair<Tcp::socket, std::string>> m_connections;
    std::atomic<bool> m_isStopped{false};
    std::thread m_thread;
};

/// Ejections are as short as in a deployment.
struct PlatformEjections
{
    PlatformEjections()
    {
        outlierSettings.firstEjection = absl::Milliseconds(500);
        outlierSettings.maxEjection = absl::Seconds(3);
        outlierSettings.rampUpTime = absl::Seconds(1);
    }
    ~PlatformEjections() { outlierSettings = policy::OutlierSettings(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProxyRequestPauseTest, PlatformEjections)

// Guards against requests that are refused for seconds after a pause, because connections that were
// not answered while the accept queue was full count as proof that nothing responds at the address.
BOOST_AUTO_TEST_CASE(upstreamGetsRequestsAgainOneSecondAfterItsPause)
{
    PausedUpstream upstream;
    const ScriptedUpstreams unused({}, 1);
    Entry entry(unused, routeOf(RouteKind::Idempotent, 1));
    entry.thread.run([&] {
        entry.slotClient.setUpstreams({{"u1", "s", upstream.address(), "d", 4, false, ""}}, 1,
                                      SystemClock::instance().now());
    });
    std::thread former([&] { (void)entry.sendRequest("a"); });
    // Longer than an attempt to connect.
    absl::SleepFor(absl::Milliseconds(1200));
    upstream.resume();
    absl::SleepFor(absl::Seconds(1));
    const std::string response = entry.sendRequest("b");
    BOOST_TEST(contains(response, "done"), response);
    former.join();
}

// Guards against a request that is refused although its only upstream accepts connections again 0.2
// s after the attempt to connect, well before the deadline.
BOOST_AUTO_TEST_CASE(requestThatWasNotSentIsServedAfterThePause)
{
    PausedUpstream upstream;
    const ScriptedUpstreams unused({}, 1);
    Entry entry(unused, routeOf(RouteKind::NonIdempotent, 1));
    entry.thread.run([&] {
        entry.slotClient.setUpstreams({{"u1", "s", upstream.address(), "d", 4, false, ""}}, 1,
                                      SystemClock::instance().now());
    });
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("b"); });
    absl::SleepFor(absl::Milliseconds(1200));
    upstream.resume();
    caller.join();
    BOOST_TEST(contains(response, "done"), response);
}

BOOST_AUTO_TEST_SUITE_END()
