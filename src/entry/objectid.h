#pragma once

#include "rattanrill/base/result.h"

#include <string>
#include <string_view>

namespace rattanrill::entry {

enum class ObjectKind {
    File,
    Batch,
    /// Results of a job; shares the job's number.
    Result,
};

/// Id of a file or job, "batch-3-9f2c...": kind, partition and a random number.
struct ObjectId
{
    ObjectKind kind = ObjectKind::File;
    int partition = 0;
    std::string number;

    std::string text() const;
    /// Same partition and number, other kind.
    ObjectId as(ObjectKind other) const { return {other, partition, number}; }
};

/// Draws a number and derives the partition from it.
ObjectId newObjectId(ObjectKind kind, int partitions);
/// Fails with NotFound on anything that is not an id of one of \a partitions partitions.
Result<ObjectId> parseObjectId(std::string_view text, int partitions);
/// Partition that all entries agree on for \a key of \a workspace.
int partitionOf(std::string_view workspace, std::string_view key, int partitions);

} // namespace rattanrill::entry
