#include "rattanrill/fakes/instancelist.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr std::array<EnumName<InstanceState>, 3> stateNames = {{
        {InstanceState::Live, "live"},
        {InstanceState::Leaving, "leaving"},
        {InstanceState::Gone, "gone"},
}};

Result<InstanceState> stateFromName(const std::string &name)
{
    if (const auto state = valueOf(stateNames, name))
        return *state;
    return fail(notRun(ErrorCode::InvalidRequest,
                       concat("unknown state \"", name, "\". Allowed: live, leaving, gone")));
}

Result<Instance> changed(Instance instance, const Json &body)
{
    BOOST_LEAF_ASSIGN(instance.role, jsonMemberOr<std::string>(body, "role", instance.role));
    BOOST_LEAF_ASSIGN(instance.host, jsonMemberOr<std::string>(body, "host", instance.host));
    BOOST_LEAF_AUTO(port, jsonMemberOr<std::int64_t>(body, "port", instance.port));
    instance.port = static_cast<int>(port);
    BOOST_LEAF_ASSIGN(instance.failureDomain,
                      jsonMemberOr<std::string>(body, "failure_domain", instance.failureDomain));
    BOOST_LEAF_AUTO(state,
                    jsonMemberOr<std::string>(body, "state", std::string(name(instance.state))));
    BOOST_LEAF_ASSIGN(instance.state, stateFromName(state));
    if (instance.host.empty() || port < 1 || port > 65535)
        return fail(notRun(ErrorCode::InvalidRequest,
                           "an instance needs a \"host\" and a \"port\" from 1 to 65535"));
    return instance;
}

} // namespace

std::string_view name(InstanceState state)
{
    return nameOf(stateNames, state);
}

Json toJson(const Instance &instance)
{
    return {{"name", instance.name},         {"role", instance.role},
            {"host", instance.host},         {"port", instance.port},
            {"state", name(instance.state)}, {"failure_domain", instance.failureDomain}};
}

InstanceList::InstanceList(absl::Duration lag)
    : m_lag(lag)
{}

Result<Instance> InstanceList::set(absl::Time now, const std::string &name, const Json &body)
{
    Instance current;
    current.name = name;
    const auto known = m_versions.find(name);
    if (known != m_versions.end())
        current = known->second.back().instance;
    BOOST_LEAF_AUTO(instance, changed(std::move(current), body));
    std::deque<Version> &versions = m_versions[name];
    versions.push_back({now, instance});
    while (versions.size() > 1 && versions[1].at <= now - m_lag)
        versions.pop_front();
    return instance;
}

std::vector<Instance> InstanceList::visibleInstances(absl::Time now) const
{
    std::vector<Instance> instances;
    for (const auto &[name, versions] : m_versions) {
        const Instance *visible = nullptr;
        for (const Version &version : versions) {
            if (version.at <= now - m_lag)
                visible = &version.instance;
        }
        if (visible != nullptr && visible->state != InstanceState::Gone)
            instances.push_back(*visible);
    }
    return instances;
}

} // namespace rattanrill::fakes
