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

/// Sends calls about batch jobs to the leader of the store group. All calls are idempotent, so that
/// a failed attempt is repeated at another store until the timeout; a failure reports MayHaveRun
/// when any attempt may have taken effect. Used on the event loop only.
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
    void submit(const wire::SubmitJobRequest &request, absl::Duration timeout,
                Callback<Done> callback);
    void read(const wire::ReadJobRequest &request, absl::Duration timeout,
              Callback<wire::ReadJobResponse> callback);
    void readItem(const wire::ReadItemRequest &request, absl::Duration timeout,
                  Callback<wire::ReadItemResponse> callback);
    void cancel(const wire::EndJobRequest &request, absl::Duration timeout,
                Callback<Done> callback);
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::jobs
