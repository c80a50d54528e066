#pragma once

#include "rattanrill/base/failure.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::wire {

/// Version of the envelope and of the messages in it.
constexpr std::uint32_t protocolVersion = 1;

/// Kind of message that an envelope carries.
enum class EnvelopeKind {
    Hello,
    Request,
    Response,
    /// Request without a response.
    Push,
};

/// Operation that an envelope belongs to.
enum class Method {
    Hello,
    Raft,
    Propose,
    Read,
    PollChanges,
    GrantRate,
    TransferRateBuckets,
    Heartbeat,
    SyncFleet,
    RequestSlot,
    ReleaseSlot,
    ReportLoad,
    ReportHeldSlots,
    SubmitJob,
    ReadJob,
    ReadItem,
    EndJob,
    ReportPromptEvidence,
    ForwardCall,
    ReadForwardedCall,
    CancelForwardedCall,
};

std::string_view name(EnvelopeKind kind);
std::string_view name(Method method);

/// Wire format of a \c Failure. \a failed is false in a response without a failure.
struct FailureMessage
{
    bool failed = false;
    std::string code;
    std::string run;
    std::string detail;
};

FailureMessage toMessage(const Failure &failure);
Failure fromMessage(const FailureMessage &message);

/// One WebSocket frame between two processes.
struct Envelope
{
    std::uint32_t version = protocolVersion;
    EnvelopeKind kind = EnvelopeKind::Request;
    /// Id that the sender of a request assigns; the response has the same id.
    std::uint64_t id = 0;
    Method method = Method::Hello;
    /// Set if the request failed or the connection was refused.
    FailureMessage failure;
    /// CBOR encoding of the message of \a method.
    std::string body;
};

/// Message by which the two ends of a connection authenticate each other before any other message.
/// \a proof is an HMAC-SHA256, keyed with the cluster secret, over the sender's side (client or
/// server), the receiver's nonce, and the sender's nonce, instance name, failure domain and role.
/// It is empty in the client's opening message.
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

/// Response of Method::Propose and Method::Read: the encoded result of the state machine.
struct GroupResponse
{
    std::string body;
};

/// Request and push of Method::Raft: an encoded Raft message of \a group.
struct RaftEnvelope
{
    std::string group;
    std::string message;
};

/// Return value of apply() and query() of a state machine: a failure or an encoded message.
struct CommandResult
{
    FailureMessage failure;
    std::string body;
};

} // namespace rattanrill::wire
