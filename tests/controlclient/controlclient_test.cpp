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

/// Control instance that answers every proposal and read the same way.
class FakeControl
{
public:
    using Answer = std::function<void(const peer::ResponseCallback &)>;

    explicit FakeControl(Answer answer)
        : m_answer(std::move(answer))
        , m_server(transport())
    {
        const auto handler = [this](const peer::PeerIdentity &, const std::string &,
                                    const peer::ResponseCallback &reply) {
            ++calls;
            m_answer(reply);
        };
        m_server.setHandler(wire::Method::Propose, handler);
        m_server.setHandler(wire::Method::Read, handler);
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }
    ~FakeControl() { m_server.stop(); }

    std::string address() const { return concat("127.0.0.1:", m_server.port()); }

    std::atomic<int> calls{0};

private:
    const Answer m_answer;
    peer::Server m_server;
};

void answerDone(const peer::ResponseCallback &reply)
{
    reply(wire::encode(wire::GroupResponse{"done"}));
}

/// Answers with \a failure.
FakeControl::Answer failing(const Failure &failure)
{
    return [failure](const peer::ResponseCallback &reply) { reply(failure); };
}

/// Client with the objects that it needs, in order of construction.
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

void checkFailure(const Outcome<std::string> &outcome, ErrorCode code, EffectState run)
{
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST(name(outcome.failure().code) == name(code), describe(outcome.failure()));
    BOOST_TEST(name(outcome.failure().effect) == name(run), describe(outcome.failure()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

// Guards against a client that ignores the leader named in a NotLeader failure, or that calls a
// follower first again on each call.
BOOST_AUTO_TEST_CASE(notLeaderHintIsFollowedAndRemembered)
{
    FakeControl leader(answerDone);
    FakeControl follower(failing(notRun(ErrorCode::NotLeader, leader.address())));
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
        FakeControl stopped(answerDone);
        stoppedAddress = stopped.address();
    }
    FakeControl alive(answerDone);
    Client client({stoppedAddress, alive.address()});
    BOOST_TEST(client.propose(false).ok());
    Client clientOfStoppedInstance({stoppedAddress});
    checkFailure(clientOfStoppedInstance.propose(true, absl::Milliseconds(300)),
                 ErrorCode::ConnectionLost, EffectState::NotRun);
}

// Guards against running a command twice that must run at most once: after a lost proposal the
// client does not know whether it ran.
BOOST_AUTO_TEST_CASE(lostProposalIsRetriedOnlyIfTheCommandIsIdempotent)
{
    FakeControl lossyControl(failing(mayHaveRun(ErrorCode::ProposalLost, "leader changed")));
    Client client({lossyControl.address()});
    checkFailure(client.propose(false), ErrorCode::ProposalLost, EffectState::MayHaveRun);
    BOOST_TEST(lossyControl.calls == 1);
    checkFailure(client.propose(true, absl::Milliseconds(400)), ErrorCode::ProposalLost,
                 EffectState::MayHaveRun);
    BOOST_TEST(lossyControl.calls > 2);
}

// Guards against a failure that says that the command has not run, although an earlier attempt may
// have run it: the refusal of the last attempt concerns that attempt only.
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

// Guards against retries of a request that was refused for a reason that does not depend on the
// instance.
BOOST_AUTO_TEST_CASE(refusalIsReturnedWithoutAnotherAttempt)
{
    FakeControl refusingControl(failing(notRun(ErrorCode::Conflict, "revision 3")));
    FakeControl other(answerDone);
    Client client({refusingControl.address()});
    checkFailure(client.propose(true), ErrorCode::Conflict, EffectState::NotRun);
    BOOST_TEST(refusingControl.calls == 1);
}

// Guards against a call that fails because its first attempt waits until the deadline for an
// instance that never answers.
BOOST_AUTO_TEST_CASE(unresponsiveInstanceDoesNotUseUpTheWholeDeadline)
{
    absl::Mutex mutex;
    std::vector<peer::ResponseCallback> pendingReplies;
    FakeControl unresponsive([&](const peer::ResponseCallback &reply) {
        absl::MutexLock lock(&mutex);
        pendingReplies.push_back(reply);
    });
    FakeControl alive(answerDone);
    Client client({unresponsive.address(), alive.address()});
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
