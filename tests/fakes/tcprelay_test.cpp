#include "rattanrill/fakes/tcprelay.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <poll.h>

#include <chrono>
#include <string>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

using boost::asio::ip::tcp;

const std::string loopback = "127.0.0.1";
/// Timeout for bytes that must arrive. Long, because it expires only when a test fails.
constexpr int arrivalTimeoutMs = 10000;
/// Wait time for bytes that must not arrive: a faulty relay would deliver them within microseconds.
constexpr int absenceTimeoutMs = 100;

bool isReadable(tcp::socket &socket, int timeoutMs)
{
    pollfd descriptor{socket.native_handle(), POLLIN, 0};
    return ::poll(&descriptor, 1, timeoutMs) == 1;
}

std::string receive(tcp::socket &socket)
{
    if (!isReadable(socket, arrivalTimeoutMs))
        return "(nothing)";
    std::array<char, 256> buffer{};
    boost::system::error_code error;
    const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
    if (error)
        return error == boost::asio::error::eof ? "(end)" : "(reset)";
    return std::string(buffer.data(), size);
}

void send(tcp::socket &socket, const std::string &text)
{
    boost::asio::write(socket, boost::asio::buffer(text));
}

/// A client, a relay and the server that the relay connects to.
struct Fixture
{
    Fixture()
        : acceptor(context, tcp::endpoint(boost::asio::ip::make_address(loopback), 0))
        , relay({loopback, 0},
                [port = acceptor.local_endpoint().port()] {
                    return RelayAddress{loopback, port};
                })
        , port(outcomeOf([this] { return relay.start(); }).value())
        , client(context)
        , server(context)
    {}

    void connectClient()
    {
        client.connect(tcp::endpoint(boost::asio::ip::make_address(loopback),
                                     static_cast<unsigned short>(port)));
    }

    bool connectionArrives(int timeoutMs)
    {
        pollfd descriptor{acceptor.native_handle(), POLLIN, 0};
        return ::poll(&descriptor, 1, timeoutMs) == 1;
    }

    void connect()
    {
        connectClient();
        BOOST_TEST_REQUIRE(connectionArrives(arrivalTimeoutMs));
        acceptor.accept(server);
    }

    /// Sends up to \a size bytes from the client; fewer if the relay takes no more.
    void upload(std::size_t size)
    {
        const std::string bytes(size, 'x');
        client.non_blocking(true);
        pollfd descriptor{client.native_handle(), POLLOUT, 0};
        for (std::size_t sent = 0; sent < size;) {
            if (::poll(&descriptor, 1, absenceTimeoutMs) != 1)
                return;
            boost::system::error_code ignored;
            sent += client.write_some(boost::asio::buffer(bytes.data() + sent, size - sent),
                                      ignored);
        }
    }

    bool waitUntilBytesLost(std::int64_t bytes) const
    {
        const auto end =
                std::chrono::steady_clock::now() + std::chrono::milliseconds(arrivalTimeoutMs);
        while (relay.counters().droppedBytes < bytes && std::chrono::steady_clock::now() < end)
            std::this_thread::yield();
        return relay.counters().droppedBytes == bytes;
    }

    static LinkFaults forward(LinkMode mode)
    {
        LinkFaults faults;
        faults.forward.mode = mode;
        return faults;
    }

    boost::asio::io_context context;
    tcp::acceptor acceptor;
    TcpRelay relay;
    int port;
    tcp::socket client;
    tcp::socket server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TcpRelayTest, Fixture)

// Guards against a relay that loses bytes, or that closes both directions when one ends.
BOOST_AUTO_TEST_CASE(bytesAndHalfCloseAreRelayedInBothDirections)
{
    connect();
    send(client, "ask");
    BOOST_TEST(receive(server) == "ask");
    client.shutdown(tcp::socket::shutdown_send);
    BOOST_TEST(receive(server) == "(end)");
    // A half-closed connection still relays the response.
    send(server, "answer");
    server.close();
    BOOST_TEST(receive(client) == "answer");
    BOOST_TEST(receive(client) == "(end)");
}

// Guards against a held direction that delivers or loses bytes, and against a hold that also
// affects the other direction.
BOOST_AUTO_TEST_CASE(heldBytesArriveAfterHealWhileTheOtherDirectionPasses)
{
    connect();
    relay.setFaults(forward(LinkMode::Hold));
    send(client, "held");
    send(server, "answer");
    BOOST_TEST(receive(client) == "answer");
    BOOST_TEST(!isReadable(server, absenceTimeoutMs));
    relay.setFaults({});
    BOOST_TEST(receive(server) == "held");
}

// Guards against a relay that passes on the close of a held connection: in a network partition the
// other side does not see it.
BOOST_AUTO_TEST_CASE(endOfAHeldConnectionArrivesOnlyAfterHeal)
{
    connect();
    relay.setFaults(forward(LinkMode::Hold));
    client.close();
    BOOST_TEST(!isReadable(server, absenceTimeoutMs));
    relay.setFaults({});
    BOOST_TEST(receive(server) == "(end)");
}

// Guards against a stream that continues with missing bytes after a drop.
BOOST_AUTO_TEST_CASE(connectionThatLostBytesIsResetOnHeal)
{
    connect();
    relay.setFaults(forward(LinkMode::Drop));
    send(client, "lost");
    BOOST_TEST_REQUIRE(waitUntilBytesLost(4));
    BOOST_TEST(!isReadable(server, 0));
    relay.setFaults({});
    BOOST_TEST(receive(server) == "(reset)");
    BOOST_TEST(receive(client) == "(reset)");
}

// Guards against a relay that passes on the reset of a connection as its orderly end, which makes a
// part of a response without a length the whole one.
BOOST_AUTO_TEST_CASE(resetDuringAnUploadIsPassedOn)
{
    constexpr std::size_t step = std::size_t(512) << 10;
    // Of some size, the relay has read the whole upload and can't write it yet.
    for (std::size_t size = step; size <= 12 * step; size += step) {
        BOOST_TEST_INFO_SCOPE(size);
        Fixture link;
        link.acceptor.set_option(tcp::socket::receive_buffer_size(4096));
        link.connect();
        link.upload(size);
        send(link.server, "part");
        BOOST_TEST(receive(link.client) == "part");
        link.server.set_option(tcp::socket::linger(true, 0));
        link.server.close();
        BOOST_TEST(receive(link.client) == "(reset)");
    }
}

// Guards against a relay that connects to the target while the link is held.
BOOST_AUTO_TEST_CASE(newConnectionReachesTheTargetOnlyAfterHeal)
{
    relay.setFaults(forward(LinkMode::Hold));
    connectClient();
    send(client, "first");
    BOOST_TEST(!connectionArrives(absenceTimeoutMs));
    relay.setFaults({});
    BOOST_TEST_REQUIRE(connectionArrives(arrivalTimeoutMs));
    acceptor.accept(server);
    BOOST_TEST(receive(server) == "first");
}

// Guards against a delay that has no effect or is too short.
BOOST_AUTO_TEST_CASE(delayedBytesArriveNoEarlierThanTheDelay)
{
    constexpr absl::Duration delay = absl::Milliseconds(60);
    LinkFaults faults;
    faults.forward.delay = delay;
    relay.setFaults(faults);
    connect();
    const auto sent = std::chrono::steady_clock::now();
    send(client, "late");
    BOOST_TEST(receive(server) == "late");
    BOOST_TEST((std::chrono::steady_clock::now() - sent >= absl::ToChronoMilliseconds(delay)));
}

BOOST_AUTO_TEST_SUITE_END()
