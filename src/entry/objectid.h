#pragma once

#include "rattanrill/base/result.h"

#include <string>
#include <string_view>

namespace rattanrill::entry {

enum class ObjectKind {
    File,
    Batch,
    /// Result file of a job; has the job's number.
    Result,
};

/// Id of a file or job, such as "batch-3-9f2c...": kind, partition and a random hexadecimal number.
struct ObjectId
{
    ObjectKind kind = ObjectKind::File;
    int partition = 0;
    std::string number;

    std::string text() const;
    /// Id with the same partition and number, but another kind.
    ObjectId withKind(ObjectKind other) const { return {other, partition, number}; }
};

/// Generates a random number and derives the partition from it.
ObjectId newObjectId(ObjectKind kind, int partitions);
/// Fails with NotFound when \a text is not an id or its partition is not one of \a partitions
/// partitions.
Result<ObjectId> parseObjectId(std::string_view text, int partitions);
/// Partition for \a key of \a workspace; all entries compute the same one.
int partitionOf(std::string_view workspace, std::string_view key, int partitions);

} // namespace rattanrill::entry
