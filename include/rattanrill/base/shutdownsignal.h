#pragma once

namespace rattanrill {

/// Blocks SIGTERM and SIGINT, so that a process can wait for them with wait(), and ignores SIGPIPE.
/// Construct it before any thread starts, so that all threads inherit the signal mask.
class ShutdownSignal
{
public:
    ShutdownSignal();

    /// Waits until SIGTERM or SIGINT arrives and returns the signal number.
    int wait();
};

} // namespace rattanrill
