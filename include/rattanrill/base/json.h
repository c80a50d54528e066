#pragma once

#include "rattanrill/base/result.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <limits>
#include <string>
#include <string_view>

namespace rattanrill {

using Json = nlohmann::json;

/// Maximum number of nested arrays and objects. Serializing a document needs stack for each level.
constexpr std::size_t maxJsonDepth = 256;

/// Parses JSON text. Fails with InvalidRequest on a syntax error, invalid UTF-8, a number that no
/// type holds, more than maxJsonDepth levels, or more than \a maxValues values and member names,
/// each of which may need many times the memory of its text; the detail of the failure names
/// \a what.
Result<Json> parseJson(std::string_view text, std::string_view what,
                       std::size_t maxValues = std::numeric_limits<std::size_t>::max());

/// Returns member \a key of \a object as T. Fails with InvalidRequest when the member is missing or
/// has another type.
template <typename T>
Result<T> jsonMember(const Json &object, std::string_view key);

/// Like jsonMember(), but returns \a fallback for a missing or null member.
template <typename T>
Result<T> jsonMemberOr(const Json &object, std::string_view key, T fallback);

extern template Result<std::string> jsonMember(const Json &, std::string_view);
extern template Result<std::int64_t> jsonMember(const Json &, std::string_view);
extern template Result<double> jsonMember(const Json &, std::string_view);
extern template Result<bool> jsonMember(const Json &, std::string_view);
extern template Result<std::string> jsonMemberOr(const Json &, std::string_view, std::string);
extern template Result<std::int64_t> jsonMemberOr(const Json &, std::string_view, std::int64_t);
extern template Result<double> jsonMemberOr(const Json &, std::string_view, double);
extern template Result<bool> jsonMemberOr(const Json &, std::string_view, bool);

/// Serializes \a json. Invalid UTF-8 is replaced; no exception is thrown for it.
std::string dumpJson(const Json &json);

} // namespace rattanrill
