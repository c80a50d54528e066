#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/directorymessages.h"

namespace rattanrill::control {

/// A record of the directory as operators see it. Fails with MalformedMessage.
Result<Json> recordJson(const wire::RecordChange &change);

Json memberJson(const wire::Member &member);
Json jobJson(const wire::JobStatus &job);

} // namespace rattanrill::control
