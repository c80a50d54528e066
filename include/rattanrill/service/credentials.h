#pragma once

#include <string>
#include <string_view>

namespace rattanrill::service {

/// Whether a query parameter of this name carries a credential by its usual meaning.
bool isCredentialParameter(std::string_view name);

/// \a query without parameters that carry a credential: those of the usual names, and any whose
/// name or value contains \a key, the key that the caller presented (plain or percent-encoded).
std::string stripCredentials(std::string_view query, std::string_view key);

/// Whether \a text contains \a key, plain or percent-encoded. An empty key is contained in nothing.
bool containsApiKey(std::string_view text, std::string_view key);

} // namespace rattanrill::service
