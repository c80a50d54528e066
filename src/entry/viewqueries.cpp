#include "viewqueries.h"

#include <set>

namespace rattanrill::entry {

bool servesModel(const directory::DirectoryView &view, std::string_view model)
{
    for (const auto &row : view.upstreams()) {
        if (row.record->kind == wire::UpstreamKind::Engine && row.record->serves == model)
            return true;
    }
    return false;
}

std::vector<std::string> models(const directory::DirectoryView &view)
{
    std::set<std::string> names;
    for (const auto &row : view.upstreams()) {
        if (row.record->kind == wire::UpstreamKind::Engine)
            names.insert(row.record->serves);
    }
    return {names.begin(), names.end()};
}

std::vector<std::string> memberNames(const directory::DirectoryView &view)
{
    std::vector<std::string> names;
    for (const auto &row : view.members())
        names.push_back(row.id);
    return names;
}

} // namespace rattanrill::entry
