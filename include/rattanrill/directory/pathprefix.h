#pragma once

#include <string_view>

namespace rattanrill::directory {

/// Returns \a prefix without its trailing slash, since "/desk" and "/desk/" are the same route.
std::string_view withoutTrailingSlash(std::string_view prefix);

/// Whether \a path (without query) is \a prefix or lies below it. Compares whole segments, so that
/// an open route "/public" does not also open "/publications" to callers without a key.
bool matchesPrefix(std::string_view path, std::string_view prefix);

} // namespace rattanrill::directory
