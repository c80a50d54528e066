#include "rattanrill/base/hash.h"

#include "rattanrill/base/concat.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <xxhash.h>

#include <array>
#include <cstdlib>

namespace rattanrill {
namespace {

constexpr std::size_t fingerprintDigits = 32;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4];
        text += digits[bytes[i] & 0x0f];
    }
    return text;
}

} // namespace

std::uint64_t stableHash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::size_t rendezvousOwner(std::string_view key, const std::vector<std::string> &members)
{
    const std::uint64_t keyHash = stableHash(key);
    std::size_t owner = 0;
    std::uint64_t highestWeight = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::uint64_t weight = stableHash(members[i], keyHash);
        if (i == 0 || weight > highestWeight) {
            highestWeight = weight;
            owner = i;
        }
    }
    return owner;
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return toHex(digest.data(), size);
}

std::string requestFingerprint(std::string_view workspace, std::string_view resource,
                               std::string_view body)
{
    return sha256Hex(concat(workspace, "\n", resource, "\n", body)).substr(0, fingerprintDigits);
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &size);
    return toHex(digest.data(), size);
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    std::string buffer(bytes, '\0');
    auto *data = reinterpret_cast<unsigned char *>(buffer.data());
    // Without random bytes, keys and nonces would be predictable, so the process must not continue.
    if (RAND_bytes(data, static_cast<int>(bytes)) != 1)
        std::abort();
    return toHex(data, bytes);
}

} // namespace rattanrill
