#include "rattanrill/base/jsonarraytext.h"

#include "rattanrill/base/concat.h"

#include <cstddef>
#include <optional>

namespace rattanrill {
namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Returns the position behind the string whose opening quote is at \a position.
std::size_t skipString(std::string_view text, std::size_t position)
{
    for (++position; position < text.size(); ++position) {
        if (text[position] == '\\')
            ++position;
        else if (text[position] == '"')
            return position + 1;
    }
    return text.size();
}

/// Returns the position of the first of \a ends that is inside no string, array or object, from
/// \a position on; the end of the text when there is none.
std::size_t findOutside(std::string_view text, std::size_t position, std::string_view ends)
{
    std::size_t depth = 0;
    while (position < text.size()) {
        const char c = text[position];
        if (c == '"') {
            position = skipString(text, position);
            continue;
        }
        if (depth == 0 && ends.find(c) != std::string_view::npos)
            return position;
        if (c == '[' || c == '{')
            ++depth;
        else if ((c == ']' || c == '}') && depth > 0)
            --depth;
        ++position;
    }
    return text.size();
}

/// Returns the position of the bracket that opens the array.
std::optional<std::size_t> findArray(std::string_view text, std::string_view key)
{
    const std::string quoted = concat("\"", key, "\"");
    std::size_t position = text.find('{');
    while (position < text.size()) {
        ++position;
        const std::size_t colon = findOutside(text, position, ":}");
        if (colon >= text.size() || text[colon] == '}')
            return std::nullopt;
        const std::size_t value = text.find_first_not_of(whitespace, colon + 1);
        const bool isKey = trimmed(text.substr(position, colon - position)) == quoted;
        if (isKey && value < text.size() && text[value] == '[')
            return value;
        position = findOutside(text, colon + 1, ",}");
        if (position < text.size() && text[position] == '}')
            return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

Result<JsonArrayText> splitJsonArray(std::string_view text, std::string_view key,
                                     std::string_view what)
{
    const auto begin = findArray(text, key);
    if (!begin)
        return fail(notRun(ErrorCode::InvalidRequest,
                           concat(what, " is no JSON object with an array \"", key, "\"")));
    JsonArrayText result;
    std::size_t position = *begin + 1;
    while (true) {
        const std::size_t end = findOutside(text, position, ",]");
        if (end >= text.size())
            return fail(notRun(ErrorCode::InvalidRequest,
                               concat(what, " ends inside the array \"", key, "\"")));
        const std::string_view element = trimmed(text.substr(position, end - position));
        const bool isLast = text[end] == ']';
        if (!element.empty() || !isLast)
            result.elements.push_back(element);
        position = end + 1;
        if (isLast)
            break;
    }
    result.rest = concat(text.substr(0, *begin), "[]", text.substr(position));
    return result;
}

} // namespace rattanrill
