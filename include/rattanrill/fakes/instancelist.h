#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::fakes {

/// State of an instance in the platform's list.
enum class InstanceState {
    Live,
    Leaving,
    /// Removed from the list.
    Gone,
};

std::string_view name(InstanceState state);

/// An entry of the platform's instance list.
struct Instance
{
    std::string name;
    std::string role;
    std::string host;
    int port = 0;
    std::string failureDomain;
    InstanceState state = InstanceState::Live;
};

/// Simulates the platform's list of instances, in which changes become visible after a fixed lag.
class InstanceList
{
public:
    explicit InstanceList(absl::Duration lag);

    absl::Duration lag() const { return m_lag; }
    /// Adds or changes the instance \a name and returns its new state. Members that \a body lacks
    /// keep their values. Fails with InvalidRequest when a member has a wrong type, the state is
    /// unknown, a new instance has no host, or the port is not from 1 to 65535.
    Result<Instance> set(absl::Time now, const std::string &name, const Json &body);
    /// Instances as they were one lag before \a now, in order of name. Instances that were
    /// Gone are left out.
    std::vector<Instance> visibleInstances(absl::Time now) const;

private:
    /// State of an instance from a point in time on.
    struct Version
    {
        absl::Time at;
        Instance instance;
    };

    absl::Duration m_lag;
    std::map<std::string, std::deque<Version>> m_versions;
};

Json toJson(const Instance &instance);

} // namespace rattanrill::fakes
