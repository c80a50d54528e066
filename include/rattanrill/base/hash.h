#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill {

/// xxHash (XXH3, 64 bit): equal in every process and version. Use it for anything that several
/// processes agree on; std::hash and absl::Hash differ between processes.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// Index in \a members of the owner of \a key by rendezvous hashing; a change of membership moves
/// only the keys of the member that came or went. Requires a non-empty list.
std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);
/// HMAC-SHA256 as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);
/// Comparison whose time does not depend on where the texts differ.
bool constantTimeEquals(std::string_view left, std::string_view right);
/// \a bytes random bytes of the system's generator as hexadecimal digits.
std::string randomHex(std::size_t bytes);

} // namespace rattanrill
