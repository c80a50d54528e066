#pragma once

#include "entrysettings.h"

#include "rattanrill/base/result.h"

#include <memory>

namespace rattanrill::entry {

/// One entry instance with all its components.
class Entry
{
public:
    explicit Entry(EntrySettings settings);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Starts the servers for peers and callers. Fails with AddressInUse or InvalidArgument.
    Result<void> start();
    /// Shuts down gracefully: at once, the instance reports that it is not ready and releases its
    /// batch leases. New requests are accepted for the drain notice time. Then the listener closes
    /// and running requests finish. Returns false when requests had to be aborted after the drain
    /// limit.
    bool drain();
    /// Port of the caller interface.
    int httpPort() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::entry
