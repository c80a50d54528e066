#include "rattanrill/fleet/upstreamlist.h"

#include <algorithm>

namespace rattanrill::fleet {
namespace {

bool sameUpstream(const wire::FleetUpstream &left, const wire::FleetUpstream &right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address
           && left.failureDomain == right.failureDomain && left.slots == right.slots
           && left.draining == right.draining;
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

} // namespace rattanrill::fleet
