#pragma once

#include "absl/time/time.h"

#include <httplib.h>

#include <string>

namespace rattanrill::entry {

/// Buffered stream on the socket of one caller connection. Used only by the thread that serves the
/// connection.
class ConnectionStream : public httplib::Stream
{
public:
    ConnectionStream(int socket, absl::Duration ioTimeout);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, std::size_t size) override;
    ssize_t write(const char *data, std::size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }
    using httplib::Stream::write;

    /// How waitForRequest() ended.
    enum class WaitResult {
        /// The first byte of a request has arrived.
        Request,
        /// The caller has closed its side of the connection, the connection has failed, or the
        /// timeout has passed.
        Ended,
        /// The event interrupted the wait.
        Interrupted,
    };

    /// Waits for the first byte of a request, until the file descriptor \a event is readable or
    /// \a timeout has passed. -1 stands for no event.
    WaitResult waitForRequest(absl::Duration timeout, int event = -1);
    /// Whether the caller has closed its side of the connection or the connection has failed. False
    /// while received data is still unread.
    bool callerDisconnected() const;
    /// Makes the server close the connection after the current response, for instance because the
    /// body of the request was not read.
    void closeAfterResponse() { m_closing = true; }
    bool closing() const { return m_closing; }
    /// Shuts down the sending side, discards data that the caller still sends, up to a limit of
    /// size and time, and closes the socket. Closing at once would make the system reset the
    /// connection, and the caller could lose the response.
    void drainAndClose();

private:
    bool fill();

    int m_socket;
    absl::Duration m_ioTimeout;
    std::string m_buffer;
    std::size_t m_position = 0;
    bool m_closing = false;
};

} // namespace rattanrill::entry
