#include "connectionregistry.h"

#include <sys/socket.h>

namespace rattanrill::entry {

bool ConnectionRegistry::add(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_idle.insert(socket);
    return !m_closing;
}

void ConnectionRegistry::remove(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_idle.erase(socket);
    m_busy.erase(socket);
}

void ConnectionRegistry::markBusy(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_idle.erase(socket);
    m_busy.insert(socket);
}

bool ConnectionRegistry::markIdle(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_busy.erase(socket);
    m_idle.insert(socket);
    return !m_closing;
}

void ConnectionRegistry::closeAfterResponses()
{
    absl::MutexLock lock(&m_mutex);
    m_closing = true;
}

bool ConnectionRegistry::closingAfterResponses() const
{
    absl::MutexLock lock(&m_mutex);
    return m_closing;
}

void ConnectionRegistry::closeIdle()
{
    absl::MutexLock lock(&m_mutex);
    for (const int socket : m_idle)
        shutdown(socket, SHUT_RD);
}

bool ConnectionRegistry::waitUntilNoneBusy(absl::Duration timeout)
{
    absl::MutexLock lock(&m_mutex);
    return m_mutex.AwaitWithTimeout(absl::Condition(this, &ConnectionRegistry::noneBusy), timeout);
}

std::size_t ConnectionRegistry::busy() const
{
    absl::MutexLock lock(&m_mutex);
    return m_busy.size();
}

} // namespace rattanrill::entry
