#include "directoryfixture.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::control {
namespace {

constexpr absl::Duration step = absl::Milliseconds(100);

Result<std::unique_ptr<replication::RaftNode>>
startStub(const replication::RaftNodeOptions &options,
          std::unique_ptr<replication::StateMachine> machine, replication::RaftTransport &,
          const Clock &)
{
    auto group = std::make_unique<StubRaftNode>(std::move(machine));
    group->currentStatus.group = options.group;
    group->currentStatus.leader = options.self;
    return std::unique_ptr<replication::RaftNode>(std::move(group));
}

ControlSettings testSettings()
{
    ControlSettings settings;
    settings.instance = "control-1";
    settings.replicas = {{"control-1", "127.0.0.1:1", "127.0.0.1:2", "d1"},
                         {"control-2", "127.0.0.2:1", "127.0.0.2:2", "d2"}};
    return settings;
}

} // namespace

DirectoryFixture::DirectoryFixture()
    : settings(testSettings())
    , groups(settings, channels, clock, startStub)
{
    BOOST_REQUIRE(outcomeOf([&] { return groups.open(); }).ok());
    pollService = std::make_shared<PollChangesService>(groups.directory(), timers, clock);
    pollClient = std::make_unique<LocalPollClient>(pollService);
    view = std::make_unique<directory::DirectorySubscriber>(directory::SubscriberOptions{},
                                                            *pollClient, timers, clock);
    members = std::make_shared<MemberWatch>(settings, groups, *view, timers, clock);
    partitions = std::make_shared<PartitionClock>(settings, groups, timers, clock);
    pollService->start();
}

DirectoryFixture::~DirectoryFixture()
{
    members->stop();
    partitions->stop();
    view->stop();
    pollService->stop();
}

std::uint64_t DirectoryFixture::putConfig(const std::string &name)
{
    wire::DirectoryCommand command;
    command.unconditional = true;
    command.operation = wire::PutConfig{{name, "1", 0}};
    std::uint64_t revision = 0;
    directory().propose(wire::encode(command), [&](const Outcome<std::string> &outcome) {
        const auto result =
                outcomeOf([&] { return wire::decode<wire::DirectoryResult>(outcome.value()); });
        revision = result.value().revision;
    });
    return revision;
}

std::shared_ptr<std::optional<Outcome<std::string>>> DirectoryFixture::poll(std::uint64_t after,
                                                                            std::int64_t waitMs)
{
    auto reply = std::make_shared<std::optional<Outcome<std::string>>>();
    pollService->poll(wire::PollChangesRequest{"entry-1", after, waitMs},
                      [reply](const Outcome<std::string> &outcome) {
                          BOOST_REQUIRE(!reply->has_value());
                          *reply = outcome;
                      });
    return reply;
}

Outcome<std::string> DirectoryFixture::heartbeat(const std::string &instance,
                                                 const std::string &incarnation, bool leaving,
                                                 std::uint64_t revision)
{
    wire::HeartbeatRequest request;
    request.member = {instance, "d1", "127.0.0.1:3", "127.0.0.1:4", incarnation, 0};
    request.leaving = leaving;
    request.revisionInForce = revision;
    std::optional<Outcome<std::string>> reply;
    members->heartbeat(request, [&](const Outcome<std::string> &outcome) { reply = outcome; });
    BOOST_REQUIRE(reply.has_value());
    return *reply;
}

void DirectoryFixture::advance(absl::Duration time, const std::vector<std::string> &instances)
{
    for (absl::Duration done; done < time; done += step) {
        for (const std::string &instance : instances)
            heartbeat(instance, "1");
        timers.advance(step);
    }
}

bool DirectoryFixture::hasMember(const std::string &instance)
{
    return view->view()->member(instance) != nullptr;
}

} // namespace rattanrill::control
