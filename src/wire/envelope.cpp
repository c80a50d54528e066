#include "rattanrill/wire/envelope.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<EnvelopeKind>, 4> envelopeKindNames = {{
        {EnvelopeKind::Hello, "hello"},
        {EnvelopeKind::Request, "request"},
        {EnvelopeKind::Response, "response"},
        {EnvelopeKind::Push, "push"},
}};

constexpr std::array<EnumName<Method>, 21> methodNames = {{
        {Method::Hello, "hello"},
        {Method::Raft, "raft"},
        {Method::Propose, "propose"},
        {Method::Read, "read"},
        {Method::PollChanges, "follow"},
        {Method::GrantRate, "grant"},
        {Method::TransferRateBuckets, "hand_over"},
        {Method::Heartbeat, "heartbeat"},
        {Method::SyncFleet, "sync"},
        {Method::RequestSlot, "place"},
        {Method::ReleaseSlot, "release"},
        {Method::ReportLoad, "load"},
        {Method::ReportHeldSlots, "hold"},
        {Method::SubmitJob, "submit_job"},
        {Method::ReadJob, "read_job"},
        {Method::ReadItem, "read_item"},
        {Method::EndJob, "end_job"},
        {Method::ReportPromptEvidence, "report_prompt_evidence"},
        {Method::ForwardCall, "forward_call"},
        {Method::ReadForwardedCall, "read_forwarded_call"},
        {Method::CancelForwardedCall, "cancel_forwarded_call"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(EnvelopeKind, envelopeKindNames)
RATTANRILL_WIRE_ENUM(Method, methodNames)
RATTANRILL_WIRE_FIELDS(FailureMessage, failed, code, run, detail)
RATTANRILL_WIRE_FIELDS(Envelope, version, kind, id, method, failure, body)
RATTANRILL_WIRE_FIELDS(HelloMessage, version, instance, failureDomain, role, nonce, proof)
RATTANRILL_WIRE_FIELDS(ProposeRequest, group, command)
RATTANRILL_WIRE_FIELDS(ReadRequest, group, query)
RATTANRILL_WIRE_FIELDS(GroupResponse, body)
RATTANRILL_WIRE_FIELDS(RaftEnvelope, group, message)
RATTANRILL_WIRE_FIELDS(CommandResult, failure, body)

RATTANRILL_WIRE_MESSAGE(FailureMessage)
RATTANRILL_WIRE_MESSAGE(Envelope)
RATTANRILL_WIRE_MESSAGE(HelloMessage)
RATTANRILL_WIRE_MESSAGE(ProposeRequest)
RATTANRILL_WIRE_MESSAGE(ReadRequest)
RATTANRILL_WIRE_MESSAGE(GroupResponse)
RATTANRILL_WIRE_MESSAGE(RaftEnvelope)
RATTANRILL_WIRE_MESSAGE(CommandResult)

std::string_view name(EnvelopeKind kind)
{
    return nameOf(envelopeKindNames, kind);
}

std::string_view name(Method method)
{
    return nameOf(methodNames, method);
}

FailureMessage toMessage(const Failure &failure)
{
    FailureMessage message;
    message.failed = true;
    message.code = name(failure.code);
    message.run = name(failure.effect);
    message.detail = failure.detail;
    return message;
}

Failure fromMessage(const FailureMessage &message)
{
    Failure failure;
    failure.code = errorCodeFromName(message.code).value_or(ErrorCode::Internal);
    // An unknown name counts as MayHaveRun: with a wrong NotRun, the caller could send a request
    // again that has run.
    const bool isNotRun = message.run == name(EffectState::NotRun);
    failure.effect = isNotRun ? EffectState::NotRun : EffectState::MayHaveRun;
    failure.detail = message.detail;
    return failure;
}

} // namespace rattanrill::wire
