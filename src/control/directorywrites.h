#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/directorymessages.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::control {

/// One kind of write of the operators' interface that is a directory command.
struct DirectoryWrite
{
    std::string_view method;
    /// Path after "/operator/v1/", up to the id of the record.
    std::string_view folder;
    /// The operation on record \a id; fails with InvalidRequest on a missing, unknown or wrong
    /// member of \a body.
    Result<wire::DirectoryOperation> (*build)(const std::string &id, const Json &body);
};

/// All of them but adding a key, whose answer differs.
const std::vector<DirectoryWrite> &directoryWrites();

/// Fails with InvalidRequest when \a body has a member that is neither request_id, base_revision
/// nor in \a known.
Result<void> checkMembers(const Json &body, std::initializer_list<std::string_view> known);

} // namespace rattanrill::control
