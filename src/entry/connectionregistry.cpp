#include "connectionregistry.h"

#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rattanrill::entry {

ConnectionRegistry::ConnectionRegistry()
    : m_closeIdleEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
    , m_allIdleEvent(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{}

ConnectionRegistry::~ConnectionRegistry()
{
    close(m_closeIdleEvent);
    close(m_allIdleEvent);
}

void ConnectionRegistry::add(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_expecting.insert(socket);
    if (m_aborted)
        shutdown(socket, SHUT_RDWR);
}

void ConnectionRegistry::remove(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_idle.erase(socket);
    m_expecting.erase(socket);
    m_busy.erase(socket);
    signalAllIdle();
}

void ConnectionRegistry::markBusy(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_idle.erase(socket);
    m_expecting.erase(socket);
    m_busy.insert(socket);
}

void ConnectionRegistry::markExpecting(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_busy.erase(socket);
    m_expecting.insert(socket);
}

void ConnectionRegistry::markIdle(int socket)
{
    absl::MutexLock lock(&m_mutex);
    m_expecting.erase(socket);
    m_idle.insert(socket);
    signalAllIdle();
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
    m_closingIdle = true;
    // The event is never reset, so it wakes threads that start to wait later as well.
    eventfd_write(m_closeIdleEvent, 1);
    signalAllIdle();
}

void ConnectionRegistry::signalAllIdle()
{
    // The event is never reset, so that connections which are idle later end as well.
    if (m_closingIdle && m_busy.empty() && m_expecting.empty())
        eventfd_write(m_allIdleEvent, 1);
}

bool ConnectionRegistry::closingIdle() const
{
    absl::MutexLock lock(&m_mutex);
    return m_closingIdle;
}

void ConnectionRegistry::abortAll()
{
    absl::MutexLock lock(&m_mutex);
    m_aborted = true;
    for (const std::set<int> *sockets : {&m_idle, &m_expecting, &m_busy}) {
        for (const int socket : *sockets)
            shutdown(socket, SHUT_RDWR);
    }
}

std::size_t ConnectionRegistry::busy() const
{
    absl::MutexLock lock(&m_mutex);
    return m_busy.size();
}

} // namespace rattanrill::entry
