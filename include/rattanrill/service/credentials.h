#pragma once

#include <string>
#include <string_view>

namespace rattanrill::service {

/// Whether a query parameter with this name usually carries a credential, such as "api_key" or
/// "token". Ignores case, "-" and "_".
bool isCredentialParameter(std::string_view name);

/// Returns \a query (without "?") without the parameters that carry a credential: those for which
/// isCredentialParameter() holds, and those whose name or value contains \a key, plain or
/// percent-encoded. \a key is the API key that the caller presented.
std::string stripCredentials(std::string_view query, std::string_view key);

/// Whether \a text contains \a key, plain or percent-encoded. False for an empty \a key.
bool containsApiKey(std::string_view text, std::string_view key);

} // namespace rattanrill::service
