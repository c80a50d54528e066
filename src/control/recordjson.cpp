#include "recordjson.h"

#include "rattanrill/wire/codec.h"

#include <array>

namespace rattanrill::control {
namespace {

Json toJson(const wire::Contract &contract)
{
    return Json{{"workspace", contract.workspace},
                {"rate_per_second", contract.ratePerSecond},
                {"burst", contract.burst},
                {"batch_share", contract.batchShare},
                {"region_shares", contract.regionShares},
                {"retention_seconds", contract.retentionSeconds},
                {"withdrawn", contract.withdrawn},
                {"revision", contract.revision}};
}

/// Omits the hash, which is of no use to an operator.
Json toJson(const wire::ApiKey &key)
{
    return Json{{"key_id", key.keyId},
                {"workspace", key.workspace},
                {"withdrawn", key.withdrawn},
                {"revision", key.revision}};
}

Json toJson(const wire::Config &config)
{
    const auto value = outcomeOf([&] { return parseJson(config.value, config.name); });
    return Json{{"name", config.name},
                {"value", value.ok() ? value.value() : Json()},
                {"revision", config.revision}};
}

Json toJson(const wire::Route &route)
{
    return Json{
            {"name", route.name}, {"path_prefix", route.pathPrefix}, {"service", route.service},
            {"open", route.open}, {"idempotent", route.idempotent},  {"revision", route.revision}};
}

Json toJson(const wire::Upstream &upstream)
{
    return Json{{"name", upstream.name},
                {"kind", wire::name(upstream.kind)},
                {"serves", upstream.serves},
                {"host", upstream.host},
                {"port", upstream.port},
                {"failure_domain", upstream.failureDomain},
                {"state", wire::name(upstream.state)},
                {"checks_fence", upstream.checksFence},
                {"revision", upstream.revision}};
}

Json toJson(const wire::Member &member)
{
    return memberJson(member);
}

Json toJson(const wire::FencingToken &token)
{
    return Json{
            {"upstream", token.upstream}, {"number", token.number}, {"revision", token.revision}};
}

Json toJson(const wire::QuarantinedRequest &quarantined)
{
    return Json{{"fingerprint", quarantined.fingerprint},
                {"crashed_upstreams", quarantined.crashedUpstreams},
                {"expires_at_ms", quarantined.expiresAtMs},
                {"held", quarantined.held},
                {"revision", quarantined.revision}};
}

template <typename Record>
Result<Json> decodeToJson(const std::string &body)
{
    BOOST_LEAF_AUTO(record, wire::decode<Record>(body));
    return toJson(record);
}

} // namespace

Result<Json> recordJson(const wire::RecordChange &change)
{
    using Decoder = Result<Json> (*)(const std::string &);
    // Indexed by wire::RecordKind.
    static constexpr std::array<Decoder, 8> decoders = {
            &decodeToJson<wire::Contract>,     &decodeToJson<wire::ApiKey>,
            &decodeToJson<wire::Config>,       &decodeToJson<wire::Route>,
            &decodeToJson<wire::Upstream>,     &decodeToJson<wire::Member>,
            &decodeToJson<wire::FencingToken>, &decodeToJson<wire::QuarantinedRequest>,
    };
    return decoders.at(static_cast<std::size_t>(change.kind))(change.body);
}

Json memberJson(const wire::Member &member)
{
    return Json{{"instance", member.instance},        {"failure_domain", member.failureDomain},
                {"peer_address", member.peerAddress}, {"http_address", member.httpAddress},
                {"incarnation", member.incarnation},  {"revision", member.revision}};
}

Json jobJson(const wire::JobStatus &job)
{
    return Json{{"id", job.jobId},
                {"workspace", job.workspace},
                {"state", wire::name(job.state)},
                {"file_id", job.fileId},
                {"result_file_id", job.resultFileId},
                {"counts",
                 {{"total", job.counts.total},
                  {"completed", job.counts.completed},
                  {"failed", job.counts.failed},
                  {"cancelled", job.counts.cancelled},
                  {"open", job.counts.open}}},
                {"created_at_ms", job.createdAtMs},
                {"due_at_ms", job.dueAtMs},
                {"ended_at_ms", job.endedAtMs}};
}

} // namespace rattanrill::control
