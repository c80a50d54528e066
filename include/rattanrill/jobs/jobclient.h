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

/// Calls the leader of the store group about batch jobs. All calls may be repeated, so they go on
/// to another store until the deadline; a failure says MayHaveRun when any try may have had its
/// effect. Used on the event loop only.
class JobClient
{
public:
    template <typename Message>
    using Callback = std::function<void(Outcome<Message>)>;

    JobClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock);
    ~JobClient();
    JobClient(const JobClient &) = delete;
    JobClient &operator=(const JobClient &) = delete;

    /// Peer addresses of the stores, and of the one that leads; empty when unknown.
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
