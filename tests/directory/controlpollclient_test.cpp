#include "rattanrill/directory/controlpollclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::directory;

namespace {

constexpr absl::Duration waitTimeout = absl::Seconds(10);

peer::TransportOptions transport()
{
    peer::TransportOptions options;
    options.self.instance = "test";
    options.clusterSecret = "secret";
    return options;
}

/// Responds to each poll with the next revision.
void respondToPoll(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = outcomeOf([&] { return wire::decode<wire::PollChangesRequest>(body); });
    wire::PollChangesResponse response;
    response.revision = request.value().afterRevision + 1;
    reply(wire::encode(response));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlPollClientTest)

// Guards against a subscriber that works only with test doubles. It polls through the real channel,
// client and timers, and is destroyed while responses arrive.
BOOST_AUTO_TEST_CASE(subscriberReceivesChangesOverTheNetwork)
{
    peer::Server server(transport());
    server.setHandler(wire::Method::PollChanges,
                      [](const peer::PeerIdentity &, const std::string &body,
                         const peer::ResponseCallback &reply) { respondToPoll(body, reply); });
    BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
    ThreadTimerService timers;
    peer::ChannelPool channels(transport());
    controlclient::ControlClient client(channels, {concat("127.0.0.1:", server.port())}, timers,
                                        SystemClock::instance());
    ControlPollClient pollClient(client);
    for (int round = 0; round < 20; ++round) {
        absl::Notification thirdRevision;
        DirectorySubscriber subscriber({"entry-1"}, pollClient, timers, SystemClock::instance());
        subscriber.onChange([&thirdRevision](const std::shared_ptr<const DirectoryView> &view) {
            if (view->revision() == 3)
                thirdRevision.Notify();
        });
        subscriber.start();
        BOOST_REQUIRE(thirdRevision.WaitForNotificationWithTimeout(waitTimeout));
        BOOST_TEST((subscriber.viewAge() < waitTimeout));
    }
    client.stop();
    server.stop();
}

BOOST_AUTO_TEST_SUITE_END()
