#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// Settings of CrashTracker.
struct CrashTrackerSettings
{
    /// Number of successive crashes after which a part is blocked.
    std::size_t crashLimit = 3;
    /// Number of different upstreams that these crashes must concern, so that one faulty upstream
    /// does not cause a block.
    std::size_t minUpstreams = 2;
    /// Number of successive crashes after which a part is a suspect.
    std::size_t suspectLimit = 2;
    /// Crashes that are older than this are no longer evidence.
    absl::Duration evidenceLifetime = absl::Minutes(10);
    /// Time for which a block lasts.
    absl::Duration blockTime = absl::Hours(1);
    /// Maximum number of parts with evidence. The part whose last crash is the oldest is dropped
    /// first.
    std::size_t maxParts = 4096;
    /// Maximum number of blocks. The oldest one is dropped first.
    std::size_t maxBlocks = 256;
};

/// An attempt that ended with a crash of its upstream before the upstream began to write the
/// response.
struct RequestCrash
{
    std::string upstream;
    /// Ids of the prompt's parts that other requests may share.
    std::vector<std::string> parts;
    absl::Time sentAt;
    absl::Time crashedAt;
};

/// Prompt parts that together crash upstreams. A request whose prompt has all of them is rejected.
using TraitSet = std::set<std::string>;

/// Finds parts of prompts that crash each upstream which begins to write a response to them.
///
/// All requests of an upstream break with it, so a single crash accuses many sound parts. The
/// following tells them apart:
///
/// - Only requests that the upstream had not begun to answer can have caused the crash.
/// - A crash counts for a part only if the request was sent after the part's previous crash.
///   Crashes at the same moment, such as the loss of a failure domain, thus count once.
/// - A response that begins clears each part of its prompt from all earlier crashes.
/// - A part that crashed too often is blocked only together with the parts that all its crashed
///   requests had in common, because one of these may be the cause. When one of them is cleared,
///   the others remain blocked without it.
///
/// Performs no I/O. Not thread-safe.
class CrashTracker
{
public:
    explicit CrashTracker(CrashTrackerSettings settings);

    /// Discards the evidence and starts with \a blocks, which another tracker created.
    void restore(absl::Time now, const std::vector<TraitSet> &blocks);
    /// Returns true when the blocks or the suspects have changed.
    bool recordCrash(const RequestCrash &crash);
    /// Records that an upstream began to write the response to a prompt with \a part. Returns true
    /// when the blocks or the suspects have changed.
    bool recordBegun(const std::string &part, absl::Time beganAt);
    /// Drops old evidence and expired blocks. Returns true when the blocks or the suspects have
    /// changed.
    bool expire(absl::Time now);

    /// Blocks in the order of their creation.
    std::vector<TraitSet> blocks() const;
    /// Parts of which the beginning of a response must be reported: those with at least
    /// suspectLimit crashes, and all parts of blocks.
    std::vector<std::string> suspects() const;
    /// Number of crashes that count for \a part.
    std::size_t crashCount(const std::string &part) const;

private:
    struct Evidence
    {
        /// The last crashes that count, at most crashLimit of them.
        std::deque<RequestCrash> crashes;
    };

    struct Block
    {
        TraitSet parts;
        /// A response that began after this time clears its parts.
        absl::Time firstCrashAt;
        absl::Time createdAt;
    };

    bool isConclusive(const Evidence &evidence) const;
    TraitSet commonParts(const Evidence &evidence) const;
    bool addBlock(const Evidence &evidence);
    void limitParts();
    void removeFromBlocks(const std::string &part, absl::Time beganAt);

    const CrashTrackerSettings m_settings;
    std::map<std::string, Evidence> m_evidence;
    std::deque<Block> m_blocks;
};

} // namespace rattanrill::policy
