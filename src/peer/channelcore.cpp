#include "channelcore.h"

#include "helloproof.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace rattanrill::peer {
namespace {

/// Delay before the first attempt to reconnect. The delay doubles after each failed attempt, up to
/// TransportOptions::maxBackoff, and is reset when a connection is ready.
constexpr absl::Duration initialBackoff = absl::Milliseconds(20);
/// The connection counts as lost after more than this number of keep-alive periods without data
/// from the other side.
constexpr int maxPeriodsWithoutData = 3;
/// Maximum number of pushes that are queued while a connection is being established. When there are
/// more, the oldest are dropped, because they are most likely to be out of date when the connection
/// is ready.
constexpr std::size_t maxWaitingPushes = 64;

std::chrono::nanoseconds toChrono(absl::Duration duration)
{
    return absl::ToChronoNanoseconds(duration);
}

} // namespace

ChannelCore::ChannelCore(TransportOptions options, std::string address)
    : m_options(std::move(options))
    , m_address(std::move(address))
    , m_network(NetworkThread::instance())
    , m_backoff(initialBackoff)
    , m_connectTimeout(m_options.connectTimeout)
    , m_connectTimer(m_network.service())
    , m_backoffTimer(m_network.service())
    , m_keepAliveTimer(m_network.service())
{}

void ChannelCore::call(wire::Method method, std::string body, absl::Duration timeout,
                       ResponseCallback reply)
{
    wire::Envelope envelope;
    envelope.kind = wire::EnvelopeKind::Request;
    envelope.id = m_nextId++;
    envelope.method = method;
    envelope.body = std::move(body);
    std::string frame = wire::encode(envelope);
    const std::size_t bytes = frame.size();
    if (bytes > m_options.maxMessageBytes)
        return rejectCall(std::move(reply),
                          notRun(ErrorCode::MessageTooLarge,
                                 concat(bytes, " bytes to ", m_address, " exceed the limit of ",
                                        m_options.maxMessageBytes)));
    const auto start = [self = shared_from_this(), id = envelope.id, frame = std::move(frame),
                        timeout, reply]() mutable {
        self->subtractPostedBytes(frame.size());
        self->startCall(id, std::move(frame), timeout, std::move(reply));
    };
    if (!post(bytes, start))
        rejectCall(std::move(reply),
                   notRun(ErrorCode::QueueFull, concat("send queue to ", m_address, " is full")));
}

void ChannelCore::sendOneWay(wire::Method method, std::string body)
{
    wire::Envelope envelope;
    envelope.kind = wire::EnvelopeKind::Push;
    envelope.method = method;
    envelope.body = std::move(body);
    std::string frame = wire::encode(envelope);
    const std::size_t bytes = frame.size();
    if (bytes > m_options.maxMessageBytes)
        return;
    post(bytes, [self = shared_from_this(), frame = std::move(frame)] {
        self->subtractPostedBytes(frame.size());
        self->startPush(frame);
    });
}

void ChannelCore::close()
{
    absl::Notification closed;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_closing)
            return;
        m_closing = true;
        if (!m_network.isCurrent())
            m_network.post([self = shared_from_this(), &closed] {
                self->closeOnNetworkThread();
                closed.Notify();
            });
    }
    if (m_network.isCurrent())
        closeOnNetworkThread();
    else
        closed.WaitForNotification();
}

/// Posts \a task to the network thread unless the queue is full. Nothing is posted after close()
/// has begun, so that no reply runs after close() has returned.
bool ChannelCore::post(std::size_t bytes, std::function<void()> task)
{
    absl::MutexLock lock(&m_mutex);
    if (m_closing || m_postedBytes + bytes > m_options.maxQueuedBytes)
        return false;
    m_postedBytes += bytes;
    m_network.post(std::move(task));
    return true;
}

/// Replies with \a failure on the network thread. If the channel is closed, replies with Stopped on
/// the calling thread.
void ChannelCore::rejectCall(ResponseCallback reply, Failure failure)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_closing) {
            m_network.post(
                    [reply = std::move(reply), failure = std::move(failure)] { reply(failure); });
            return;
        }
    }
    reply(notRun(ErrorCode::Stopped, concat("channel to ", m_address, " is closed")));
}

void ChannelCore::subtractPostedBytes(std::size_t bytes)
{
    absl::MutexLock lock(&m_mutex);
    m_postedBytes -= bytes;
}

void ChannelCore::startCall(std::uint64_t id, std::string frame, absl::Duration timeout,
                            ResponseCallback reply)
{
    if (m_state == State::Closed)
        return reply(notRun(ErrorCode::Stopped, concat("channel to ", m_address, " is closed")));
    if (m_state == State::Backoff)
        return reply(notRun(m_lastFailure.code, m_lastFailure.detail));
    if (!fitsInQueue(frame.size()))
        return reply(notRun(ErrorCode::QueueFull, concat("send queue to ", m_address, " is full")));
    Call &call = m_calls[id];
    call.reply = std::move(reply);
    call.frame = std::move(frame);
    call.timer = std::make_unique<Timer>(m_network.service());
    call.timer->expires_after(toChrono(timeout));
    call.timer->async_wait([weak = weak_from_this(), id](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            self->timeOutCall(id);
    });
    if (m_state == State::Ready)
        return sendCall(id);
    m_waitingBytes += call.frame.size();
    if (m_state == State::Idle)
        connect();
}

void ChannelCore::startPush(const std::string &frame)
{
    if (m_state == State::Idle)
        connect();
    if (m_state == State::Ready && fitsInQueue(frame.size()))
        sendFrame(frame);
    if (m_state != State::Connecting || !fitsInQueue(frame.size()))
        return;
    // Pushes are queued while connecting, because the first message to a process that has just
    // started is often part of a leader election.
    m_waitingBytes += frame.size();
    m_waitingPushes.push_back(frame);
    if (m_waitingPushes.size() > maxWaitingPushes) {
        m_waitingBytes -= m_waitingPushes.front().size();
        m_waitingPushes.pop_front();
    }
}

void ChannelCore::sendCall(std::uint64_t id)
{
    Call &call = m_calls.at(id);
    // A failed send may still have passed bytes to the socket, so the call is marked as sent first.
    call.sent = true;
    const std::string frame = std::exchange(call.frame, std::string());
    if (!sendFrame(frame))
        failConnection(
                notRun(ErrorCode::ConnectionLost, concat("sending to ", m_address, " failed")));
}

void ChannelCore::timeOutCall(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const std::string detail = concat("no response from ", m_address);
    const bool sent = found->second.sent;
    finishCall(id,
               sent ? mayHaveRun(ErrorCode::Timeout, detail) : notRun(ErrorCode::Timeout, detail));
}

void ChannelCore::finishCall(std::uint64_t id, const Outcome<std::string> &outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    Call call = std::move(found->second);
    m_calls.erase(found);
    if (!call.sent)
        m_waitingBytes -= call.frame.size();
    call.timer->cancel();
    call.reply(outcome);
}

bool ChannelCore::fitsInQueue(std::size_t bytes) const
{
    const std::size_t buffered = m_connection ? m_connection->get_buffered_amount() : 0;
    return buffered + m_waitingBytes + bytes <= m_options.maxQueuedBytes;
}

bool ChannelCore::sendFrame(const std::string &frame)
{
    return !m_connection->send(frame, websocketpp::frame::opcode::binary);
}

void ChannelCore::connect()
{
    m_state = State::Connecting;
    const std::uint64_t epoch = ++m_epoch;
    websocketpp::lib::error_code error;
    m_connection = m_network.endpoint().get_connection(concat("ws://", m_address, "/"), error);
    if (error) {
        m_connection.reset();
        return failConnection(
                notRun(ErrorCode::ConnectionLost,
                       concat("\"", m_address, "\" is not a valid address: ", error.message())));
    }
    m_hello.emplace(m_options.self, m_options.clusterSecret);
    m_connection->set_max_message_size(maxHelloBytes);
    const std::weak_ptr<ChannelCore> weak = weak_from_this();
    m_connection->set_open_handler([weak, epoch](const websocketpp::connection_hdl &) {
        if (const auto self = weak.lock())
            self->handleOpen(epoch);
    });
    m_connection->set_message_handler([weak, epoch](const websocketpp::connection_hdl &,
                                                    const WebsocketClient::message_ptr &message) {
        if (const auto self = weak.lock())
            self->handleFrame(epoch, message->get_payload());
    });
    m_connection->set_pong_handler(
            [weak, epoch](const websocketpp::connection_hdl &, const std::string &) {
                const auto self = weak.lock();
                if (self && epoch == self->m_epoch)
                    self->m_periodsWithoutData = 0;
            });
    const auto handleLoss = [weak, epoch](const websocketpp::connection_hdl &) {
        const auto self = weak.lock();
        if (self && epoch == self->m_epoch && self->m_connection)
            self->failConnection(notRun(ErrorCode::ConnectionLost,
                                        concat("connection to ", self->m_address, " lost: ",
                                               self->m_connection->get_ec().message(), " ",
                                               self->m_connection->get_remote_close_reason())));
    };
    m_connection->set_fail_handler(handleLoss);
    m_connection->set_close_handler(handleLoss);
    armTimer(m_connectTimer, m_connectTimeout, &ChannelCore::handleConnectTimeout);
    m_network.endpoint().connect(m_connection);
}

void ChannelCore::armTimer(Timer &timer, absl::Duration delay, void (ChannelCore::*handler)())
{
    timer.expires_after(toChrono(delay));
    timer.async_wait([weak = weak_from_this(), handler](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self)
            (self.get()->*handler)();
    });
}

void ChannelCore::handleConnectTimeout()
{
    if (m_state != State::Connecting)
        return;
    const absl::Duration timeout = m_connectTimeout;
    failConnection(notRun(ErrorCode::ConnectionLost,
                          concat("connecting to ", m_address, " took longer than ",
                                 absl::FormatDuration(timeout))));
    m_connectTimeout = std::min(timeout * 2, m_options.handshakeTimeout());
}

void ChannelCore::handleOpen(std::uint64_t epoch)
{
    if (epoch != m_epoch || m_state != State::Connecting)
        return;
    boost::system::error_code ignored;
    m_connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    sendFrame(m_hello->opening());
}

void ChannelCore::handleFrame(std::uint64_t epoch, const std::string &frame)
{
    if (epoch != m_epoch || !m_connection)
        return;
    m_periodsWithoutData = 0;
    auto envelope = outcomeOf([&] { return wire::decode<wire::Envelope>(frame); });
    if (!envelope.ok())
        return failConnection(envelope.failure());
    if (m_state == State::Connecting)
        return handleHello(envelope.value());
    if (envelope.value().kind != wire::EnvelopeKind::Response)
        return;
    if (envelope.value().failure.failed)
        finishCall(envelope.value().id, wire::fromMessage(envelope.value().failure));
    else
        finishCall(envelope.value().id, std::move(envelope.value().body));
}

void ChannelCore::handleHello(const wire::Envelope &envelope)
{
    const auto nextFrame = outcomeOf([&] { return m_hello->receive(envelope); });
    if (!nextFrame.ok()) {
        log(LogLevel::Warning, "peer-refused",
            {{"peer", m_address},
             {"code", name(nextFrame.failure().code)},
             {"detail", nextFrame.failure().detail}});
        sendFrame(refusalFrame(nextFrame.failure()));
        closeAfterRefusal();
        return failConnection(notRun(nextFrame.failure().code, nextFrame.failure().detail));
    }
    if (!nextFrame.value().empty())
        sendFrame(nextFrame.value());
    if (m_hello->done())
        becomeReady();
}

void ChannelCore::becomeReady()
{
    m_state = State::Ready;
    m_connected = true;
    m_connectTimer.cancel();
    m_backoff = initialBackoff;
    m_connectTimeout = m_options.connectTimeout;
    m_periodsWithoutData = 0;
    m_connection->set_max_message_size(m_options.maxMessageBytes);
    armTimer(m_keepAliveTimer, m_options.keepAlivePeriod, &ChannelCore::checkKeepAlive);
    std::vector<std::uint64_t> waitingCalls;
    for (const auto &[id, call] : m_calls)
        waitingCalls.push_back(id);
    m_waitingBytes = 0;
    const std::uint64_t epoch = m_epoch;
    for (const std::string &frame : std::exchange(m_waitingPushes, {}))
        sendFrame(frame);
    // A failed send drops the connection and fails the remaining calls, which are then skipped.
    for (const std::uint64_t id : waitingCalls) {
        if (m_state == State::Ready && m_epoch == epoch && m_calls.count(id) > 0)
            sendCall(id);
    }
}

void ChannelCore::checkKeepAlive()
{
    if (m_state != State::Ready)
        return;
    if (++m_periodsWithoutData > maxPeriodsWithoutData)
        return failConnection(
                notRun(ErrorCode::ConnectionLost,
                       concat(m_address, " has sent nothing for several keep-alive periods")));
    // Data has shown within the last period that the connection is alive.
    if (m_periodsWithoutData > 1) {
        websocketpp::lib::error_code ignored;
        m_connection->ping("", ignored);
    }
    armTimer(m_keepAliveTimer, m_options.keepAlivePeriod, &ChannelCore::checkKeepAlive);
}

/// Closes the connection with the WebSocket closing handshake, so that the refusal still reaches
/// the other side.
void ChannelCore::closeAfterRefusal()
{
    const Connection connection = std::exchange(m_connection, nullptr);
    websocketpp::lib::error_code ignored;
    connection->close(websocketpp::close::status::policy_violation, "refused", ignored);
}

/// Drops the connection, fails all open calls and schedules the next attempt to connect.
void ChannelCore::failConnection(const Failure &failure)
{
    if (m_state == State::Closed)
        return;
    dropConnection();
    m_state = State::Backoff;
    m_connectTimeout = m_options.connectTimeout;
    m_lastFailure = failure;
    // The delay is a random time between half the backoff and the whole backoff, so that the
    // channels to a restarted process do not all reconnect at the same time.
    const double jitter = static_cast<double>(m_network.random() % 1000) / 1000;
    armTimer(m_backoffTimer, m_backoff * (0.5 + jitter / 2), &ChannelCore::connect);
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
    failCalls(failure);
}

void ChannelCore::failCalls(const Failure &failure)
{
    std::map<std::uint64_t, Call> calls = std::exchange(m_calls, {});
    m_waitingPushes.clear();
    m_waitingBytes = 0;
    for (auto &[id, call] : calls) {
        call.timer->cancel();
        const bool stopped = failure.code == ErrorCode::Stopped;
        if (call.sent)
            call.reply(mayHaveRun(stopped ? ErrorCode::Stopped : ErrorCode::ConnectionLost,
                                  failure.detail));
        else
            call.reply(notRun(failure.code, failure.detail));
    }
}

void ChannelCore::dropConnection()
{
    ++m_epoch;
    m_connected = false;
    m_connectTimer.cancel();
    m_keepAliveTimer.cancel();
    const Connection connection = std::exchange(m_connection, nullptr);
    if (!connection)
        return;
    connection->terminate(websocketpp::lib::error_code());
    // terminate() leaves the socket open while the connection is still being established.
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
}

void ChannelCore::closeOnNetworkThread()
{
    dropConnection();
    m_backoffTimer.cancel();
    m_state = State::Closed;
    failCalls(notRun(ErrorCode::Stopped, concat("channel to ", m_address, " is closed")));
}

} // namespace rattanrill::peer
