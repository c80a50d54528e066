#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/fleetmessages.h"

#include <functional>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// One page of the platform's list of upstreams.
struct UpstreamPage
{
    std::vector<wire::FleetUpstream> upstreams;
    /// Token of the next page; empty on the last page.
    std::string nextPage;
    /// Number of entries that were skipped because they do not describe a usable upstream. Other
    /// programs write to the list as well.
    int skipped = 0;
};

/// Reads single pages of the platform's list of upstreams.
class UpstreamDiscovery
{
public:
    using PageCallback = std::function<void(Outcome<UpstreamPage>)>;

    virtual ~UpstreamDiscovery() = default;
    /// Reads the page named by \a token, or the first one if it is empty. \a callback runs on the
    /// event loop, exactly once. Fails with RateLimited when the platform rejected the call because
    /// it got too many, with MessageTooLarge, MalformedMessage or UpstreamUnavailable.
    virtual void readPage(const std::string &token, PageCallback callback) = 0;
};

} // namespace rattanrill::fleet
