#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/directorymessages.h"

namespace rattanrill::control {

/// Converts a directory record to its JSON form in the operators' interface. Fails with
/// MalformedMessage.
Result<Json> recordJson(const wire::RecordChange &change);

Json memberJson(const wire::Member &member);
Json jobJson(const wire::JobStatus &job);

} // namespace rattanrill::control
