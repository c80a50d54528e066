#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/directorymessages.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::control {

/// Maps a write request of the operators' interface to a directory operation.
struct DirectoryWrite
{
    std::string_view method;
    /// Path segment between "/operator/v1/" and the id of the record.
    std::string_view collection;
    /// Builds the operation on record \a id. Fails with InvalidRequest when a member of \a body is
    /// missing, unknown or invalid.
    Result<wire::DirectoryOperation> (*build)(const std::string &id, const Json &body);
};

/// All directory writes except the creation of a key, whose response also contains the key.
const std::vector<DirectoryWrite> &directoryWrites();

/// Fails with InvalidRequest when \a body has a member other than request_id, base_revision and the
/// names in \a known.
Result<void> checkMembers(const Json &body, std::initializer_list<std::string_view> known);

} // namespace rattanrill::control
