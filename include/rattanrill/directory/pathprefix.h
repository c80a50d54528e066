#pragma once

#include <string_view>

namespace rattanrill::directory {

/// \a prefix without its trailing slash: "/desk" and "/desk/" are the same route.
std::string_view prefixBase(std::string_view prefix);

/// \a path (without query) is \a prefix or lies below it. Whole segments are compared, so that an
/// open route "/public" does not open "/publications".
bool matchesPrefix(std::string_view path, std::string_view prefix);

} // namespace rattanrill::directory
