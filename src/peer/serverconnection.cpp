#include "serverconnection.h"

#include "helloproof.h"
#include "servercore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <atomic>
#include <utility>

namespace rattanrill::peer {
namespace {

/// Interval between checks of a connection. It counts as lost when nothing was received during a
/// whole interval; clients send a ping every second.
constexpr absl::Duration idleTimeout = absl::Seconds(10);

/// Sends the response to one request. If the handler discards its reply callback without calling
/// it, the destructor sends a failure, so that the caller does not wait.
class PendingResponse
{
public:
    PendingResponse(std::shared_ptr<ServerConnection> connection, std::uint64_t id,
                    wire::Method method)
        : m_connection(std::move(connection))
        , m_id(id)
        , m_method(method)
    {}
    ~PendingResponse()
    {
        send(mayHaveRun(ErrorCode::Internal,
                        "the handler discarded the request without a response"));
    }
    PendingResponse(const PendingResponse &) = delete;
    PendingResponse &operator=(const PendingResponse &) = delete;

    void send(const Outcome<std::string> &outcome)
    {
        if (!m_sent.exchange(true))
            m_connection->sendResponse(m_id, m_method, outcome);
    }

private:
    const std::shared_ptr<ServerConnection> m_connection;
    const std::uint64_t m_id;
    const wire::Method m_method;
    std::atomic<bool> m_sent{false};
};

wire::Envelope responseEnvelope(std::uint64_t id, wire::Method method)
{
    wire::Envelope envelope;
    envelope.kind = wire::EnvelopeKind::Response;
    envelope.id = id;
    envelope.method = method;
    return envelope;
}

std::string failureFrame(std::uint64_t id, wire::Method method, const Failure &failure)
{
    wire::Envelope envelope = responseEnvelope(id, method);
    envelope.failure = wire::toMessage(failure);
    return wire::encode(envelope);
}

std::string responseFrame(std::uint64_t id, wire::Method method,
                          const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return failureFrame(id, method, outcome.failure());
    wire::Envelope envelope = responseEnvelope(id, method);
    envelope.body = outcome.value();
    return wire::encode(envelope);
}

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerCore> server,
                                   WebsocketServer::connection_ptr socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_hello(m_server->options().self, m_server->options().clusterSecret)
    , m_remote(m_socket->get_remote_endpoint())
    , m_timer(m_server->service())
{}

void ServerConnection::start()
{
    boost::system::error_code ignored;
    m_socket->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const std::weak_ptr<ServerConnection> weak = weak_from_this();
    m_socket->set_message_handler([weak](const websocketpp::connection_hdl &,
                                         const WebsocketServer::message_ptr &message) {
        if (const auto self = weak.lock())
            self->handleFrame(message->get_payload());
    });
    m_socket->set_ping_handler([weak](const websocketpp::connection_hdl &, const std::string &) {
        if (const auto self = weak.lock())
            self->m_receivedSinceTimerStart = true;
        return true;
    });
    const auto handleClose = [weak](const websocketpp::connection_hdl &) {
        if (const auto self = weak.lock())
            self->handleClose();
    };
    m_socket->set_close_handler(handleClose);
    m_socket->set_fail_handler(handleClose);
    armTimer(m_server->options().handshakeTimeout());
}

void ServerConnection::drop()
{
    m_timer.cancel();
    m_socket->terminate(websocketpp::lib::error_code());
}

void ServerConnection::handleFrame(const std::string &frame)
{
    m_receivedSinceTimerStart = true;
    auto envelope = outcomeOf([&] { return wire::decode<wire::Envelope>(frame); });
    if (!envelope.ok())
        return refuse(envelope.failure());
    if (!m_hello.done())
        return handleHello(envelope.value());
    dispatch(std::move(envelope.value()));
}

void ServerConnection::handleHello(const wire::Envelope &envelope)
{
    const auto nextFrame = outcomeOf([&] { return m_hello.receive(envelope); });
    if (!nextFrame.ok())
        return refuse(nextFrame.failure());
    sendFrame(nextFrame.value());
    if (!m_hello.done())
        return;
    m_socket->set_max_message_size(m_server->options().maxMessageBytes);
    m_sender = m_hello.peer();
    m_sender.connection = weak_from_this();
    armTimer(idleTimeout);
}

void ServerConnection::refuse(const Failure &failure)
{
    log(LogLevel::Warning, "peer-refused",
        {{"peer", m_remote},
         {"peerInstance", m_hello.peer().instance},
         {"code", name(failure.code)},
         {"detail", failure.detail}});
    sendFrame(refusalFrame(failure));
    websocketpp::lib::error_code ignored;
    m_socket->close(websocketpp::close::status::policy_violation, std::string(name(failure.code)),
                    ignored);
}

void ServerConnection::dispatch(wire::Envelope envelope)
{
    const bool isRequest = envelope.kind == wire::EnvelopeKind::Request;
    if (!isRequest && envelope.kind != wire::EnvelopeKind::Push)
        return;
    const MethodHandler *handler = m_server->handlerOf(envelope.method);
    if (handler == nullptr) {
        if (isRequest)
            sendResponse(
                    envelope.id, envelope.method,
                    notRun(ErrorCode::UnknownMethod, concat("method \"", name(envelope.method),
                                                            "\" is not served by this process")));
        return;
    }
    if (!isRequest)
        return (*handler)(m_sender, std::move(envelope.body), [](const Outcome<std::string> &) {});
    const auto response =
            std::make_shared<PendingResponse>(shared_from_this(), envelope.id, envelope.method);
    (*handler)(m_sender, std::move(envelope.body),
               [response](const Outcome<std::string> &outcome) { response->send(outcome); });
}

void ServerConnection::sendResponse(std::uint64_t id, wire::Method method,
                                    const Outcome<std::string> &outcome)
{
    const TransportOptions &options = m_server->options();
    std::string frame = responseFrame(id, method, outcome);
    // The request has run and only its response cannot be sent, so the effect state is MayHaveRun.
    if (frame.size() > options.maxMessageBytes)
        frame = failureFrame(
                id, method,
                mayHaveRun(ErrorCode::MessageTooLarge,
                           concat("response of ", frame.size(), " bytes exceeds the limit of ",
                                  options.maxMessageBytes)));
    else if (m_socket->get_buffered_amount() + frame.size() > options.maxQueuedBytes)
        frame = failureFrame(id, method,
                             mayHaveRun(ErrorCode::QueueFull,
                                        concat("response queue to ", m_remote, " is full")));
    sendFrame(frame);
}

/// Can be called from any thread: websocketpp queues the frame under its own lock and writes it on
/// the network thread.
void ServerConnection::sendFrame(const std::string &frame)
{
    m_socket->send(frame, websocketpp::frame::opcode::binary);
}

void ServerConnection::armTimer(absl::Duration delay)
{
    m_receivedSinceTimerStart = false;
    m_timer.expires_after(absl::ToChronoNanoseconds(delay));
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        // When the timer is set again after it has expired, the handler of the earlier wait may
        // already be queued and is called without an error.
        const bool isCurrent = self && self->m_timer.expiry() <= std::chrono::steady_clock::now();
        if (!error && isCurrent)
            self->handleTimer();
    });
}

void ServerConnection::handleTimer()
{
    if (m_hello.done() && m_receivedSinceTimerStart)
        return armTimer(idleTimeout);
    log(LogLevel::Warning, "peer-dropped",
        {{"peer", m_remote},
         {"peerInstance", m_hello.peer().instance},
         {"code", name(ErrorCode::Timeout)},
         {"detail", m_hello.done()
                            ? "nothing received within the idle timeout"
                            : "hello exchange did not complete within the handshake timeout"}});
    drop();
}

void ServerConnection::handleClose()
{
    m_timer.cancel();
    m_server->removeConnection(this);
}

} // namespace rattanrill::peer
