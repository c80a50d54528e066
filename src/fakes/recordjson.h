#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/fakes/requestlog.h"

namespace rattanrill::fakes {

Json toJson(const RequestRecord &record);

} // namespace rattanrill::fakes
