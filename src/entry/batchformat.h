#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/wire/batchmessages.h"

#include <string>

namespace rattanrill::entry {

/// Objects of the usual files and batches interface.
Json fileObject(const std::string &id, std::int64_t bytes, std::int64_t createdMs,
                const std::string &fileName, const std::string &purpose);
Json batchObject(const wire::JobStatus &job);
/// One line of a job's results, without line end.
std::string resultLine(const std::string &jobId, const wire::ResultLine &line);
/// Id of a job's results.
std::string resultFileId(const std::string &jobId);

} // namespace rattanrill::entry
