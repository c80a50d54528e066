#include "rattanrill/base/shutdownsignal.h"

#include <csignal>
#include <pthread.h>

namespace rattanrill {
namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

ShutdownSignal::ShutdownSignal()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int ShutdownSignal::wait()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
    return signal;
}

} // namespace rattanrill
