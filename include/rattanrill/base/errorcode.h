#pragma once

#include <optional>
#include <string_view>

namespace rattanrill {

/// Reasons why an operation can fail. The names of the codes are part of the interfaces for callers
/// and operators.
enum class ErrorCode {
    // Requests
    InvalidRequest,
    BodyTooLarge,
    MissingKey,
    InvalidKey,
    KeyRevoked,
    KeysNotFresh,
    NotFound,
    UnknownModel,
    UnknownRoute,
    MethodNotAllowed,
    RateLimited,
    RateUnknown,
    Overloaded,
    RequestQuarantined,
    DuplicateRequest,
    Draining,
    UpstreamUnavailable,
    UpstreamFailed,
    UpstreamBusy,
    StreamBroken,
    ClientDisconnected,
    // Batch
    InvalidItem,
    DuplicateItem,
    JobFinished,
    JobCancelled,
    LeaseExpired,
    ItemFailed,
    ResultExpired,
    // Shared state
    Conflict,
    NotLeader,
    NoQuorum,
    StaleRevision,
    StaleFencingToken,
    NotMember,
    ProposalLost,
    // Peers
    Timeout,
    ConnectionLost,
    QueueFull,
    MessageTooLarge,
    MalformedMessage,
    UnsupportedVersion,
    AuthenticationFailed,
    UnknownMethod,
    // Storage
    CorruptData,
    UnsupportedFormat,
    FsyncFailed,
    DiskFull,
    IoError,
    IdentityMismatch,
    // Processes
    InvalidSetting,
    InvalidArgument,
    AddressInUse,
    Stopped,
    Internal,
    // The results of batch items are stored with these numbers, so new codes go last.
    NotReady,
};

/// Whether the failed operation may have had an effect.
enum class EffectState {
    NotRun,
    MayHaveRun,
};

std::string_view name(ErrorCode code);
std::optional<ErrorCode> errorCodeFromName(std::string_view name);
std::string_view name(EffectState state);

/// HTTP status with which \a code is reported to a caller or an operator.
int httpStatus(ErrorCode code);

} // namespace rattanrill
