#include "directorywrites.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <optional>

namespace rattanrill::control {
namespace {

using Operation = wire::DirectoryOperation;

/// Returns the enumerator whose name is member \a key of \a body, or \a fallback if \a body has no
/// such member. \a last is the last enumerator of \a Enum; its enumerators are numbered from 0.
template <typename Enum>
Result<Enum> enumMember(const Json &body, std::string_view key, std::string fallback, Enum last)
{
    BOOST_LEAF_AUTO(value, jsonMemberOr<std::string>(body, key, std::move(fallback)));
    for (int i = 0; i <= static_cast<int>(last); ++i) {
        if (wire::name(static_cast<Enum>(i)) == value)
            return static_cast<Enum>(i);
    }
    return fail(notRun(ErrorCode::InvalidRequest,
                       concat("\"", key, "\" has the unknown value \"", value, "\"")));
}

Result<std::map<std::string, double>> regionShares(const Json &body)
{
    std::map<std::string, double> shares;
    const auto member = body.find("region_shares");
    if (member == body.end() || member->is_null())
        return shares;
    if (!member->is_object())
        return fail(notRun(ErrorCode::InvalidRequest, "\"region_shares\" must be an object"));
    for (const auto &[region, unused] : member->items()) {
        BOOST_LEAF_ASSIGN(shares[region], jsonMember<double>(*member, region));
    }
    return shares;
}

Result<Operation> putContract(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {"rate_per_second", "burst", "batch_share",
                                         "retention_seconds", "region_shares"}));
    wire::Contract contract;
    contract.workspace = id;
    BOOST_LEAF_ASSIGN(contract.ratePerSecond, jsonMember<double>(body, "rate_per_second"));
    BOOST_LEAF_ASSIGN(contract.burst, jsonMember<double>(body, "burst"));
    BOOST_LEAF_ASSIGN(contract.batchShare, jsonMemberOr<double>(body, "batch_share", 0));
    BOOST_LEAF_ASSIGN(
            contract.retentionSeconds,
            jsonMemberOr<std::int64_t>(body, "retention_seconds", contract.retentionSeconds));
    BOOST_LEAF_ASSIGN(contract.regionShares, regionShares(body));
    return Operation(wire::PutContract{contract});
}

Result<Operation> withdrawContract(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {}));
    return Operation(wire::WithdrawContract{id});
}

Result<Operation> revokeKey(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {}));
    return Operation(wire::RevokeKey{id});
}

Result<Operation> putConfig(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {"value"}));
    if (!body.contains("value"))
        return fail(notRun(ErrorCode::InvalidRequest, "\"value\" is missing"));
    wire::Config config;
    config.name = id;
    config.value = dumpJson(body.at("value"));
    return Operation(wire::PutConfig{config});
}

Result<Operation> putRoute(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {"path_prefix", "service", "open", "idempotent"}));
    wire::Route route;
    route.name = id;
    BOOST_LEAF_ASSIGN(route.pathPrefix, jsonMember<std::string>(body, "path_prefix"));
    BOOST_LEAF_ASSIGN(route.service, jsonMember<std::string>(body, "service"));
    BOOST_LEAF_ASSIGN(route.open, jsonMemberOr<bool>(body, "open", false));
    BOOST_LEAF_ASSIGN(route.idempotent, jsonMemberOr<bool>(body, "idempotent", false));
    return Operation(wire::PutRoute{route});
}

Result<Operation> removeRoute(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {}));
    return Operation(wire::RemoveRoute{id});
}

Result<Operation> putUpstream(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(
            body, {"kind", "serves", "host", "port", "failure_domain", "state", "checks_fence"}));
    wire::Upstream upstream;
    upstream.name = id;
    BOOST_LEAF_ASSIGN(upstream.kind, enumMember<wire::UpstreamKind>(body, "kind", "engine",
                                                                    wire::UpstreamKind::Service));
    BOOST_LEAF_ASSIGN(upstream.serves, jsonMember<std::string>(body, "serves"));
    BOOST_LEAF_ASSIGN(upstream.host, jsonMember<std::string>(body, "host"));
    BOOST_LEAF_ASSIGN(upstream.port, jsonMember<std::int64_t>(body, "port"));
    BOOST_LEAF_ASSIGN(upstream.failureDomain, jsonMember<std::string>(body, "failure_domain"));
    BOOST_LEAF_ASSIGN(
            upstream.state,
            enumMember<wire::UpstreamState>(body, "state", "active", wire::UpstreamState::Leaving));
    BOOST_LEAF_ASSIGN(upstream.checksFence, jsonMemberOr<bool>(body, "checks_fence", false));
    return Operation(wire::PutUpstream{upstream});
}

Result<Operation> removeUpstream(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {}));
    return Operation(wire::RemoveUpstream{id});
}

Result<Operation> releaseQuarantined(const std::string &id, const Json &body)
{
    BOOST_LEAF_CHECK(checkMembers(body, {}));
    return Operation(wire::ReleaseQuarantined{id});
}

} // namespace

Result<void> checkMembers(const Json &body, std::initializer_list<std::string_view> known)
{
    for (const auto &[key, unused] : body.items()) {
        const bool common = key == "request_id" || key == "base_revision";
        if (!common && std::find(known.begin(), known.end(), key) == known.end())
            return fail(notRun(ErrorCode::InvalidRequest, concat("\"", key, "\" is unknown")));
    }
    return {};
}

const std::vector<DirectoryWrite> &directoryWrites()
{
    static const std::vector<DirectoryWrite> writes = {
            {"PUT", "contracts", putContract},
            {"DELETE", "contracts", withdrawContract},
            {"DELETE", "keys", revokeKey},
            {"PUT", "configs", putConfig},
            {"PUT", "routes", putRoute},
            {"DELETE", "routes", removeRoute},
            {"PUT", "upstreams", putUpstream},
            {"DELETE", "upstreams", removeUpstream},
            {"DELETE", "held", releaseQuarantined},
    };
    return writes;
}

} // namespace rattanrill::control
