#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <deque>
#include <string>

namespace rattanrill::net {

/// Bytes that wait to be sent on a socket. They are not copied when more are added, and their
/// memory is released as soon as they have been sent.
class OutputQueue
{
public:
    void append(std::string bytes);
    void clear();
    bool empty() const { return m_bytes == 0; }
    std::size_t bytes() const { return m_bytes; }
    /// Memory of the bytes. A part is freed when it has been sent completely.
    std::size_t heldBytes() const { return m_bytes + m_sentOfFirst; }
    /// Writes what \a socket accepts without waiting. Returns the error of the last attempt.
    boost::system::error_code sendTo(boost::asio::ip::tcp::socket &socket);

private:
    void removeSent(std::size_t bytes);

    std::deque<std::string> m_parts;
    /// Bytes of the first part that have been sent.
    std::size_t m_sentOfFirst = 0;
    std::size_t m_bytes = 0;
};

} // namespace rattanrill::net
