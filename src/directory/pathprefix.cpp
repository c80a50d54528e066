#include "rattanrill/directory/pathprefix.h"

namespace rattanrill::directory {

std::string_view withoutTrailingSlash(std::string_view prefix)
{
    const bool hasTrailingSlash = !prefix.empty() && prefix.back() == '/';
    return hasTrailingSlash ? prefix.substr(0, prefix.size() - 1) : prefix;
}

bool matchesPrefix(std::string_view path, std::string_view prefix)
{
    const std::string_view base = withoutTrailingSlash(prefix);
    if (path.substr(0, base.size()) != base)
        return false;
    return path.size() == base.size() || path[base.size()] == '/';
}

} // namespace rattanrill::directory
