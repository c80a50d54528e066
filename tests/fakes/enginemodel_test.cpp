#include "rattanrill/fakes/enginemodel.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

/// Settings with simple timings: a step takes 10 ms, plus 1 ms for each uncached prompt token of
/// the requests that join.
EngineModelSettings settings()
{
    EngineModelSettings settings;
    settings.models = {"m"};
    settings.timings.stepBase = absl::Milliseconds(10);
    settings.timings.stepPerSequence = absl::ZeroDuration();
    settings.timings.stepPerContextToken = absl::ZeroDuration();
    settings.timings.prefillPerToken = absl::Milliseconds(1);
    settings.timings.kvImportPerToken = absl::ZeroDuration();
    settings.cacheEventLoss = 0;
    return settings;
}

EngineRequest request(const std::string &id, std::int64_t maxTokens, std::size_t promptBytes = 4)
{
    EngineRequest request;
    request.requestId = id;
    request.model = "m";
    request.prompt = std::string(promptBytes, id.front());
    request.maxTokens = maxTokens;
    return request;
}

bool accepts(EngineModel &model, absl::Time now, EngineRequest request)
{
    return outcomeOf([&] { return model.submit(now, std::move(request)); }).ok();
}

/// Error code with which submit() fails; Internal when it succeeds.
ErrorCode refusal(EngineModel &model, absl::Time now, EngineRequest request)
{
    const auto outcome = outcomeOf([&] { return model.submit(now, std::move(request)); });
    return outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
}

/// Time from the submission until the request's first token.
absl::Duration firstTokenTime(EngineModel &model, EngineRequest request)
{
    const std::string id = request.requestId;
    BOOST_TEST_REQUIRE(accepts(model, start, std::move(request)));
    while (model.stepEnd() != absl::InfiniteFuture()) {
        const absl::Time now = model.stepEnd();
        for (const EngineEvent &event : model.advance(now)) {
            if (event.requestId == id && event.kind == EngineEvent::Kind::Token)
                return now - start;
        }
    }
    return absl::InfiniteDuration();
}

std::vector<std::string> started(const std::vector<EngineEvent> &events)
{
    std::vector<std::string> ids;
    for (const EngineEvent &event : events) {
        if (event.kind == EngineEvent::Kind::Started)
            ids.push_back(event.requestId);
    }
    return ids;
}

std::vector<std::int64_t> tokenIndexes(const std::vector<EngineEvent> &events)
{
    std::vector<std::int64_t> indexes;
    for (const EngineEvent &event : events) {
        if (event.kind == EngineEvent::Kind::Token)
            indexes.push_back(event.index);
    }
    return indexes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineModelTest)

// Guards against a step time that ignores the batch, the context or the prompt.
BOOST_AUTO_TEST_CASE(stepTimeGrowsWithBatchContextAndPrompt)
{
    EngineModelSettings timed = settings();
    timed.timings.stepPerSequence = absl::Milliseconds(2);
    timed.timings.stepPerContextToken = absl::Milliseconds(3);
    EngineModel model(timed);
    // 10 ms + 2 ms x 1 sequence + 3 ms x 5 context tokens + 1 ms x 5 prompt tokens.
    BOOST_TEST((firstTokenTime(model, request("a", 1, 20)) == absl::Milliseconds(32)));
}

// Guards against requests that overtake others: engines have no priorities.
BOOST_AUTO_TEST_CASE(fullBatchAdmitsInOrderOfArrival)
{
    EngineModelSettings small = settings();
    small.limits.maxBatch = 1;
    EngineModel model(small);
    for (const char *id : {"a", "b", "c"})
        BOOST_TEST_REQUIRE(accepts(model, start, request(id, 2)));
    const std::vector<std::string> expected = {"a", "b", "c"};
    BOOST_TEST(started(model.advance(start + absl::Seconds(1))) == expected);
}

// Guards against a KV limit that counts sequences instead of tokens. A request that does not fit
// must wait and block a smaller one behind it.
BOOST_AUTO_TEST_CASE(kvMemoryLimitsTheBatch)
{
    EngineModelSettings small = settings();
    small.limits.kvCapacityTokens = 100;
    EngineModel model(small);
    BOOST_TEST_REQUIRE(accepts(model, start, request("a", 60)));
    BOOST_TEST_REQUIRE(accepts(model, start, request("b", 60)));
    BOOST_TEST_REQUIRE(accepts(model, start, request("c", 5)));
    const std::vector<std::string> first = {"a"};
    BOOST_TEST(started(model.advance(start + absl::Milliseconds(500))) == first);
    const std::vector<std::string> rest = {"b", "c"};
    BOOST_TEST(started(model.advance(start + absl::Milliseconds(700))) == rest);
    BOOST_TEST((refusal(model, start, request("d", 101)) == ErrorCode::InvalidRequest));
}

// Guards against a refusal that is not marked as NotRun: the caller could not tell that a retry is
// safe.
BOOST_AUTO_TEST_CASE(fullQueueRefusesAsNotRun)
{
    EngineModelSettings small = settings();
    small.limits.maxBatch = 1;
    small.limits.maxWaiting = 1;
    EngineModel model(small);
    BOOST_TEST_REQUIRE(accepts(model, start, request("a", 5)));
    BOOST_TEST_REQUIRE(accepts(model, start, request("b", 5)));
    const auto outcome = outcomeOf([&] { return model.submit(start, request("c", 5)); });
    BOOST_TEST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.failure().code == ErrorCode::UpstreamBusy));
    BOOST_TEST((outcome.failure().effect == EffectState::NotRun));
}

// Guards against a resumed stream that repeats or skips tokens.
BOOST_AUTO_TEST_CASE(resumeContinuesAtTheNextIndex)
{
    EngineModel model(settings());
    EngineRequest resumed = request("a", 5);
    resumed.resumeAfter = 3;
    BOOST_TEST_REQUIRE(accepts(model, start, std::move(resumed)));
    const std::vector<EngineEvent> events = model.advance(start + absl::Seconds(1));
    const std::vector<std::int64_t> expected = {3, 4};
    BOOST_TEST(tokenIndexes(events) == expected);
    BOOST_TEST(events.back().index == 5);
    BOOST_TEST((events.back().reason == FinishReason::Length));
}

// Guards against a cancelled request that keeps its slot in the batch or can be cancelled twice.
BOOST_AUTO_TEST_CASE(cancelEndsTheRequestAndFreesItsSlot)
{
    EngineModelSettings small = settings();
    small.limits.maxBatch = 1;
    EngineModel model(small);
    BOOST_TEST_REQUIRE(accepts(model, start, request("a", 100)));
    BOOST_TEST_REQUIRE(accepts(model, start, request("b", 1)));
    const absl::Time later = start + absl::Milliseconds(35);
    model.advance(later);
    BOOST_TEST((model.cancel(later, "a") == std::optional<std::int64_t>(3)));
    const std::vector<EngineEvent> events = model.advance(later + absl::Milliseconds(40));
    BOOST_TEST((events.front().reason == FinishReason::Cancelled));
    BOOST_TEST(events.back().requestId == "b");
    BOOST_TEST(!model.cancel(later, "a").has_value());
}

// Guards against a KV handle that saves no prefill, or that lets another prompt skip its prefill.
BOOST_AUTO_TEST_CASE(kvHandleSavesPrefillOfItsOwnPromptOnly)
{
    EngineModel exporter(settings());
    BOOST_TEST_REQUIRE(accepts(exporter, start, request("a", 100, 32)));
    exporter.advance(start + absl::Milliseconds(40));
    const auto kvExport = exporter.exportKv(start + absl::Milliseconds(40), "a");
    BOOST_TEST_REQUIRE(kvExport.has_value());

    EngineRequest own = request("a", 100, 32);
    own.resumeAfter = kvExport->tokens;
    own.kvHandle = kvExport->handle;
    EngineModel importer(settings());
    BOOST_TEST((firstTokenTime(importer, std::move(own)) == absl::Milliseconds(10)));

    EngineRequest foreign = request("b", 100, 32);
    foreign.kvHandle = kvExport->handle;
    EngineModel other(settings());
    BOOST_TEST((firstTokenTime(other, std::move(foreign)) == absl::Milliseconds(18)));
}

// Guards against a prefix cache that saves no prefill or exceeds its capacity.
BOOST_AUTO_TEST_CASE(cachedPrefixSavesPrefillUntilItIsEvicted)
{
    EngineModelSettings small = settings();
    small.limits.prefixCacheTokens = 32;
    EngineModel model(small);
    // 128 bytes are 32 tokens: 10 ms + 32 ms, then 10 ms + 1 ms.
    EngineRequest first = request("a", 1, 128);
    EngineRequest second = request("a2", 1, 128);
    EngineRequest third = request("a3", 1, 128);
    BOOST_TEST((firstTokenTime(model, std::move(first)) == absl::Milliseconds(42)));
    BOOST_TEST((firstTokenTime(model, std::move(second)) == absl::Milliseconds(11)));
    firstTokenTime(model, request("b", 1, 128));
    BOOST_TEST((firstTokenTime(model, std::move(third)) == absl::Milliseconds(42)));
}

// Guards against a feed without delay and loss, with which clients would be tested only against
// timely and complete events.
BOOST_AUTO_TEST_CASE(cacheEventsAreDelayedAndHaveReproducibleGaps)
{
    const auto visibleSeqs = [](std::uint64_t seed) {
        EngineModelSettings lossy = settings();
        lossy.cacheEventLoss = 0.5;
        lossy.seed = seed;
        EngineModel model(lossy);
        firstTokenTime(model, request("a", 1, 4096));
        BOOST_TEST(model.cacheEvents(start + absl::Milliseconds(700), 0).events.empty());
        const CacheEventPage page = model.cacheEvents(start + absl::Seconds(10), 0);
        BOOST_TEST(page.next == 7);
        std::vector<std::int64_t> seqs;
        for (const CacheEvent &event : page.events)
            seqs.push_back(event.seq);
        return seqs;
    };
    BOOST_TEST(visibleSeqs(5) == visibleSeqs(5));
    BOOST_TEST(visibleSeqs(5).size() < 7u);
}

// Guards against a load report that shows the current load instead of the load one lag earlier.
BOOST_AUTO_TEST_CASE(loadReportIsDelayedByTheLag)
{
    EngineModel model(settings());
    BOOST_TEST_REQUIRE(accepts(model, start, request("a", 1000)));
    BOOST_TEST(model.load(start + absl::Milliseconds(499)).running == 0);
    BOOST_TEST(model.load(start + absl::Milliseconds(500)).running == 1);
    BOOST_TEST(model.load(start + absl::Milliseconds(500)).kvTokens == 1001);
}

// Guards against an engine that ignores its setting checksFence.
BOOST_AUTO_TEST_CASE(outdatedFenceIsRefusedOnlyByEnginesThatCheckIt)
{
    EngineModelSettings unchecked = settings();
    unchecked.checksFence = false;
    for (const EngineModelSettings &engineSettings : {settings(), unchecked}) {
        EngineModel model(engineSettings);
        BOOST_TEST(model.execute(start, {EngineCommandKind::LoadModel, "n", 5}).accepted);
        const EngineCommandResult late =
                model.execute(start, {EngineCommandKind::LoadModel, "o", 4});
        BOOST_TEST(late.accepted == !engineSettings.checksFence);
        BOOST_TEST(late.fence == 5);
    }
}

// Guards against a model that serves requests while it is still loading.
BOOST_AUTO_TEST_CASE(modelLoadedByCommandServesAfterLoadTime)
{
    EngineModel model(settings());
    model.execute(start, {EngineCommandKind::LoadModel, "n", 1});
    EngineRequest other = request("a", 1);
    other.model = "n";
    BOOST_TEST((refusal(model, start, other) == ErrorCode::UnknownModel));
    BOOST_TEST(accepts(model, start + absl::Seconds(2), other));
}

// Guards against injected faults that have no effect on the engine.
BOOST_AUTO_TEST_CASE(faultsSlowFreezeAndCrash)
{
    EngineModel slow(settings());
    slow.setSlowFactor(3);
    BOOST_TEST((firstTokenTime(slow, request("a", 1)) == absl::Milliseconds(33)));

    EngineModel frozen(settings());
    BOOST_TEST_REQUIRE(accepts(frozen, start, request("a", 1)));
    frozen.freezeUntil(start + absl::Seconds(5));
    BOOST_TEST((frozen.stepEnd() == start + absl::Seconds(5)));

    EngineModel crashing(settings());
    crashing.setCrashOn("bb");
    BOOST_TEST_REQUIRE(accepts(crashing, start, request("a", 1)));
    BOOST_TEST(!crashing.crashed());
    BOOST_TEST_REQUIRE(accepts(crashing, start, request("b", 1)));
    crashing.advance(start + absl::Seconds(1));
    BOOST_TEST(crashing.crashed());
}

BOOST_AUTO_TEST_SUITE_END()
