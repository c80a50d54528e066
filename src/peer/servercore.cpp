#include "servercore.h"

#include "serverconnection.h"

#include "rattanrill/base/concat.h"

#include <utility>

namespace rattanrill::peer {
namespace {

/// Number of posted tasks after which each ready socket has been read. Between two of them the
/// event loop collects the ready sockets once, 128 at a time.
constexpr int readPasses = 6;

} // namespace

ServerCore::ServerCore(TransportOptions options)
    : m_options(std::move(options))
{}

ServerCore::~ServerCore()
{
    stop();
}

void ServerCore::handle(wire::Method method, MethodHandler handler)
{
    m_handlers[method] = std::move(handler);
}

Result<void> ServerCore::start(const std::string &host, int port)
{
    boost::system::error_code addressError;
    const auto address = boost::asio::ip::make_address(host, addressError);
    if (addressError || port < 0 || port > 65535)
        return fail(notRun(ErrorCode::InvalidArgument,
                           concat("\"", host, "\" port ", port, " is not an IP address and port")));
    setUpEndpoint();
    websocketpp::lib::error_code error;
    m_endpoint.listen(boost::asio::ip::tcp::endpoint(address, static_cast<std::uint16_t>(port)),
                      error);
    if (!error)
        m_endpoint.start_accept(error);
    if (error)
        return fail(notRun(ErrorCode::AddressInUse, concat("cannot listen on ", host, " port ",
                                                           port, ": ", error.message())));
    boost::system::error_code ignored;
    m_port = m_endpoint.get_local_endpoint(ignored).port();
    m_thread = std::thread([this] { m_service.run(); });
    return {};
}

void ServerCore::setUpEndpoint()
{
    m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
    m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
    m_endpoint.init_asio(&m_service);
    m_endpoint.set_reuse_addr(true);
    m_endpoint.set_max_message_size(maxHelloBytes);
    m_endpoint.set_open_handshake_timeout(absl::ToInt64Milliseconds(m_options.handshakeTimeout()));
    m_endpoint.set_open_handler(
            [this](const websocketpp::connection_hdl &handle) { accept(handle); });
}

void ServerCore::accept(const websocketpp::connection_hdl &handle)
{
    websocketpp::lib::error_code error;
    const WebsocketServer::connection_ptr socket = m_endpoint.get_con_from_hdl(handle, error);
    if (error)
        return;
    const auto connection = std::make_shared<ServerConnection>(shared_from_this(), socket);
    m_connections[connection.get()] = connection;
    connection->start();
}

const MethodHandler *ServerCore::handlerOf(wire::Method method) const
{
    const auto found = m_handlers.find(method);
    return found == m_handlers.end() ? nullptr : &found->second;
}

void ServerCore::removeConnection(const ServerConnection *connection)
{
    m_connections.erase(connection);
}

void ServerCore::afterPendingReads(std::function<void()> done)
{
    waitForReads(readPasses, std::move(done));
}

void ServerCore::waitForReads(int passes, std::function<void()> done)
{
    m_service.post([this, passes, done = std::move(done)]() mutable {
        if (passes > 1)
            waitForReads(passes - 1, std::move(done));
        else
            done();
    });
}

void ServerCore::stop()
{
    if (!m_thread.joinable())
        return;
    m_service.post([this] { closeAll(); });
    m_thread.join();
}

void ServerCore::closeAll()
{
    websocketpp::lib::error_code ignored;
    m_endpoint.stop_listening(ignored);
    const auto connections = std::exchange(m_connections, {});
    for (const auto &[pointer, connection] : connections)
        connection->drop();
    m_service.stop();
}

} // namespace rattanrill::peer
