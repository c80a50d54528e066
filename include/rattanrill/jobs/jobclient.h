#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/wire/jobmessages.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::jobs {

/// Sends calls about batch jobs to the leader of the store group, the Raft group that replicates
/// the jobs. All calls are idempotent, so a failed attempt is repeated, possibly at another store,
/// until the timeout. A call fails with Timeout when no attempt succeeds in time; every failure is
/// MayHaveRun if any attempt may have taken effect. Used on the event loop only.
class JobClient
{
public:
    template <typename Message>
    using Callback = std::function<void(Outcome<Message>)>;

    JobClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock);
    ~JobClient();
    JobClient(const JobClient &) = delete;
    JobClient &operator=(const JobClient &) = delete;

    /// \a stores: peer addresses of the stores. \a leader: peer address of their leader; empty when
    /// unknown.
    void setStores(std::vector<std::string> stores, const std::string &leader);
    /// Stores a job. Has no effect if the job was accepted before. Fails with UnknownRoute, with
    /// RateLimited when the job exceeds the workspace's limit of waiting tokens on the route, and
    /// with Conflict when its id belongs to a job of another workspace.
    void submit(const wire::SubmitJobRequest &request, absl::Duration timeout,
                Callback<Done> callback);
    /// Reads the results from position request.after on. The store waits up to request.waitMs, but
    /// at most 2 s, for the first of them. Fails with NotFound.
    void read(const wire::ReadJobRequest &request, absl::Duration timeout,
              Callback<wire::ReadJobResponse> callback);
    /// Returns the body of an item. Fails with NotFound.
    void readItem(const wire::ReadItemRequest &request, absl::Duration timeout,
                  Callback<wire::ReadItemResponse> callback);
    /// Ends a job: items without a result are not run any more. Fails with NotFound.
    void cancel(const wire::EndJobRequest &request, absl::Duration timeout,
                Callback<Done> callback);
    /// After this, open calls make no further attempt, and new calls fail with Timeout.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::jobs
