#pragma once

namespace rattanrill {

/// Turns SIGTERM and SIGINT into a return from wait(). Construct before any thread starts, so that
/// all threads inherit the signal mask. SIGPIPE is ignored.
class ShutdownSignal
{
public:
    ShutdownSignal();

    /// Blocks until SIGTERM or SIGINT; returns its number.
    int wait();
};

} // namespace rattanrill
