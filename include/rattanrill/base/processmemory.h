#pragma once

#include <cstdint>

namespace rattanrill {

/// Resident memory of this process in bytes; 0 when the system does not tell.
std::int64_t residentBytes();

} // namespace rattanrill
