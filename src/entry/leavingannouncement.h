#pragma once

#include "rattanrill/wire/directorymessages.h"

#include <cstdint>

namespace rattanrill::entry {

/// Whether an upstream has announced that it leaves, see docs/upstream-protocol.md.
class LeavingAnnouncement
{
public:
    /// Takes over the upstream's record in a new view. A change of the record to the state active
    /// that is later than the record at the time of the announcement withdraws it.
    void update(const wire::Upstream &upstream)
    {
        const bool isActive = upstream.state == wire::UpstreamState::Active;
        if (upstream.revision > m_recordRevision && isActive)
            m_announced = false;
        m_recordRevision = upstream.revision;
    }

    /// Returns false when the upstream had announced it before.
    bool announce()
    {
        const bool isNew = !m_announced;
        m_announced = true;
        return isNew;
    }

    bool isAnnounced() const { return m_announced; }

private:
    std::uint64_t m_recordRevision = 0;
    bool m_announced = false;
};

} // namespace rattanrill::entry
