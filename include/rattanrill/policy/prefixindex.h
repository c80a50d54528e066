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
    /// Length of the prefix in tokens.
    std::int64_t tokens = 0;
};

/// Estimated contents of the engines' prefix caches. Cache events arrive late and with gaps, so
/// every record is an estimate that expires. After a gap, the remaining lifetime of the older
/// estimates about the engine is halved.
class PrefixIndex
{
public:
    /// An estimate expires after \a lifetime. An engine with more than \a limit estimates loses
    /// those past half their lifetime, or all when still too many are left.
    explicit PrefixIndex(absl::Duration lifetime = absl::Minutes(5), std::size_t limit = 20000);

    void apply(absl::Time now, const std::string &engine, const std::vector<CacheEvent> &events);
    /// Records that this entry sent a prompt with these prefixes to \a engine, before cache events
    /// report them. \a hashes are as in Task::prefixHashes.
    void recordPrompt(absl::Time now, const std::string &engine,
                      const std::vector<std::uint64_t> &hashes, std::int64_t promptTokens);
    void removeEngine(const std::string &engine);
    /// Estimated number of prompt tokens that \a engine has cached.
    std::int64_t cachedTokens(absl::Time now, const std::string &engine,
                              const std::vector<std::uint64_t> &hashes) const;

private:
    struct Estimate
    {
        std::int64_t tokens = 0;
        absl::Time expires;
    };
    struct Cache
    {
        std::uint64_t nextSequence = 0;
        std::unordered_map<std::uint64_t, Estimate> estimates;
    };

    void store(absl::Time now, Cache &cache, std::uint64_t hash, std::int64_t tokens);
    void halveLifetimes(absl::Time now, Cache &cache) const;
    void trim(absl::Time now, Cache &cache) const;

    absl::Duration m_lifetime;
    std::size_t m_limit;
    std::map<std::string, Cache> m_caches;
};

} // namespace rattanrill::policy
