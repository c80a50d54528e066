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

enum class InstanceState {
    Live,
    Leaving,
    /// No longer listed.
    Gone,
};

std::string_view name(InstanceState state);

struct Instance
{
    std::string name;
    std::string role;
    std::string host;
    int port = 0;
    std::string failureDomain;
    InstanceState state = InstanceState::Live;
};

/// The platform's list of instances. Changes show in it a fixed lag late.
class InstanceList
{
public:
    explicit InstanceList(absl::Duration lag);

    absl::Duration lag() const { return m_lag; }
    /// Adds or changes an instance. Members that \a body lacks keep their values; a new instance
    /// needs host and port. Fails with InvalidRequest.
    Result<Instance> set(absl::Time now, const std::string &name, const Json &body);
    /// Instances as they were one lag before \a now, by name.
    std::vector<Instance> listed(absl::Time now) const;

private:
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
