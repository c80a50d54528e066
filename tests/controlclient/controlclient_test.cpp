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

/// Control instance that answers every proposal and read in the same way.
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
        m_server.handle(wire::Method::Propose, handler);
        m_server.handle(wire::Method::Read, handler);
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

FakeControl::Answer failing(const Failure &failure)
{
    return [failure](const peer::ResponseCallback &reply) { reply(failure); };
}

/// Client with its parts, in the order in which they are made.
struct Client
{
    explicit Client(std::vector<std::string> addresses)
        : control(channels, std::move(addresses), timers, SystemClock::instance())
    {}

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
    BOOST_TEST(name(outcome.failure().run) == name(run), describe(outcome.failure()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlClientTest)

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

// Guards against a client that stays with an instance that is gone.
BOOST_AUTO_TEST_CASE(nextInstanceIsTriedAfterALostConnection)
{
    std::string gone;
    {
        FakeControl stopped(answerDone);
        gone = stopped.address();
    }
    FakeControl alive(answerDone);
    Client client({gone, alive.address()});
    BOOST_TEST(client.propose(false).ok());
    Client stranger({gone});
    checkFailure(stranger.propose(true, absl::Milliseconds(300)), ErrorCode::ConnectionLost,
                 EffectState::NotRun);
}

// Guards against a second run of a command that must run at most once.
BOOST_AUTO_TEST_CASE(lostAnswerIsRepeatedOnlyWhenTheCommandAllowsIt)
{
    FakeControl loses(failing(mayHaveRun(ErrorCode::ProposalLost, "leader changed")));
    Client once({loses.address()});
    checkFailure(once.propose(false), ErrorCode::ProposalLost, EffectState::MayHaveRun);
    BOOST_TEST(loses.calls == 1);
    checkFailure(once.propose(true, absl::Milliseconds(400)), ErrorCode::ProposalLost,
                 EffectState::MayHaveRun);
    BOOST_TEST(loses.calls > 2);
}

// Guards against "not run" after a try that may have run.
BOOST_AUTO_TEST_CASE(aLaterRefusalDoesNotDenyAnEarlierTry)
{
    std::atomic<int> tries{0};
    FakeControl control([&](const peer::ResponseCallback &reply) {
        if (++tries == 1)
            reply(mayHaveRun(ErrorCode::ProposalLost, ""));
        else
            reply(notRun(ErrorCode::Conflict, ""));
    });
    Client client({control.address()});
    checkFailure(client.propose(true), ErrorCode::Conflict, EffectState::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(refusalIsReturnedWithoutAnotherTry)
{
    FakeControl refuses(failing(notRun(ErrorCode::Conflict, "revision 3")));
    FakeControl other(answerDone);
    Client client({refuses.address()});
    checkFailure(client.propose(true), ErrorCode::Conflict, EffectState::NotRun);
    BOOST_TEST(refuses.calls == 1);
}

BOOST_AUTO_TEST_CASE(silentInstanceDoesNotTakeTheWholeDeadline)
{
    absl::Mutex mutex;
    std::vector<peer::ResponseCallback> kept;
    FakeControl silent([&](const peer::ResponseCallback &reply) {
        absl::MutexLock lock(&mutex);
        kept.push_back(reply);
    });
    FakeControl alive(answerDone);
    Client client({silent.address(), alive.address()});
    BOOST_TEST(client.propose(true, absl::Seconds(20)).ok());
}

BOOST_AUTO_TEST_CASE(stopFailsOpenCallsBeforeItReturns)
{
    absl::Mutex mutex;
    std::vector<peer::ResponseCallback> kept;
    FakeControl silent([&](const peer::ResponseCallback &reply) {
        absl::MutexLock lock(&mutex);
        kept.push_back(reply);
    });
    Client client({silent.address()});
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
