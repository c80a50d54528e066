#include "schedule.h"

#include "rattanrill/settings/settingsfile.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <set>

using namespace rattanrill;
using namespace rattanrill::load;

namespace {

LoadPlan planOf(const Json &changes)
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

std::ptrdiff_t countBetween(const std::vector<PlannedRequest> &schedule, int from, int to)
{
    return std::count_if(schedule.begin(), schedule.end(), [&](const PlannedRequest &request) {
        return request.at >= absl::Seconds(from) && request.at < absl::Seconds(to);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ScheduleTest)

// Guards against runs that cannot be repeated.
BOOST_AUTO_TEST_CASE(sameSeedGivesTheSameRequests)
{
    const auto first = bodiesOf(scheduleOf(planOf(Json::object())), "a");
    BOOST_TEST(first.size() > 100u);
    BOOST_TEST(first == bodiesOf(scheduleOf(planOf(Json::object())), "a"));
    BOOST_TEST(first != bodiesOf(scheduleOf(planOf({{"seed", 4}})), "a"));
}

// Guards against a comparison spoilt because another workspace's traffic shifted this one's.
BOOST_AUTO_TEST_CASE(addedWorkspaceLeavesTheOthersAsTheyWere)
{
    const Json two = {{"workspaces",
                       {{{"name", "a"}, {"key", "k"}, {"ratePerSecond", 20}},
                        {{"name", "b"}, {"key", "l"}, {"ratePerSecond", 5}}}}};
    BOOST_TEST(bodiesOf(scheduleOf(planOf(Json::object())), "a")
               == bodiesOf(scheduleOf(planOf(two)), "a"));
}

BOOST_AUTO_TEST_CASE(surgeMultipliesTheRateForItsTime)
{
    const Json surge = {{"fromSeconds", 4}, {"toSeconds", 6}, {"factor", 5}};
    const Json changes = {
            {"evenArrivals", true},
            {"workspaces",
             {{{"name", "a"}, {"key", "k"}, {"ratePerSecond", 20}, {"surge", surge}}}}};
    const auto schedule = scheduleOf(planOf(changes));
    BOOST_TEST(std::abs(countBetween(schedule, 0, 4) - 80) <= 1);
    BOOST_TEST(std::abs(countBetween(schedule, 4, 6) - 200) <= 1);
}

// Guards against equal prompts, whose crossed answers would pass the check.
BOOST_AUTO_TEST_CASE(promptsAreUniqueAndMatchTheirBody)
{
    std::set<std::string> seen;
    for (const PlannedRequest &request : scheduleOf(planOf(Json::object()))) {
        BOOST_TEST(seen.insert(request.prompt).second);
        const Json body = Json::parse(request.body);
        BOOST_TEST(body.at("model") == "m");
        BOOST_TEST(body.at("max_tokens") == request.maxTokens);
        BOOST_TEST(body.contains("messages") == (request.path == "/v1/chat/completions"));
    }
}

BOOST_AUTO_TEST_CASE(onlyNonIdempotentCallsCarryAKey)
{
    const Json changes = {
            {"services",
             {{{"workspace", "a"}, {"path", "/o"}, {"ratePerSecond", 5}, {"idempotent", false}},
              {{"workspace", "a"}, {"path", "/s"}, {"ratePerSecond", 5}}}}};
    int calls = 0;
    for (const PlannedRequest &request : scheduleOf(planOf(changes))) {
        if (request.kind != RequestKind::Service)
            continue;
        ++calls;
        BOOST_TEST(request.idempotencyKey.empty() == (request.path == "/s"));
    }
    BOOST_TEST(calls > 20);
}

BOOST_AUTO_TEST_CASE(unknownWorkspaceIsRefused)
{
    Json json = {{"targets", {"http://127.0.0.1:1"}},
                 {"workspaces", {{{"name", "a"}, {"key", "k"}}}},
                 {"batches", {{{"workspace", "z"}, {"file", "f"}}}}};
    BOOST_TEST(!outcomeOf([&] { return loadPlanOf(json, "plan"); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()
