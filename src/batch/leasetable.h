#pragma once

#include "bytereader.h"
#include "bytewriter.h"
#include "job.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace rattanrill::batch {

struct Lease
{
    Job::Number job = 0;
    std::uint32_t index = 0;
    std::int64_t expiresAtMs = 0;
    std::string holder;
};

/// Leases by number, which serves as the fencing token, and the numbers ordered by expiry time.
class LeaseTable
{
public:
    using Number = std::uint64_t;

    /// Returns the number of the new lease. A number is never reused.
    Number add(Lease lease);
    /// Returns null if the lease has ended.
    const Lease *find(Number number) const;
    void renew(Number number, std::int64_t expiresAtMs);
    void remove(Number number);
    /// Returns the number of a lease that has expired at \a nowMs, if any.
    std::optional<Number> expired(std::int64_t nowMs) const;
    const std::map<Number, Lease> &leases() const { return m_leases; }

    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

private:
    std::map<Number, Lease> m_leases;
    std::set<std::pair<std::int64_t, Number>> m_expiry;
    Number m_nextNumber = 1;
};

} // namespace rattanrill::batch
