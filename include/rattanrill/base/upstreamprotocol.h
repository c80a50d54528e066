#pragma once

#include <string_view>

/// Headers of the upstream protocol, docs/upstream-protocol.md, that engines and services share.
namespace rattanrill {

/// Response header by which an upstream announces that it leaves.
constexpr std::string_view leavingHeader = "X-Rattanrill-Leaving";
/// Value of leavingHeader in an announcement.
constexpr std::string_view leavingValue = "1";

} // namespace rattanrill
