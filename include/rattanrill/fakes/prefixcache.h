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
    /// XXH3 of the prefix, hexadecimal.
    std::string prefixHash;
    /// Tokens from the start of the prompt to the end of the prefix.
    std::int64_t tokens = 0;
};

/// Prompt prefixes of 64, 128, 256, ... bytes that the fake engine keeps, least recently used out
/// first. Capacity is in tokens; each prefix occupies the tokens beyond the next shorter one.
class PrefixCache
{
public:
    explicit PrefixCache(std::int64_t capacityTokens);

    /// Tokens at the start of \a prompt that are cached for \a model.
    std::int64_t cachedTokens(std::string_view model, std::string_view prompt) const;
    /// Keeps the prefixes of \a prompt; returns the changes in the order in which they happened.
    std::vector<PrefixChange> store(std::string_view model, std::string_view prompt);

private:
    struct Entry
    {
        std::string key;
        std::string prefixHash;
        std::int64_t endTokens;
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

/// Tokens of \a bytes bytes of prompt: one per started 4 bytes, the usual ratio of English text.
std::int64_t promptTokens(std::size_t bytes);

} // namespace rattanrill::fakes
