#pragma once

#include "rateadmission.h"
#include "rateowner.h"

#include "rattanrill/peer/channelpool.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Requests rate grants from the owner of a workspace. Requests for one workspace that arrive while
/// a call is open are combined into the next call.
class RateBroker : public RateAdmission
{
public:
    struct Options
    {
        std::string instance;
        absl::Duration maxWait;
        absl::Duration timeout;
    };

    RateBroker(Options options, const directory::DirectorySubscriber &directory, RateOwner &owner,
               peer::ChannelPool &channels, const Clock &clock);

    Outcome<RateDecision> take(const std::string &workspace) override ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    using Callback = std::function<void(Outcome<RateDecision>)>;
    struct Queue
    {
        std::deque<Callback> waiting;
        bool callOpen = false;
    };

    void requestGrant(const std::string &workspace, Callback callback) ABSL_LOCKS_EXCLUDED(m_mutex);
    void sendNext(const std::string &workspace) ABSL_LOCKS_EXCLUDED(m_mutex);
    void send(const std::string &workspace, std::vector<Callback> callers);
    Outcome<std::string> ownerAddress(const std::string &workspace,
                                      wire::RateGrantRequest &request) const;
    static void respond(const std::vector<Callback> &callers,
                        const Outcome<wire::RateGrantResponse> &response);

    Options m_options;
    const directory::DirectorySubscriber &m_directory;
    RateOwner &m_owner;
    peer::ChannelPool &m_channels;
    const Clock &m_clock;
    absl::Mutex m_mutex;
    std::map<std::string, Queue> m_queues ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
