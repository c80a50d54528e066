#include "schedule.h"

#include "rattanrill/settings/settingsfile.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>

using namespace rattanrill;
using namespace rattanrill::load;

namespace {

LoadPlan makePlan(const Json &changes)
{
    Json json = {{"targets", {"http://127.0.0.1:1", "http://127.0.0.1:2"}},
                 {"workspaces", {{{"name", "a"}, {"key", "k"}, {"ratePerSecond", 20}}}},
                 {"model", "m"},
                 {"prompts", "unused"},
                 {"durationSeconds", 10},
                 {"seed", 3}};
    json.merge_patch(changes);
    const auto plan = outcomeOf([&]() -> Result<LoadPlan> {
        BOOST_LEAF_AUTO(checked, parseSettings(dumpJson(json), "plan", loadPlanSchema()));
        return loadPlanOf(checked, "plan");
    });
    BOOST_TEST_REQUIRE(plan.ok(), describe(plan.ok() ? Failure() : plan.failure()));
    return plan.value();
}

const std::vector<Json> prompts = {
        {{"prompt", "p"}, {"max_tokens", 5}},
        {{"messages", {{{"role", "user"}, {"content", "c"}}}}, {"max_tokens", 6}}};

std::vector<PlannedRequest> scheduleOf(const LoadPlan &plan)
{
    return outcomeOf([&] { return makeSchedule(plan, prompts); }).value();
}

std::vector<std::string> bodiesOf(const std::vector<PlannedRequest> &schedule,
                                  const std::string &workspace)
{
    std::vector<std::string> bodies;
    for (const PlannedRequest &request : schedule) {
        if (request.workspace == workspace)
            bodies.push_back(absl::FormatDuration(request.at) + request.body);
    }
    return bodies;
}

std::ptrdiff_t countInPeriod(const std::vector<PlannedRequest> &schedule, int from, int to)
{
    return std::count_if(schedule.begin(), schedule.end(), [&](const PlannedRequest &request) {
        return request.at >= absl::Seconds(from) && request.at < absl::Seconds(to);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScheduleTest)

// Guards against runs that cannot be reproduced because the schedule does not depend on the seed
// alone.
BOOST_AUTO_TEST_CASE(sameSeedProducesSameRequests)
{
    const auto first = bodiesOf(scheduleOf(makePlan(Json::object())), "a");
    BOOST_TEST(first.size() > 100u);
    BOOST_TEST(first == bodiesOf(scheduleOf(makePlan(Json::object())), "a"));
    BOOST_TEST(first != bodiesOf(scheduleOf(makePlan({{"seed", 4}})), "a"));
}

// Guards against runs that cannot be compared because the traffic of an added workspace shifts that
// of the others, as with a random generator that they share.
BOOST_AUTO_TEST_CASE(addedWorkspaceDoesNotChangeOtherWorkspaces)
{
    const Json two = {{"workspaces",
                       {{{"name", "a"}, {"key", "k"}, {"ratePerSecond", 20}},
                        {{"name", "b"}, {"key", "l"}, {"ratePerSecond", 5}}}}};
    BOOST_TEST(bodiesOf(scheduleOf(makePlan(Json::object())), "a")
               == bodiesOf(scheduleOf(makePlan(two)), "a"));
}

// Guards against a surge that is ignored or also raises the rate outside its period.
BOOST_AUTO_TEST_CASE(surgeMultipliesRateDuringItsPeriod)
{
    const Json surge = {{"fromSeconds", 4}, {"toSeconds", 6}, {"factor", 5}};
    const Json changes = {
            {"evenArrivals", true},
            {"workspaces",
             {{{"name", "a"}, {"key", "k"}, {"ratePerSecond", 20}, {"surge", surge}}}}};
    const auto schedule = scheduleOf(makePlan(changes));
    BOOST_TEST(std::abs(countInPeriod(schedule, 0, 4) - 80) <= 1);
    BOOST_TEST(std::abs(countInPeriod(schedule, 4, 6) - 200) <= 1);
}

// Guards against equal prompts: their expected texts are equal, so that swapped responses would
// pass the check.
BOOST_AUTO_TEST_CASE(promptsAreUniqueAndMatchTheirBody)
{
    std::set<std::string> seen;
    for (const PlannedRequest &request : scheduleOf(makePlan(Json::object()))) {
        BOOST_TEST(seen.insert(request.prompt).second);
        const Json body = Json::parse(request.body);
        BOOST_TEST(body.at("model") == "m");
        BOOST_TEST(body.at("max_tokens") == request.maxTokens);
        BOOST_TEST(body.contains("messages") == (request.path == "/v1/chat/completions"));
    }
}

// Guards against a non-idempotent call without a key, which must not be resent after a lost
// response.
BOOST_AUTO_TEST_CASE(onlyNonIdempotentCallsHaveIdempotencyKey)
{
    const Json changes = {
            {"services",
             {{{"workspace", "a"}, {"path", "/o"}, {"ratePerSecond", 5}, {"idempotent", false}},
              {{"workspace", "a"}, {"path", "/s"}, {"ratePerSecond", 5}}}}};
    int calls = 0;
    for (const PlannedRequest &request : scheduleOf(makePlan(changes))) {
        if (request.kind != RequestKind::Service)
            continue;
        ++calls;
        BOOST_TEST(request.idempotencyKey.empty() == (request.path == "/s"));
    }
    BOOST_TEST(calls > 20);
}

// Guards against a plan that is accepted although the key of a batch's workspace is unknown.
BOOST_AUTO_TEST_CASE(batchWithUnknownWorkspaceIsRefused)
{
    Json json = {{"targets", {"http://127.0.0.1:1"}},
                 {"workspaces", {{{"name", "a"}, {"key", "k"}}}},
                 {"batches", {{{"workspace", "z"}, {"file", "f"}}}}};
    BOOST_TEST(!outcomeOf([&] { return loadPlanOf(json, "plan"); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()
