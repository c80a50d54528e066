#pragma once

#include "followservice.h"
#include "grouphost.h"
#include "localpollsource.h"
#include "memberwatch.h"
#include "partitionclock.h"
#include "stubgroup.h"

#include "rattanrill/directory/directorysubscriber.h"

#include <memory>
#include <optional>
#include <string>

namespace rattanrill::control {

/// One control instance's parts around stand-in groups, in virtual time.
struct DirectoryFixture
{
    DirectoryFixture();
    ~DirectoryFixture();

    StubGroup &directory() { return static_cast<StubGroup &>(groups.directory()); }
    /// Writes a configuration value; returns the directory's revision.
    std::uint64_t putConfig(const std::string &name);
    /// Long poll; empty while it waits.
    std::shared_ptr<std::optional<Outcome<std::string>>> poll(std::uint64_t after,
                                                              std::int64_t waitMs);
    Outcome<std::string> heartbeat(const std::string &instance, const std::string &incarnation,
                                   bool leaving = false, std::uint64_t revision = 0);
    /// Advances in steps, with a heartbeat of each of \a instances (incarnation "1") in each.
    void advance(absl::Duration time, const std::vector<std::string> &instances = {});
    bool hasMember(const std::string &instance);

    ManualClock clock;
    ManualTimerService timers{clock};
    ControlSettings settings;
    peer::ChannelPool channels{peer::TransportOptions{}};
    GroupHost groups;
    std::shared_ptr<FollowService> follow;
    std::unique_ptr<LocalPollSource> source;
    std::unique_ptr<directory::DirectorySubscriber> view;
    std::shared_ptr<MemberWatch> members;
    std::shared_ptr<PartitionClock> partitions;
};

} // namespace rattanrill::control
