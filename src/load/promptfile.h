#pragma once

#include "rattanrill/base/json.h"

#include <string>
#include <vector>

namespace rattanrill::load {

/// Lines of a JSONL file; blank lines are skipped. Fails with IoError when it cannot be read and
/// with InvalidRequest, naming file and line, when a line is not a JSON object.
Result<std::vector<Json>> readJsonLines(const std::string &file);

/// As readJsonLines(), from text; \a source names where it came from.
Result<std::vector<Json>> parseJsonLines(const std::string &text, const std::string &source);

/// Whole content of \a file. Fails with IoError.
Result<std::string> readTextFile(const std::string &file);

} // namespace rattanrill::load
