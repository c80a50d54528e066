#pragma once

#include "grouphost.h"
#include "localpollclient.h"
#include "memberwatch.h"
#include "partitionclock.h"
#include "pollchangesservice.h"
#include "stubraftnode.h"

#include "rattanrill/directory/directorysubscriber.h"

#include <memory>
#include <optional>
#include <string>

namespace rattanrill::control {

/// The components of a control instance on stub groups and virtual time.
struct DirectoryFixture
{
    DirectoryFixture();
    ~DirectoryFixture();

    StubRaftNode &directory() { return static_cast<StubRaftNode &>(groups.directory()); }
    /// Writes a configuration value and returns the resulting directory revision.
    std::uint64_t putConfig(const std::string &name);
    /// Starts a long poll. The returned reply is empty while the poll waits.
    std::shared_ptr<std::optional<Outcome<std::string>>> poll(std::uint64_t after,
                                                              std::int64_t waitMs);
    Outcome<std::string> heartbeat(const std::string &instance, const std::string &incarnation,
                                   bool leaving = false, std::uint64_t revision = 0);
    /// Advances the time in steps of 100 ms. Each step starts with a heartbeat of each of
    /// \a instances, with incarnation "1".
    void advance(absl::Duration time, const std::vector<std::string> &instances = {});
    bool hasMember(const std::string &instance);

    ManualClock clock;
    ManualTimerService timers{clock};
    ControlSettings settings;
    peer::ChannelPool channels{peer::TransportOptions{}};
    GroupHost groups;
    std::shared_ptr<PollChangesService> pollService;
    std::unique_ptr<LocalPollClient> pollClient;
    std::unique_ptr<directory::DirectorySubscriber> view;
    std::shared_ptr<MemberWatch> members;
    std::shared_ptr<PartitionClock> partitions;
};

} // namespace rattanrill::control
