#pragma once

#include "entrysettings.h"

#include "rattanrill/base/result.h"

#include <memory>

namespace rattanrill::entry {

/// One entry instance with all its parts.
class Entry
{
public:
    explicit Entry(EntrySettings settings);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /// Listens for peers and callers. Fails with AddressInUse or InvalidArgument.
    Result<void> start();
    /// Graceful stop: readiness ends at once, new requests are served for a notice time, then the
    /// listener closes, running requests finish and batch leases are released. False when a
    /// request had to be cut off after the limit.
    bool drain();
    /// Port of the caller interface.
    int httpPort() const;

private:
    struct Parts;

    std::unique_ptr<Parts> m_parts;
};

} // namespace rattanrill::entry
