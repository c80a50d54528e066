#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill {

/// 64-bit XXH3 hash, which is the same in every process and version. Use it when several processes
/// must compute the same value; std::hash and absl::Hash can differ between processes.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// Index in \a members of the owner of \a key by rendezvous hashing. When a member joins or leaves,
/// only the keys of that member change their owner. Requires a non-empty list.
std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

/// SHA-256 digest as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);
/// Fingerprint by which processes recognize a request that is sent again: 32 hexadecimal digits of
/// a digest of the workspace, the resource that the request names, and the body.
std::string requestFingerprint(std::string_view workspace, std::string_view resource,
                               std::string_view body);
/// HMAC-SHA256 code as 64 lower-case hexadecimal digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);
/// Compares two strings in a time that does not depend on where they differ.
bool constantTimeEquals(std::string_view left, std::string_view right);
/// Returns \a bytes cryptographically random bytes as 2 * \a bytes lower-case hexadecimal digits.
/// Aborts the process when no random bytes are available, because keys and nonces would be
/// predictable.
std::string randomHex(std::size_t bytes);

} // namespace rattanrill
