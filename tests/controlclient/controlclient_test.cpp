#include "rattanrill/controlclient/controlclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <optional>

using namespace rattanrill;
using namespace rattanrill::controlclient;

namespace {

peer::TransportOptions transport()
{
    peer::TransportOptions options;
    options.self.instance = "test";
    options.clusterSecret = "secret";
    options.connectTimeout = absl::Milliseconds(500);
    return options;
}

/// Control instance that responds to all proposals and reads in the same way.
class FakeControl
{
public:
    using Responder = std::function<void(const peer::ResponseCallback &)>;

    explicit FakeControl(Responder respond)
        : m_respond(std::move(respond))
        , m_server(transport())
    {
        const auto handler = [this](const peer::PeerIdentity &, const std::string &,
                                    const peer::ResponseCallback &reply) {
            ++calls;
            m_respond(reply);
        };
        m_server.setHandler(wire::Method::Propose, handler);
        m_server.setHandler(wire::Method::Read, handler);
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }
    ~FakeControl() { m_server.stop(); }

    std::string address() const { return concat("127.0.0.1:", m_server.port()); }

    std::atomic<int> calls{0};

private:
    const Responder m_respond;
    peer::Server m_server;
};

void replyDone(const peer::ResponseCallback &reply)
{
    reply(wire::encode(wire::GroupResponse{"done"}));
}

/// Returns a responder that replies with \a failure.
FakeControl::Responder replyWith(const Failure &failure)
{
    return [failure](const peer::ResponseCallback &reply) { reply(failure); };
}

/// Control client with the objects that it uses, in the order of their construction.
struct Client
{
    explicit Client(std::vector<std::string> addresses)
        : control(channels, std::move(addresses), timers, SystemClock::instance())
    {}

    /// Proposes a command and waits for the result.
    Outcome<std::string> propose(bool idempotent, absl::Duration timeout = absl::Seconds(10))
    {
        absl::Notification done;
        std::optional<Outcome<std::string>> result;
        control.propose("batch-0", "command", idempotent, timeout,
                        [&](const Outcome<std::string> &outcome) {
                            result = outcome;
                            done.Notify();
                        });
        BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(30)));
        return *result;
    }

    ThreadTimerService timers;
    peer::ChannelPool channels{transport()};
    ControlClient control;
};

void checkFailure(const Outcome<std::string> &outcome, ErrorCode code, EffectState effect)
{
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST(name(outcome.failure().code) == name(code), describe(outcome.failure()));
    BOOST_TEST(name(outcome.failure().effect) == name(effect), describe(outcome.failure()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

// Guards against a client that ignores the leader's address in a NotLeader failure, or that calls a
// follower again on every call.
BOOST_AUTO_TEST_CASE(leaderNamedInNotLeaderFailureIsCalledAndCached)
{
    FakeControl leader(replyDone);
    FakeControl follower(replyWith(notRun(ErrorCode::NotLeader, leader.address())));
    Client client({follower.address()});
    BOOST_TEST(client.propose(false).value() == "done");
    BOOST_TEST(client.propose(false).value() == "done");
    BOOST_TEST(follower.calls == 1);
    BOOST_TEST(leader.calls == 2);
}

// Guards against a client that keeps calling an instance that is no longer reachable.
BOOST_AUTO_TEST_CASE(nextInstanceIsTriedAfterALostConnection)
{
    std::string stoppedAddress;
    {
        FakeControl stopped(replyDone);
        stoppedAddress = stopped.address();
    }
    FakeControl reachable(replyDone);
    Client client({stoppedAddress, reachable.address()});
    BOOST_TEST(client.propose(false).ok());
    Client clientOfStoppedInstance({stoppedAddress});
    checkFailure(clientOfStoppedInstance.propose(true, absl::Milliseconds(300)),
                 ErrorCode::ConnectionLost, EffectState::NotRun);
}

// Guards against running a command twice that must run at most once: after a lost proposal, the
// client cannot determine whether it ran.
BOOST_AUTO_TEST_CASE(lostProposalIsRetriedOnlyIfTheCommandIsIdempotent)
{
    FakeControl lossyControl(replyWith(mayHaveRun(ErrorCode::ProposalLost, "leader changed")));
    Client client({lossyControl.address()});
    checkFailure(client.propose(false), ErrorCode::ProposalLost, EffectState::MayHaveRun);
    BOOST_TEST(lossyControl.calls == 1);
    checkFailure(client.propose(true, absl::Milliseconds(400)), ErrorCode::ProposalLost,
                 EffectState::MayHaveRun);
    BOOST_TEST(lossyControl.calls > 2);
}

// Guards against a failure with the effect state NotRun although an earlier attempt may have run
// the command. A refusal has this state when only the last attempt is considered.
BOOST_AUTO_TEST_CASE(refusalAfterAnAttemptThatMayHaveRunReportsMayHaveRun)
{
    std::atomic<int> attempts{0};
    FakeControl control([&](const peer::ResponseCallback &reply) {
        if (++attempts == 1)
            reply(mayHaveRun(ErrorCode::ProposalLost, ""));
        else
            reply(notRun(ErrorCode::Conflict, ""));
    });
    Client client({control.address()});
    checkFailure(client.propose(true), ErrorCode::Conflict, EffectState::MayHaveRun);
}

// Guards against retries of a request that every instance refuses for the same reason.
BOOST_AUTO_TEST_CASE(refusalIsReturnedWithoutAnotherAttempt)
{
    FakeControl refusingControl(replyWith(notRun(ErrorCode::Conflict, "revision 3")));
    FakeControl other(replyDone);
    Client client({refusingControl.address()});
    checkFailure(client.propose(true), ErrorCode::Conflict, EffectState::NotRun);
    BOOST_TEST(refusingControl.calls == 1);
}

// Guards against a call that fails because its first attempt waits until the deadline for an
// instance that never responds.
BOOST_AUTO_TEST_CASE(unresponsiveInstanceDoesNotUseUpTheWholeDeadline)
{
    absl::Mutex mutex;
    std::vector<peer::ResponseCallback> pendingReplies;
    FakeControl unresponsive([&](const peer::ResponseCallback &reply) {
        absl::MutexLock lock(&mutex);
        pendingReplies.push_back(reply);
    });
    FakeControl reachable(replyDone);
    Client client({unresponsive.address(), reachable.address()});
    BOOST_TEST(client.propose(true, absl::Seconds(20)).ok());
}

// Guards against calls that stay open after stop(), and against callbacks that run twice or after
// stop().
BOOST_AUTO_TEST_CASE(stopFailsOpenCallsBeforeItReturns)
{
    absl::Mutex mutex;
    std::vector<peer::ResponseCallback> pendingReplies;
    FakeControl unresponsive([&](const peer::ResponseCallback &reply) {
        absl::MutexLock lock(&mutex);
        pendingReplies.push_back(reply);
    });
    Client client({unresponsive.address()});
    int replies = 0;
    client.control.propose("batch-0", "", true, absl::Seconds(60),
                           [&](const Outcome<std::string> &outcome) {
                               ++replies;
                               BOOST_TEST((outcome.failure().code == ErrorCode::Stopped));
                           });
    client.control.stop();
    BOOST_TEST(replies == 1);
    checkFailure(client.propose(true), ErrorCode::Stopped, EffectState::NotRun);
    client.channels.close();
    BOOST_TEST(replies == 1);
}

BOOST_AUTO_TEST_SUITE_END()
