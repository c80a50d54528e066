#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/net/message.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::serving {

/// Returns the fingerprint of a request: of its workspace, host, method, path and body.
std::string fingerprintOf(const std::string &workspace, const net::Request &request);

/// Rejects requests whose prompts crash upstreams, by the blocks that the leader of the fleet group
/// distributes, and reports to it the evidence of this entry process. Evidence is reported again
/// until the leader has received it. Used on the event loop only.
class CrashGuard
{
public:
    /// Sends evidence to the leader. The second argument must be called after the return of the
    /// function, with whether the leader has received the evidence.
    using Reporter =
            std::function<void(const wire::PromptEvidence &, std::function<void(bool)> done)>;

    CrashGuard(TimerService &timers, const Clock &clock, std::string instance, Reporter reporter);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    void setBlocks(const std::vector<wire::BlockedPrompt> &blocks,
                   const std::vector<std::string> &suspects);
    /// Whether a request whose prompt has \a parts must be rejected.
    bool isBlocked(const std::vector<std::string> &parts) const;
    /// Records that \a upstream crashed at \a crashedAt before it began to write the response to a
    /// request that was sent at \a sentAt. Does nothing for a prompt without shared parts.
    void recordCrash(const std::string &upstream, const std::vector<std::string> &parts,
                     absl::Time sentAt, absl::Time crashedAt);
    /// Records that an upstream began to write the response to a prompt with \a parts.
    void recordBegun(const std::vector<std::string> &parts);

private:
    struct Crash
    {
        std::string upstream;
        std::vector<std::string> parts;
        absl::Time sentAt;
        absl::Time crashedAt;
    };

    wire::PromptEvidence makeEvidence() const;
    void report();
    void handleReported(std::size_t crashes, const std::map<std::string, absl::Time> &begun,
                        bool isReceived);

    TimerService &m_timers;
    const Clock &m_clock;
    const std::string m_instance;
    const Reporter m_reporter;
    std::vector<std::set<std::string>> m_blocks;
    /// Suspects that the leader has named, and parts of crashes that this process has reported.
    std::set<std::string> m_suspects;
    std::set<std::string> m_ownSuspects;
    /// Evidence that the leader has not received yet.
    std::deque<Crash> m_crashes;
    /// Time of the last response that began, by part.
    std::map<std::string, absl::Time> m_begun;
    bool m_isReporting = false;
    TimerService::TimerId m_retryTimer = 0;
    /// Callbacks of reports that are pending when the guard is destroyed have no effect.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace rattanrill::serving
