#include "rattanrill/policy/leavingupstreams.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>

namespace rattanrill::policy {
namespace {

constexpr std::array<EnumName<LeavingEnd>, 4> leavingEndNames = {{
        {LeavingEnd::Removed, "removed"},
        {LeavingEnd::Moved, "moved"},
        {LeavingEnd::Restarted, "restarted"},
        {LeavingEnd::Ready, "ready"},
}};

const SlotUpstream *find(const std::vector<SlotUpstream> &upstreams, const std::string &id)
{
    const auto found = std::find_if(upstreams.begin(), upstreams.end(),
                                    [&](const SlotUpstream &listed) { return listed.id == id; });
    return found == upstreams.end() ? nullptr : &*found;
}

} // namespace

std::string_view name(LeavingEnd reason)
{
    return nameOf(leavingEndNames, reason);
}

bool LeavingUpstreams::record(absl::Time announcedAt, const std::string &id,
                              const std::string &address)
{
    const bool isNew = !isLeaving(id, address);
    if (isNew || announcedAt > m_announcements[id].at)
        m_announcements[id] = {address, announcedAt, false};
    return isNew;
}

bool LeavingUpstreams::isLeaving(const std::string &id, const std::string &address) const
{
    const auto found = m_announcements.find(id);
    return found != m_announcements.end() && found->second.address == address;
}

absl::Time LeavingUpstreams::announcedAt(const std::string &id) const
{
    const auto found = m_announcements.find(id);
    return found == m_announcements.end() ? absl::InfinitePast() : found->second.at;
}

/// Returns why the announcement ends, or nullopt when it does not. \a listed is null for an
/// upstream that the list does not contain.
std::optional<LeavingEnd> LeavingUpstreams::endOf(const Announcement &announcement,
                                                  const SlotUpstream *listed, absl::Time readAt)
{
    const bool isPastLag = readAt - announcement.at > maxUpstreamListLag;
    // An entry that is missing or wrong in one list may be back in the next one.
    if (listed == nullptr)
        return isPastLag ? std::optional(LeavingEnd::Removed) : std::nullopt;
    if (listed->address != announcement.address)
        return isPastLag ? std::optional(LeavingEnd::Moved) : std::nullopt;
    if (listed->leaving)
        return std::nullopt;
    if (announcement.wasListedAsDraining)
        return LeavingEnd::Restarted;
    return isPastLag ? std::optional(LeavingEnd::Ready) : std::nullopt;
}

std::vector<EndedLeaving> LeavingUpstreams::update(const std::vector<SlotUpstream> &upstreams,
                                                   absl::Time readAt)
{
    std::vector<EndedLeaving> ended;
    if (readAt < m_listReadAt)
        return ended;
    m_listReadAt = readAt;
    for (auto entry = m_announcements.begin(); entry != m_announcements.end();) {
        const SlotUpstream *listed = find(upstreams, entry->first);
        const std::optional<LeavingEnd> reason = endOf(entry->second, listed, readAt);
        if (!reason) {
            entry->second.wasListedAsDraining |= listed != nullptr && listed->leaving;
            ++entry;
            continue;
        }
        ended.push_back({entry->first, *reason});
        entry = m_announcements.erase(entry);
    }
    return ended;
}

} // namespace rattanrill::policy
