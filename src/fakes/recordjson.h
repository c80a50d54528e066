#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/fakes/recordbook.h"

namespace rattanrill::fakes {

Json toJson(const Record &record);

} // namespace rattanrill::fakes
