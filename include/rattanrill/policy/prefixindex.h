#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrill::policy {

/// An event of an engine's prefix cache (`GET /engine/cache_events`).
struct CacheEvent
{
    enum class Kind {
        Stored,
        Evicted,
    };

    std::uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    std::uint64_t prefixHash = 0;
    std::int64_t tokens = 0;
};

/// What an entry believes the engines' prefix caches hold. Events come late and with gaps, so an
/// entry is a guess that expires; after a gap, older guesses about the engine count half as long.
class PrefixIndex
{
public:
    explicit PrefixIndex(absl::Duration lifetime = absl::Minutes(5), std::size_t limit = 20000);

    void apply(absl::Time now, const std::string &engine, const std::vector<CacheEvent> &events);
    /// The entry itself sent a prompt with these prefixes; known before any event.
    void sent(absl::Time now, const std::string &engine, const std::vector<std::uint64_t> &hashes,
              std::int64_t promptTokens);
    void forgetEngine(const std::string &engine);
    /// Tokens of the prompt that \a engine probably has cached.
    std::int64_t cachedTokens(absl::Time now, const std::string &engine,
                              const std::vector<std::uint64_t> &hashes) const;

private:
    struct Guess
    {
        std::int64_t tokens = 0;
        absl::Time expires;
    };
    struct Cache
    {
        std::uint64_t nextSequence = 0;
        std::unordered_map<std::uint64_t, Guess> guesses;
    };

    void store(absl::Time now, Cache &cache, std::uint64_t hash, std::int64_t tokens);
    void afterGap(absl::Time now, Cache &cache) const;
    void trim(absl::Time now, Cache &cache) const;

    absl::Duration m_lifetime;
    std::size_t m_limit;
    std::map<std::string, Cache> m_caches;
};

} // namespace rattanrill::policy
