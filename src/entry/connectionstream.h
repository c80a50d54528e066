#pragma once

#include "absl/time/time.h"

#include <httplib.h>

#include <string>

namespace rattanrill::entry {

/// Buffered socket of one caller connection. Used by the connection's own thread only.
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

    /// Waits for the first byte of a request; false on the end of the stream or a timeout.
    bool waitForRequest(absl::Duration timeout);
    /// The caller has closed its end and sends nothing more.
    bool callerGone() const;
    /// The connection is closed after the current answer, for instance because the body of the
    /// request was not read.
    void closeAfterAnswer() { m_closing = true; }
    bool closing() const { return m_closing; }
    /// Ends the sending side and discards what the caller still sends, within bounds. Closing at
    /// once would make the system reset the connection, and the caller could lose the answer.
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
