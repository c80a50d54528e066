#include "rattanrill/service/credentials.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace rattanrill::service {
namespace {

/// Names of credential parameters as normalized() returns them.
constexpr std::array<std::string_view, 9> credentialNames = {
        "apikey",  "key",    "accesstoken", "token",    "authorization",
        "xapikey", "bearer", "secret",      "password",
};

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isEscape = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0
                              && hexValue(text[i + 2]) >= 0;
        if (!isEscape) {
            decoded += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

/// Decodes \a name, converts it to lower case and removes "-" and "_", so that one entry of
/// credentialNames covers all spellings.
std::string normalized(std::string_view name)
{
    std::string result;
    for (const char c : percentDecoded(name)) {
        if (c != '-' && c != '_')
            result += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return result;
}

} // namespace

bool isCredentialParameter(std::string_view name)
{
    const std::string normalizedName = normalized(name);
    return std::find(credentialNames.begin(), credentialNames.end(), normalizedName)
           != credentialNames.end();
}

bool containsApiKey(std::string_view text, std::string_view key)
{
    if (key.empty())
        return false;
    return text.find(key) != std::string_view::npos
           || percentDecoded(text).find(key) != std::string::npos;
}

std::string stripCredentials(std::string_view query, std::string_view key)
{
    std::string kept;
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::string_view name = parameter.substr(0, parameter.find('='));
        if (parameter.empty() || isCredentialParameter(name) || containsApiKey(parameter, key))
            continue;
        kept += kept.empty() ? "" : "&";
        kept += parameter;
    }
    return kept;
}

} // namespace rattanrill::service
