#include "tabletext.h"

#include <algorithm>

namespace rattanrill::ctl {
namespace {

/// Spaces between two columns.
constexpr std::size_t columnGap = 2;

std::string cellText(const Json &row, const std::string &column)
{
    const auto member = row.find(column);
    if (member == row.end() || member->is_null())
        return "-";
    return member->is_string() ? member->get<std::string>() : dumpJson(*member);
}

} // namespace

std::string tableText(const std::vector<std::string> &columns, const Json &rows)
{
    std::vector<std::vector<std::string>> lines = {columns};
    for (const Json &row : rows) {
        std::vector<std::string> line;
        line.reserve(columns.size());
        for (const std::string &column : columns)
            line.push_back(cellText(row, column));
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    std::string text;
    for (auto &line : lines) {
        for (std::size_t i = 0; i + 1 < line.size(); ++i)
            line[i].resize(widths[i] + columnGap, ' ');
        for (const std::string &cell : line)
            text += cell;
        text += '\n';
    }
    return text;
}

} // namespace rattanrill::ctl
