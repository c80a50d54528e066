#pragma once

#include <string>

namespace rattanrill::entry {

/// Who sent a request.
struct Caller
{
    /// Empty on an open route.
    std::string workspace;
    /// SHA-256 of the presented key, hexadecimal; empty on an open route.
    std::string keyHash;
    /// The key as presented, kept only to make sure that it is not forwarded.
    std::string key;
};

} // namespace rattanrill::entry
