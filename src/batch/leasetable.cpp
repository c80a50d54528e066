#include "leasetable.h"

namespace rattanrill::batch {

LeaseTable::Number LeaseTable::add(Lease lease)
{
    const Number number = m_nextNumber++;
    m_expiry.emplace(lease.expiresAtMs, number);
    m_leases.emplace_hint(m_leases.end(), number, std::move(lease));
    return number;
}

const Lease *LeaseTable::find(Number number) const
{
    const auto lease = m_leases.find(number);
    return lease == m_leases.end() ? nullptr : &lease->second;
}

void LeaseTable::renew(Number number, std::int64_t expiresAtMs)
{
    Lease &lease = m_leases.at(number);
    m_expiry.erase({lease.expiresAtMs, number});
    lease.expiresAtMs = expiresAtMs;
    m_expiry.emplace(expiresAtMs, number);
}

void LeaseTable::remove(Number number)
{
    const auto lease = m_leases.find(number);
    if (lease == m_leases.end())
        return;
    m_expiry.erase({lease->second.expiresAtMs, number});
    m_leases.erase(lease);
}

std::optional<LeaseTable::Number> LeaseTable::expired(std::int64_t nowMs) const
{
    if (m_expiry.empty() || m_expiry.begin()->first > nowMs)
        return std::nullopt;
    return m_expiry.begin()->second;
}

void LeaseTable::write(ByteWriter &writer) const
{
    writer.number(m_nextNumber);
    writer.number(m_leases.size());
    for (const auto &[number, lease] : m_leases) {
        writer.number(number);
        writer.number(lease.job);
        writer.number(lease.index);
        writer.signedNumber(lease.expiresAtMs);
        writer.text(lease.holder);
    }
}

void LeaseTable::read(ByteReader &reader)
{
    m_nextNumber = reader.number();
    const std::size_t leases = reader.count();
    for (std::size_t count = 0; count < leases; ++count) {
        const Number number = reader.numberBelow(m_nextNumber);
        Lease lease;
        lease.job = reader.number();
        lease.index = static_cast<std::uint32_t>(reader.number());
        lease.expiresAtMs = reader.signedNumber();
        lease.holder = reader.string();
        m_expiry.emplace(lease.expiresAtMs, number);
        m_leases.emplace(number, std::move(lease));
    }
}

} // namespace rattanrill::batch
