#include "rattanrill/fleet/upstreamlist.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace rattanrill::fleet {
namespace {

bool sameUpstream(const wire::FleetUpstream &left, const wire::FleetUpstream &right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address
           && left.failureDomain == right.failureDomain && left.slots == right.slots
           && left.draining == right.draining && left.version == right.version;
}

} // namespace

bool sameUpstreams(const std::vector<wire::FleetUpstream> &left,
                   const std::vector<wire::FleetUpstream> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), sameUpstream);
}

std::set<std::string> drainingIds(const std::vector<wire::FleetUpstream> &upstreams)
{
    std::set<std::string> ids;
    for (const wire::FleetUpstream &upstream : upstreams) {
        if (upstream.draining)
            ids.insert(upstream.id);
    }
    return ids;
}

bool mergeUpstreams(std::vector<wire::FleetUpstream> &list,
                    const std::vector<wire::FleetUpstream> &newer)
{
    std::map<std::string, std::size_t> indexes;
    for (std::size_t index = 0; index < list.size(); ++index)
        indexes[list[index].id] = index;
    // The list may contain an id twice, so only the result shows whether it has changed.
    const std::vector<wire::FleetUpstream> previous = list;
    for (const wire::FleetUpstream &upstream : newer) {
        const auto [found, isNew] = indexes.try_emplace(upstream.id, list.size());
        if (isNew)
            list.push_back(upstream);
        list[found->second] = upstream;
    }
    return !sameUpstreams(previous, list);
}

bool markDraining(std::vector<wire::FleetUpstream> &list, const std::set<std::string> &ids)
{
    bool isChanged = false;
    for (wire::FleetUpstream &upstream : list) {
        if (upstream.draining || ids.count(upstream.id) == 0)
            continue;
        upstream.draining = true;
        isChanged = true;
    }
    return isChanged;
}

} // namespace rattanrill::fleet
