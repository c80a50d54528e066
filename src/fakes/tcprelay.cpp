#include "rattanrill/fakes/tcprelay.h"

#include "rattanrill/base/concat.h"
#include "relayconnection.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <thread>
#include <utility>

namespace rattanrill::fakes {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

Result<tcp::endpoint> endpointOf(const RelayAddress &address)
{
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.host, error);
    if (error)
        return fail(notRun(ErrorCode::InvalidArgument,
                           concat("\"", address.host, "\" is not an IP address")));
    return tcp::endpoint(ip, static_cast<unsigned short>(address.port));
}

} // namespace

struct TcpRelay::State
{
    State(RelayAddress listen, TargetSelector selectTarget)
        : listen(std::move(listen))
        , selectTarget(std::move(selectTarget))
        , acceptor(context)
    {}

    Result<int> bind();
    void accept();
    void serve(tcp::socket client);
    void removeConnection(std::int64_t id);
    void countLostBytes(std::size_t bytes);

    RelayAddress listen;
    TargetSelector selectTarget;
    boost::asio::io_context context;
    tcp::acceptor acceptor;
    /// Used on the relay's thread only.
    std::map<std::int64_t, std::shared_ptr<RelayConnection>> connections;
    std::int64_t lastConnection = 0;
    std::thread thread;
    mutable absl::Mutex mutex;
    LinkFaults faults ABSL_GUARDED_BY(mutex);
    RelayCounters counters ABSL_GUARDED_BY(mutex);
};

Result<int> TcpRelay::State::bind()
{
    BOOST_LEAF_AUTO(endpoint, endpointOf(listen));
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(tcp::acceptor::max_listen_connections, error);
    if (error)
        return fail(notRun(ErrorCode::AddressInUse, concat("cannot listen on ", listen.host, ":",
                                                           listen.port, ": ", error.message())));
    return acceptor.local_endpoint().port();
}

void TcpRelay::State::accept()
{
    acceptor.async_accept([this](const error_code &error, tcp::socket client) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error)
            serve(std::move(client));
        accept();
    });
}

void TcpRelay::State::serve(tcp::socket client)
{
    const std::optional<RelayAddress> address = selectTarget();
    const auto target = outcomeOf([&]() -> Result<tcp::endpoint> {
        if (!address)
            return fail(notRun(ErrorCode::UpstreamUnavailable, "no target available"));
        return endpointOf(*address);
    });
    LinkFaults current;
    {
        absl::MutexLock lock(&mutex);
        ++(target.ok() ? counters.accepted : counters.refused);
        counters.open += target.ok() ? 1 : 0;
        current = faults;
    }
    if (!target.ok())
        return;
    const std::int64_t id = ++lastConnection;
    const auto connection = std::make_shared<RelayConnection>(
            context, std::move(client), target.value(),
            RelayConnection::Callbacks{[this, id] { removeConnection(id); },
                                       [this](std::size_t bytes) { countLostBytes(bytes); }});
    connections[id] = connection;
    connection->start(current);
}

void TcpRelay::State::removeConnection(std::int64_t id)
{
    // Erased in a posted handler, because RelayConnection::apply() may call this function while
    // TcpRelay::setFaults() iterates over the map.
    boost::asio::post(context, [this, id] { connections.erase(id); });
    absl::MutexLock lock(&mutex);
    --counters.open;
}

void TcpRelay::State::countLostBytes(std::size_t bytes)
{
    absl::MutexLock lock(&mutex);
    counters.droppedBytes += static_cast<std::int64_t>(bytes);
}

TcpRelay::TcpRelay(RelayAddress listen, TargetSelector selectTarget)
    : m_state(std::make_shared<State>(std::move(listen), std::move(selectTarget)))
{}

TcpRelay::~TcpRelay()
{
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

Result<int> TcpRelay::start()
{
    BOOST_LEAF_AUTO(port, m_state->bind());
    m_state->accept();
    m_state->thread = std::thread([state = m_state.get()] { state->context.run(); });
    return port;
}

void TcpRelay::setFaults(const LinkFaults &faults)
{
    absl::Notification applied;
    boost::asio::post(m_state->context, [&, state = m_state.get()] {
        {
            absl::MutexLock lock(&state->mutex);
            state->faults = faults;
        }
        for (const auto &[id, connection] : state->connections)
            connection->apply(faults);
        applied.Notify();
    });
    applied.WaitForNotification();
}

LinkFaults TcpRelay::faults() const
{
    absl::MutexLock lock(&m_state->mutex);
    return m_state->faults;
}

RelayCounters TcpRelay::counters() const
{
    absl::MutexLock lock(&m_state->mutex);
    return m_state->counters;
}

} // namespace rattanrill::fakes
