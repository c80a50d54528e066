#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::controlclient {

/// Name of the directory group.
constexpr const char *directoryGroup = "directory";

/// Name of partition group \a partition: "batch-0", "batch-1" and so on.
std::string batchGroup(int partition);

/// Calls the control instances: finds the leader of a group by the hints of NotLeader failures,
/// goes on to the next instance after a lost connection, and tries again until the deadline.
class ControlClient
{
public:
    template <typename Message>
    using Callback = std::function<void(Outcome<Message>)>;

    /// \a addresses are the "host:port" of the control instances' peer servers.
    ControlClient(peer::ChannelPool &channels, std::vector<std::string> addresses,
                  TimerService &timers, const Clock &clock);
    ~ControlClient();

    /// Proposes an encoded command to \a group. \a repeatable: the command may be sent again when
    /// an answer is lost, because it is idempotent; otherwise such a try fails with MayHaveRun.
    void propose(const std::string &group, std::string command, bool repeatable,
                 absl::Duration timeout, Callback<std::string> callback);
    /// Linearizable read.
    void read(const std::string &group, std::string query, absl::Duration timeout,
              Callback<std::string> callback);
    /// One long poll of the directory, from any control instance.
    void pollDirectory(const wire::PollChangesRequest &request, absl::Duration timeout,
                       Callback<wire::PollChangesResponse> callback);
    void heartbeat(const wire::HeartbeatRequest &request, absl::Duration timeout,
                   Callback<wire::HeartbeatResponse> callback);
    /// Fails open calls with Stopped; no callback runs after return.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::controlclient
