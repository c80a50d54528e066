#pragma once

#include "clienthello.h"
#include "networkthread.h"

#include "rattanrill/peer/transport.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rattanrill::peer {

/// Implementation of a Channel. Members that are neither constant, nor atomic, nor guarded by
/// m_mutex are accessed on the network thread only.
class ChannelCore : public std::enable_shared_from_this<ChannelCore>
{
public:
    ChannelCore(TransportOptions options, std::string address);

    void call(wire::Method method, std::string body, absl::Duration timeout,
              ResponseCallback reply);
    void sendOneWay(wire::Method method, std::string body);
    void close();
    const std::string &address() const { return m_address; }
    bool connected() const { return m_connected; }

private:
    using Timer = boost::asio::steady_timer;
    using Connection = WebsocketClient::connection_ptr;

    enum class State {
        Idle,
        Connecting,
        Ready,
        Backoff,
        Closed,
    };

    struct Call
    {
        ResponseCallback reply;
        std::string frame;
        bool sent = false;
        std::unique_ptr<Timer> timer;
    };

    bool post(std::size_t bytes, std::function<void()> task);
    void rejectCall(ResponseCallback reply, Failure failure);
    void subtractPostedBytes(std::size_t bytes);
    void startCall(std::uint64_t id, std::string frame, absl::Duration timeout,
                   ResponseCallback reply);
    void startPush(const std::string &frame);
    void sendCall(std::uint64_t id);
    void timeOutCall(std::uint64_t id);
    void finishCall(std::uint64_t id, const Outcome<std::string> &outcome);
    bool fitsInQueue(std::size_t bytes) const;
    bool sendFrame(const std::string &frame);

    void connect();
    void armTimer(Timer &timer, absl::Duration delay, void (ChannelCore::*handler)());
    void handleConnectTimeout();
    void handleOpen(std::uint64_t epoch);
    void handleFrame(std::uint64_t epoch, const std::string &frame);
    void handleHello(const wire::Envelope &envelope);
    void becomeReady();
    void checkKeepAlive();
    void closeAfterRefusal();
    void failConnection(const Failure &failure);
    void failCalls(const Failure &failure);
    void dropConnection();
    void closeOnNetworkThread();

    const TransportOptions m_options;
    const std::string m_address;
    NetworkThread &m_network;
    std::atomic<std::uint64_t> m_nextId{1};
    std::atomic<bool> m_connected{false};

    absl::Mutex m_mutex;
    /// Bytes of frames posted to the network thread that it has not processed yet.
    std::size_t m_postedBytes ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_closing ABSL_GUARDED_BY(m_mutex) = false;

    State m_state = State::Idle;
    Connection m_connection;
    /// Number of the current connection, by which late events of an earlier connection are
    /// recognized and ignored.
    std::uint64_t m_epoch = 0;
    std::optional<ClientHello> m_hello;
    std::map<std::uint64_t, Call> m_calls;
    /// Total size of the frames of calls and pushes that wait for the connection, in bytes.
    std::size_t m_waitingBytes = 0;
    std::deque<std::string> m_waitingPushes;
    /// Failure of the last connection or attempt to connect. Calls fail with it during the backoff.
    Failure m_lastFailure;
    absl::Duration m_backoff;
    /// Timeout of the next attempt to connect.
    absl::Duration m_connectTimeout;
    /// Number of keep-alive periods that have started since data or a pong was last received.
    int m_periodsWithoutData = 0;
    Timer m_connectTimer;
    Timer m_backoffTimer;
    Timer m_keepAliveTimer;
};

} // namespace rattanrill::peer
