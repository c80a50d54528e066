#pragma once

#include "rattanrill/base/failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::wire {

/// Version of the envelope and of the messages in it.
constexpr std::uint32_t protocolVersion = 1;

enum class EnvelopeKind {
    Hello,
    Request,
    Response,
    Push,
};

enum class Method {
    Hello,
    Raft,
    Propose,
    Read,
    PollChanges,
    Grant,
    TransferRateBuckets,
    Heartbeat,
    Sync,
    RequestSlot,
    ReleaseSlot,
    Load,
    ReportHeldSlots,
    SubmitJob,
    ReadJob,
    ReadItem,
    EndJob,
};

std::string_view name(EnvelopeKind kind);
std::string_view name(Method method);

/// A \c Failure on the wire; \a failed is false in a response that carries a value.
struct FailureMessage
{
    bool failed = false;
    std::string code;
    std::string run;
    std::string detail;
};

FailureMessage toMessage(const Failure &failure);
Failure fromMessage(const FailureMessage &message);

/// One websocket frame between two processes.
struct Envelope
{
    std::uint32_t version = protocolVersion;
    EnvelopeKind kind = EnvelopeKind::Request;
    /// Of a request, chosen by its sender; repeated in the response.
    std::uint64_t id = 0;
    Method method = Method::Hello;
    FailureMessage failure;
    /// CBOR of the method's message.
    std::string body;
};

/// First message of both sides. \a proof is the HMAC-SHA256 of the other side's nonce and the own
/// instance name under the cluster secret; it is empty in the opening message of the client.
struct HelloMessage
{
    std::uint32_t version = protocolVersion;
    std::string instance;
    std::string failureDomain;
    std::string role;
    std::string nonce;
    std::string proof;
};

/// Request of Method::Propose: \a command is the encoded command of the group's state machine.
struct ProposeRequest
{
    std::string group;
    std::string command;
};

/// Request of Method::Read: \a query is the encoded query of the group's state machine.
struct ReadRequest
{
    std::string group;
    std::string query;
};

/// Response of Method::Propose and Method::Read: what the state machine answered.
struct GroupResponse
{
    std::string body;
};

/// Request and push of Method::Raft.
struct RaftEnvelope
{
    std::string group;
    std::string message;
};

/// What a state machine's apply() and query() return: a failure or an encoded message.
struct CommandResult
{
    FailureMessage failure;
    std::string body;
};

} // namespace rattanrill::wire
