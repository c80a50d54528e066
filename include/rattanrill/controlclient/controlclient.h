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

/// Name of the Raft group that replicates the directory.
constexpr const char *directoryGroupName = "directory";

/// Name of the Raft group of batch partition \a partition, such as "batch-0".
std::string batchGroupName(int partition);

/// Client of the control instances. It finds the leader of a group by the addresses in NotLeader
/// failures, tries the next instance after a connection is lost, and retries until the timeout of
/// the call expires.
class ControlClient
{
public:
    template <typename Message>
    using Callback = std::function<void(Outcome<Message>)>;

    /// \a addresses are the "host:port" of the control instances' peer servers.
    ControlClient(peer::ChannelPool &channels, std::vector<std::string> addresses,
                  TimerService &timers, const Clock &clock);
    ~ControlClient();

    /// Proposes an encoded command to \a group. When the response to an attempt is lost, a command
    /// that is \a idempotent is sent again; any other call then fails with the effect state
    /// MayHaveRun.
    void propose(const std::string &group, std::string command, bool idempotent,
                 absl::Duration timeout, Callback<std::string> callback);
    /// Runs an encoded query on \a group as a linearizable read.
    void read(const std::string &group, std::string query, absl::Duration timeout,
              Callback<std::string> callback);
    /// Sends one long poll for changes of the directory. Any control instance can serve it.
    void pollDirectory(const wire::PollChangesRequest &request, absl::Duration timeout,
                       Callback<wire::PollChangesResponse> callback);
    /// Sends one heartbeat to the directory group.
    void heartbeat(const wire::HeartbeatRequest &request, absl::Duration timeout,
                   Callback<wire::HeartbeatResponse> callback);
    /// Stops the client. Open calls fail with Stopped; no callback runs after return.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::controlclient
