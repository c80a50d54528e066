#include "rattanrill/net/headgrammar.h"

#include "rattanrill/base/concat.h"

#include "absl/strings/escaping.h"

#include <algorithm>

namespace rattanrill::net {
namespace {

/// Characters of a token beside letters and digits.
constexpr std::string_view tokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::size_t maxQuotedBytes = 64;

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

bool isTokenCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || tokenMarks.find(c) != std::string_view::npos;
}

} // namespace

bool isValidTarget(std::string_view text)
{
    return !text.empty() && text.front() == '/'
           && std::none_of(text.begin(), text.end(),
                           [](char c) { return isControl(c) || c == ' '; });
}

bool isValidToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isValidFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return isControl(c) && c != '\t'; });
}

bool isValidIdentifier(std::string_view text)
{
    return isValidFieldValue(text) && !text.empty() && !isBlank(text.front())
           && !isBlank(text.back());
}

std::string quotedExcerpt(std::string_view text)
{
    const std::string excerpt(text.substr(0, maxQuotedBytes));
    return concat("\"", absl::CHexEscape(excerpt), "\"");
}

} // namespace rattanrill::net
