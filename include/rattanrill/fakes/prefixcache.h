#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanrill::fakes {

/// One change of a prefix cache.
struct PrefixChange
{
    enum class Kind {
        Stored,
        Evicted,
    };

    Kind kind = Kind::Stored;
    /// XXH3 hash of the prefix as 16 lower-case hexadecimal digits.
    std::string prefixHash;
    /// Length of the prefix in tokens.
    std::int64_t tokens = 0;
};

/// Prefix cache of the fake engine: holds prompt prefixes of 64, 128, 256, ... bytes and evicts the
/// least recently used first. The capacity is in tokens; each prefix occupies only the tokens
/// beyond the next shorter prefix.
class PrefixCache
{
public:
    explicit PrefixCache(std::int64_t capacityTokens);

    /// Length in tokens of the longest prefix of \a prompt that is cached for \a model.
    std::int64_t cachedTokens(std::string_view model, std::string_view prompt) const;
    /// Stores the prefixes of \a prompt and evicts others if needed; returns the changes in the
    /// order in which they were made.
    std::vector<PrefixChange> store(std::string_view model, std::string_view prompt);

private:
    struct Entry
    {
        std::string key;
        std::string prefixHash;
        /// Length of the prefix.
        std::int64_t prefixTokens;
        /// Tokens beyond the next shorter prefix.
        std::int64_t occupiedTokens;
    };
    using Entries = std::list<Entry>;

    void insert(Entry entry, std::vector<PrefixChange> &changes);
    void evict(std::vector<PrefixChange> &changes);

    std::int64_t m_capacityTokens;
    std::int64_t m_occupiedTokens = 0;
    /// Most recently used first.
    Entries m_entries;
    std::unordered_map<std::string, Entries::iterator> m_byKey;
};

/// Number of tokens in \a bytes bytes of prompt: one per 4 bytes, rounded up, which is the usual
/// ratio for English text.
std::int64_t promptTokens(std::size_t bytes);

} // namespace rattanrill::fakes
