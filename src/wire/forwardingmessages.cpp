#include "rattanrill/wire/forwardingmessages.h"

#include "messagedefinition.h"

namespace rattanrill::wire {

RATTANRILL_WIRE_FIELDS(ForwardCall, callId, upstream, address, requestId, request, deadlineMs,
                       promptParts, fingerprint)
RATTANRILL_WIRE_FIELDS(ReadForwardedCall, callId)
RATTANRILL_WIRE_FIELDS(ForwardedPart, hasHead, status, reason, headers, body, end, isUnanswered)
RATTANRILL_WIRE_FIELDS(CancelForwardedCall, callId)

RATTANRILL_WIRE_MESSAGE(ForwardCall)
RATTANRILL_WIRE_MESSAGE(ReadForwardedCall)
RATTANRILL_WIRE_MESSAGE(ForwardedPart)
RATTANRILL_WIRE_MESSAGE(CancelForwardedCall)

} // namespace rattanrill::wire
