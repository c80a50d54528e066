#include "rattanrill/policy/router.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

/// A router with engines of one model. Each engine has a maximum batch of 100 requests.
struct RouterFixture
{
    void add(const std::string &name, std::int64_t running, bool leaving = false)
    {
        engines.push_back(std::make_unique<EngineState>(EngineInfo{name, "m", "near", leaving},
                                                        settings.outlier));
        EngineLoad load;
        load.running = running;
        load.maxBatch = 100;
        engines.back()->loadReported(start, load);
    }

    std::string choose(const Task &task = {})
    {
        std::vector<RouteCandidate> candidates;
        for (const auto &engine : engines)
            candidates.push_back({engine.get(), 0});
        const Router router(settings, "near");
        const int chosen = router.choose(start, task, candidates, {}, prefixes, 6, random);
        return chosen < 0 ? "" : engines[static_cast<std::size_t>(chosen)]->info().name;
    }

    RouterSettings settings;
    PrefixIndex prefixes;
    std::mt19937_64 random{1};
    std::vector<std::unique_ptr<EngineState>> engines;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RouterTest, RouterFixture)

// Guards against new tasks on an engine that is about to shut down.
BOOST_AUTO_TEST_CASE(leavingEngineIsNotChosen)
{
    add("leaving", 0, true);
    BOOST_TEST(choose() == "");
    add("staying", 99);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(choose() == "staying");
}

// Guards against a popular prefix that overloads the engine which has cached it.
BOOST_AUTO_TEST_CASE(cachedPrefixIsIgnoredAboveTheLoadBound)
{
    Task task;
    task.promptTokens = 16;
    task.prefixHashes = {42};
    prefixes.recordPrompt(start, "cached", task.prefixHashes, 16);
    add("cached", 30);
    add("other", 20);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(choose(task) == "cached");
    engines.clear();
    add("cached", 60);
    add("other", 20);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(choose(task) == "other");
}

// Guards against an entry that sends all its tasks to one engine while the engine's next report is
// late.
BOOST_AUTO_TEST_CASE(localTasksSinceTheReportCountAsLoad)
{
    add("a", 20);
    add("b", 20);
    for (int i = 0; i < 40; ++i)
        engines[choose() == "a" ? 0 : 1]->taskStarted(start, TaskKind::Online, 200, 300);
    BOOST_TEST(engines[0]->localTasks(TaskKind::Online) > 12);
    BOOST_TEST(engines[1]->localTasks(TaskKind::Online) > 12);
}

// Guards against local tasks that are counted twice after a report includes them.
BOOST_AUTO_TEST_CASE(reportReplacesOlderLocalTasks)
{
    add("a", 20);
    EngineState &engine = *engines[0];
    engine.taskStarted(start + absl::Milliseconds(10), TaskKind::Online, 100, 100);
    BOOST_TEST(engine.reportedRequests() == 21);
    EngineLoad load;
    load.running = 21;
    load.maxBatch = 100;
    load.age = absl::Milliseconds(50);
    engine.loadReported(start + absl::Milliseconds(100), load);
    BOOST_TEST(engine.reportedRequests() == 21);
    BOOST_TEST(engine.localTasks(TaskKind::Online) == 1);
}

// Guards against an engine that is overloaded right after its ejection, and against one that is
// never used again.
BOOST_AUTO_TEST_CASE(crashedEngineReturnsGradually)
{
    add("a", 20);
    add("b", 20);
    engines[0]->outlier().failed(start, true);
    BOOST_TEST(choose() == "b");
    const OutlierDetector &outlier = engines[0]->outlier();
    BOOST_TEST(outlier.trafficShare(start) == 0);
    const absl::Time ejectionEnd = outlier.ejectedUntil();
    BOOST_TEST(outlier.trafficShare(ejectionEnd) < 0.2);
    BOOST_TEST(outlier.trafficShare(ejectionEnd + settings.outlier.rampUpTime) == 1);
}

// Guards against an ejection because of one slow response, and against a slow engine that keeps its
// share of the traffic.
BOOST_AUTO_TEST_CASE(slowFirstTokensEjectAfterSeveralSamples)
{
    OutlierDetector detector{OutlierSettings{}};
    detector.firstToken(start, absl::Seconds(5), absl::Milliseconds(100));
    BOOST_TEST(!detector.ejected(start));
    for (int i = 0; i < 10; ++i)
        detector.firstToken(start, absl::Seconds(2), absl::Milliseconds(100));
    BOOST_TEST(detector.ejected(start));
}

// Guards against prefixes that count as cached although their eviction events were lost. After a
// gap in the sequence numbers, older estimates expire sooner.
BOOST_AUTO_TEST_CASE(gapInCacheEventsShortensTheLifetimeOfEstimates)
{
    const absl::Duration lifetime = absl::Seconds(100);
    PrefixIndex index(lifetime);
    index.apply(start, "e", {{1, CacheEvent::Kind::Stored, 7, 64}});
    BOOST_TEST(index.cachedTokens(start + absl::Seconds(90), "e", {7}) == 64);
    index.apply(start, "e", {{5, CacheEvent::Kind::Stored, 8, 64}});
    BOOST_TEST(index.cachedTokens(start + absl::Seconds(90), "e", {7}) == 0);
    BOOST_TEST(index.cachedTokens(start + absl::Seconds(90), "e", {8}) == 64);
    index.apply(start, "e", {{6, CacheEvent::Kind::Evicted, 8, 64}});
    BOOST_TEST(index.cachedTokens(start, "e", {8}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
