#include "callend.h"
#include "servicetable.h"

#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

/// How ServiceTable selects instances of a plain service that respond with server errors. No call
/// is sent.
namespace rattanrill::entry {
namespace {

constexpr absl::Duration holdTime = absl::Milliseconds(250);

struct Fixture
{
    /// Lists \a count instances with the names "00", "01" and so on.
    void setInstances(int count)
    {
        wire::PollChangesResponse response;
        response.revision = ++revision;
        for (int i = 0; i < count; ++i) {
            wire::Upstream upstream;
            upstream.name = nameOf(i);
            upstream.kind = wire::UpstreamKind::Service;
            upstream.serves = "desk";
            upstream.host = "127.0.0.1";
            upstream.port = 1;
            upstream.failureDomain = "d";
            response.changes.push_back({revision, wire::RecordKind::Upstream, upstream.name, false,
                                        wire::encode(upstream)});
        }
        table.update(outcomeOf([&] {
                         return directory::DirectoryView().withChanges(response);
                     }).value());
    }

    static std::string nameOf(int instance)
    {
        return (instance < 10 ? "0" : "") + std::to_string(instance);
    }

    /// Returns the index of the instance that is selected; -1 without one.
    int begin(const std::vector<std::string> &excluded = {})
    {
        const ServiceTable::Client client = table.beginCall("desk", excluded);
        return client ? std::stoi(client->options().name) : -1;
    }

    void end(int instance, CallEnd callEnd)
    {
        ejections += table.endCall(nameOf(instance), "w", callEnd) ? 1 : 0;
    }

    /// Makes one call per \a interval for \a length. \a fails tells by the instance and the number
    /// of the call whether it fails; a failed call ends at once, another one after holdTime.
    template <typename Fails>
    void run(absl::Duration length, absl::Duration interval, const Fails &fails)
    {
        for (const absl::Time last = clock.now() + length; clock.now() < last;
             clock.advance(interval)) {
            while (!ends.empty() && ends.front().first <= clock.now()) {
                end(ends.front().second, CallEnd::Completed);
                ends.pop();
            }
            const int instance = begin();
            BOOST_TEST_REQUIRE(instance >= 0);
            ++calls[instance];
            if (fails(instance, ++callNumber))
                end(instance, CallEnd::ServerError);
            else
                ends.emplace(clock.now() + holdTime, instance);
        }
    }

    /// Fraction of the calls that instances below \a count got.
    double shareBelow(int count) const
    {
        double below = 0;
        double all = 0;
        for (const auto &[instance, instanceCalls] : calls) {
            below += instance < count ? instanceCalls : 0;
            all += instanceCalls;
        }
        return below / all;
    }

    ManualClock clock;
    ServiceTable table{"d", clock};
    std::uint64_t revision = 0;
    int callNumber = 0;
    std::queue<std::pair<absl::Time, int>> ends;
    std::map<int, int> calls;
    int ejections = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceTableTest, Fixture)

// Load pattern: three of twelve instances respond with an error at once and so always have the
// least load. Guards against these instances getting most calls. An even spread would be a quarter.
BOOST_AUTO_TEST_CASE(instancesThatFailAtOnceGetFewCalls)
{
    setInstances(12);
    run(absl::Seconds(20), absl::Milliseconds(5), [](int instance, int) { return instance < 3; });
    BOOST_TEST_MESSAGE("share of calls to failing instances: " << shareBelow(3));
    BOOST_TEST(shareBelow(3) < 0.05);
    // They recover.
    run(absl::Seconds(12), absl::Milliseconds(5), [](int, int) { return false; });
    calls.clear();
    run(absl::Seconds(2), absl::Milliseconds(5), [](int, int) { return false; });
    BOOST_TEST(shareBelow(3) > 0.15);
}

// Guards against an instance that fails 40% of its calls and keeps its share of them, because each
// success clears it.
BOOST_AUTO_TEST_CASE(instanceThatFailsAPartOfItsCallsIsLeft)
{
    setInstances(6);
    run(absl::Seconds(20), absl::Milliseconds(20),
        [](int instance, int number) { return instance == 0 && number % 5 < 2; });
    BOOST_TEST_MESSAGE("share of calls to the failing instance: " << shareBelow(1));
    BOOST_TEST(shareBelow(1) < 0.05);
}

// Load pattern: a caller's requests fail at every instance, alone or between others that succeed.
// Guards against ejections because of bad requests, and against an instance that gets them all.
BOOST_AUTO_TEST_CASE(callsThatFailEverywhereEjectNothing)
{
    setInstances(12);
    run(absl::Seconds(10), absl::Milliseconds(10), [](int, int) { return true; });
    BOOST_TEST(calls.size() == 12u);
    run(absl::Seconds(10), absl::Milliseconds(10), [](int, int number) { return number % 2 == 0; });
    BOOST_TEST(ejections == 0);
}

// Guards against calls without an instance, because the only one, or the only one that was not
// tried before, has server errors.
BOOST_AUTO_TEST_CASE(onlyInstanceOfACallStaysUsable)
{
    setInstances(1);
    run(absl::Seconds(5), absl::Milliseconds(10), [](int, int) { return true; });
    BOOST_TEST(ejections == 0);
    setInstances(2);
    for (int i = 0; i < 500 && ejections == 0; ++i)
        run(absl::Milliseconds(10), absl::Milliseconds(10),
            [](int instance, int) { return instance == 0; });
    BOOST_TEST(ejections == 1);
    BOOST_TEST(begin() == 1);
    BOOST_TEST(begin({"01"}) == 0);
    end(1, CallEnd::Crashed);
    BOOST_TEST(begin() == 0);
}

// An instance leaves the directory and is listed again under its name while calls to it run. Guards
// against ends of these calls that make it look idle for good, and against a count without them.
BOOST_AUTO_TEST_CASE(callsOutlastTheListingOfTheirInstance)
{
    constexpr int numCalls = 6;
    setInstances(2);
    for (int i = 0; i < numCalls; ++i)
        BOOST_TEST_REQUIRE(begin() == i % 2);
    setInstances(1);
    setInstances(2);
    std::map<int, int> next;
    for (int i = 0; i < numCalls; ++i)
        ++next[begin()];
    BOOST_TEST(next[1] == numCalls / 2, "calls while the former ones run: " << next[1]);
    for (int i = 0; i < numCalls; ++i)
        end(i % 2, CallEnd::Completed);
    next.clear();
    for (int i = 0; i < numCalls; ++i)
        ++next[begin()];
    BOOST_TEST(next[1] == numCalls / 2, "calls after the former ones have ended: " << next[1]);
}

// Guards against a count that falls below zero: an instance is not listed when its calls end, or
// they end after it is listed again.
BOOST_AUTO_TEST_CASE(countOfCallsIsZeroWhenAllHaveEnded)
{
    constexpr int numCalls = 6;
    for (const bool isListedAtTheEnd : {false, true}) {
        setInstances(2);
        for (int i = 0; i < numCalls; ++i)
            BOOST_TEST_REQUIRE(begin() == i % 2);
        setInstances(1);
        if (isListedAtTheEnd)
            setInstances(2);
        for (int i = 0; i < numCalls; ++i)
            end(i % 2, CallEnd::Completed);
        setInstances(2);
        std::map<int, int> next;
        for (int i = 0; i < numCalls; ++i)
            ++next[begin()];
        BOOST_TEST(next[1] == numCalls / 2,
                   "listed at the end: " << isListedAtTheEnd << ", calls: " << next[1]);
        for (const auto &[instance, count] : next) {
            for (int i = 0; i < count; ++i)
                end(instance, CallEnd::Completed);
        }
    }
}

// Guards against an instance that is ejected although it refuses the calls that it can't run, as
// the protocol asks.
BOOST_AUTO_TEST_CASE(refusedCallsAreNoServerErrors)
{
    setInstances(2);
    for (int i = 0; i < 100; ++i) {
        const int instance = begin();
        end(instance, instance == 0 ? CallEnd::Refused : CallEnd::Completed);
        clock.advance(absl::Milliseconds(20));
    }
    BOOST_TEST(ejections == 0);
    BOOST_TEST(begin() == 0);
}

// Guards against a 5xx that counts as a success, and against a refusal or a client error that
// counts against the instance.
BOOST_AUTO_TEST_CASE(endOfACallIsKnownByItsResponse)
{
    for (const auto &[status, expected] :
         std::vector<std::pair<int, CallEnd>>{{200, CallEnd::Completed},
                                              {404, CallEnd::Completed},
                                              {499, CallEnd::Completed},
                                              {500, CallEnd::ServerError},
                                              {503, CallEnd::ServerError},
                                              {599, CallEnd::ServerError}})
        BOOST_TEST((callEndOf(service::ServiceResponse{status, "", ""}) == expected), status);
    BOOST_TEST((callEndOf(notRun(ErrorCode::UpstreamBusy, "")) == CallEnd::Refused));
    BOOST_TEST((callEndOf(mayHaveRun(ErrorCode::ConnectionLost, "")) == CallEnd::Failed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
