#include "outputqueue.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace rattanrill::net {
namespace {

/// Parts up to this size are joined, so that short ones are sent in one segment and need no
/// allocation of their own.
constexpr std::size_t maxJoinedBytes = 16 * 1024;

} // namespace

void OutputQueue::append(std::string bytes)
{
    if (bytes.empty())
        return;
    m_bytes += bytes.size();
    const bool isJoined =
            !m_parts.empty() && m_parts.back().size() + bytes.size() <= maxJoinedBytes;
    if (isJoined)
        m_parts.back() += bytes;
    else
        m_parts.push_back(std::move(bytes));
}

void OutputQueue::clear()
{
    m_parts = {};
    m_sentOfFirst = 0;
    m_bytes = 0;
}

boost::system::error_code OutputQueue::sendTo(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    while (!m_parts.empty() && !error) {
        const std::string &first = m_parts.front();
        const auto rest =
                boost::asio::buffer(first.data() + m_sentOfFirst, first.size() - m_sentOfFirst);
        removeSent(socket.write_some(rest, error));
    }
    return error;
}

void OutputQueue::removeSent(std::size_t bytes)
{
    m_bytes -= bytes;
    m_sentOfFirst += bytes;
    if (m_sentOfFirst < m_parts.front().size())
        return;
    m_parts.pop_front();
    m_sentOfFirst = 0;
}

} // namespace rattanrill::net
