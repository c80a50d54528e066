#pragma once

#include <string>

namespace rattanrill::entry {

/// Identity of the sender of a request.
struct Caller
{
    /// Empty on an open route.
    std::string workspace;
    /// SHA-256 of the presented API key, hexadecimal; empty on an open route.
    std::string keyHash;
    /// API key as presented, kept only to ensure that it is not forwarded.
    std::string key;
};

} // namespace rattanrill::entry
