#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/batchmessages.h"

#include <string>

namespace rattanrill::entry {

/// JSON objects of the callers' files and batches interface.
Json fileObject(const std::string &id, std::int64_t bytes, std::int64_t createdMs,
                const std::string &fileName, const std::string &purpose);
Json batchObject(const wire::JobStatus &job);
/// One line of a job's result file, without line ending.
std::string resultLine(const std::string &jobId, const wire::ResultLine &line);
/// Id of a job's result file.
std::string resultFileId(const std::string &jobId);

} // namespace rattanrill::entry
