#include "rattanrill/fleet/upstreamlist.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cstddef>
#include <map>

namespace rattanrill::fleet {
namespace {

bool sameUpstream(const wire::FleetUpstream &left, const wire::FleetUpstream &right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address
           && left.failureDomain == right.failureDomain && left.slots == right.slots
           && left.draining == right.draining && left.version == right.version
           && left.coldRemainingMs == right.coldRemainingMs;
}

} // namespace

bool sameUpstreams(const std::vector<wire::FleetUpstream> &left,
                   const std::vector<wire::FleetUpstream> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), sameUpstream);
}

std::string upstreamKey(const wire::FleetUpstream &upstream)
{
    return concat(upstream.id, "@", upstream.address);
}

std::vector<std::string> changedUpstreamKeys(const std::vector<wire::FleetUpstream> &left,
                                             const std::vector<wire::FleetUpstream> &right)
{
    std::map<std::string, const wire::FleetUpstream *> former;
    for (const wire::FleetUpstream &upstream : left)
        former[upstreamKey(upstream)] = &upstream;
    std::map<std::string, const wire::FleetUpstream *> current;
    for (const wire::FleetUpstream &upstream : right)
        current[upstreamKey(upstream)] = &upstream;
    std::vector<std::string> keys;
    for (const auto &[key, upstream] : current) {
        const auto found = former.find(key);
        if (found == former.end() || !sameUpstream(*found->second, *upstream))
            keys.push_back(key);
    }
    for (const auto &[key, upstream] : former) {
        if (current.count(key) == 0)
            keys.push_back(key);
    }
    return keys;
}

void applyUpstreamChanges(std::vector<wire::FleetUpstream> &list,
                          const std::vector<wire::FleetUpstream> &changed,
                          const std::vector<std::string> &removed)
{
    const std::set<std::string> removedKeys(removed.begin(), removed.end());
    list.erase(std::remove_if(list.begin(), list.end(),
                              [&](const wire::FleetUpstream &upstream) {
                                  return removedKeys.count(upstreamKey(upstream)) != 0;
                              }),
               list.end());
    std::map<std::string, std::size_t> indexes;
    for (std::size_t index = 0; index < list.size(); ++index)
        indexes[upstreamKey(list[index])] = index;
    for (const wire::FleetUpstream &upstream : changed) {
        const auto [found, isNew] = indexes.try_emplace(upstreamKey(upstream), list.size());
        if (isNew)
            list.push_back(upstream);
        list[found->second] = upstream;
    }
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
