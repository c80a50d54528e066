#include "rattanrill/base/errorcode.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill {
namespace {

struct ErrorRow
{
    ErrorCode code;
    std::string_view name;
    int status;
};

constexpr ErrorRow errorRows[] = {
        {ErrorCode::InvalidRequest, "invalid_request", 400},
        {ErrorCode::BodyTooLarge, "body_too_large", 413},
        {ErrorCode::MissingKey, "missing_key", 401},
        {ErrorCode::InvalidKey, "invalid_key", 401},
        {ErrorCode::KeyRevoked, "key_withdrawn", 401},
        {ErrorCode::KeysNotFresh, "keys_not_fresh", 503},
        {ErrorCode::NotFound, "not_found", 404},
        {ErrorCode::UnknownModel, "unknown_model", 404},
        {ErrorCode::UnknownRoute, "unknown_route", 404},
        {ErrorCode::MethodNotAllowed, "method_not_allowed", 405},
        {ErrorCode::RateLimited, "rate_limited", 429},
        {ErrorCode::RateUnknown, "rate_unknown", 503},
        {ErrorCode::Overloaded, "overloaded", 503},
        {ErrorCode::RequestQuarantined, "request_held", 422},
        {ErrorCode::DuplicateRequest, "duplicate_request", 409},
        {ErrorCode::Draining, "draining", 503},
        {ErrorCode::UpstreamUnavailable, "upstream_unavailable", 503},
        {ErrorCode::UpstreamFailed, "upstream_failed", 502},
        {ErrorCode::UpstreamBusy, "upstream_busy", 503},
        {ErrorCode::StreamBroken, "stream_broken", 502},
        {ErrorCode::ClientDisconnected, "client_gone", 499},
        {ErrorCode::InvalidItem, "invalid_item", 400},
        {ErrorCode::DuplicateItem, "duplicate_item", 400},
        {ErrorCode::JobFinished, "job_finished", 409},
        {ErrorCode::JobCancelled, "job_cancelled", 409},
        {ErrorCode::LeaseExpired, "lease_expired", 409},
        {ErrorCode::ItemFailed, "item_failed", 422},
        {ErrorCode::ResultExpired, "result_expired", 410},
        {ErrorCode::Conflict, "conflict", 409},
        {ErrorCode::NotLeader, "not_leader", 503},
        {ErrorCode::NoQuorum, "no_quorum", 503},
        {ErrorCode::StaleRevision, "stale_revision", 409},
        {ErrorCode::StaleFencingToken, "stale_fence", 409},
        {ErrorCode::NotMember, "not_member", 409},
        {ErrorCode::ProposalLost, "proposal_lost", 503},
        {ErrorCode::Timeout, "timeout", 504},
        {ErrorCode::ConnectionLost, "connection_lost", 502},
        {ErrorCode::QueueFull, "queue_full", 503},
        {ErrorCode::MessageTooLarge, "message_too_large", 413},
        {ErrorCode::MalformedMessage, "malformed_message", 400},
        {ErrorCode::UnsupportedVersion, "unsupported_version", 400},
        {ErrorCode::AuthenticationFailed, "authentication_failed", 401},
        {ErrorCode::UnknownMethod, "unknown_method", 404},
        {ErrorCode::CorruptData, "corrupt_data", 500},
        {ErrorCode::UnsupportedFormat, "unsupported_format", 500},
        {ErrorCode::FsyncFailed, "sync_failed", 500},
        {ErrorCode::DiskFull, "disk_full", 507},
        {ErrorCode::IoError, "io_error", 500},
        {ErrorCode::IdentityMismatch, "identity_mismatch", 500},
        {ErrorCode::InvalidSetting, "invalid_setting", 400},
        {ErrorCode::InvalidArgument, "invalid_argument", 400},
        {ErrorCode::AddressInUse, "address_in_use", 500},
        {ErrorCode::Stopped, "stopped", 503},
        {ErrorCode::Internal, "internal", 500},
        {ErrorCode::NotReady, "not_ready", 503},
};

constexpr std::array<EnumName<EffectState>, 2> effectStateNames = {{
        {EffectState::NotRun, "not_run"},
        {EffectState::MayHaveRun, "may_have_run"},
}};

} // namespace

std::string_view name(ErrorCode code)
{
    for (const ErrorRow &row : errorRows) {
        if (row.code == code)
            return row.name;
    }
    return "internal";
}

std::optional<ErrorCode> errorCodeFromName(std::string_view name)
{
    for (const ErrorRow &row : errorRows) {
        if (row.name == name)
            return row.code;
    }
    return std::nullopt;
}

std::string_view name(EffectState state)
{
    return nameOf(effectStateNames, state);
}

int httpStatus(ErrorCode code)
{
    for (const ErrorRow &row : errorRows) {
        if (row.code == code)
            return row.status;
    }
    return 500;
}

} // namespace rattanrill
