#include "placement.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::gateway;

namespace {

struct Fixture
{
    Fixture()
    {
        serving::Deployment deployment;
        deployment.version = 1;
        deployment.services.resize(2);
        deployment.services[0].name = "llm";
        deployment.services[1].name = "next";
        deployment.workspaces = {{"w", {"k"}, -1, 10, 2}};
        serving::Route chat;
        chat.name = "chat";
        chat.pathPrefix = "/chat/";
        chat.targets = {{"next", 1}, {"llm", 9}};
        serving::Route jobs;
        jobs.name = "jobs";
        jobs.pathPrefix = "/jobs/";
        jobs.kind = serving::RouteKind::Batch;
        jobs.targets = {{"llm", 1}};
        jobs.allowsAnonymous = true;
        deployment.routes = {chat, jobs};
        context.deployment = std::make_shared<const serving::DeploymentIndex>(deployment);
        broker.setDeployment(context.deployment);
        broker.setUpstreams({{"u-1", "llm", "a:1", "d0", 2, false, "1"},
                             {"u-2", "llm", "a:2", "d1", 2, false, "1"},
                             {"n-1", "next", "a:3", "d1", 2, false, "2"}},
                            serving::CapacityShare());
        timers.advance(absl::Seconds(2));
        context.leads = true;
        context.hasUpstreams = true;
    }

    net::Response respond(const std::string &query, const std::string &method = "GET")
    {
        net::Request request;
        request.method = method;
        request.target = concat(placementPath, query);
        return placementResponse(context, request);
    }

    Json explain(const std::string &query)
    {
        const net::Response response = respond(query);
        BOOST_TEST_REQUIRE(response.head.status == 200, response.body);
        return Json::parse(response.body);
    }

    /// Checks status and code of a failure, and returns its message.
    std::string failure(const net::Response &response, int status, const std::string &code)
    {
        const Json error = Json::parse(response.body).at("error");
        BOOST_TEST(response.head.status == status);
        BOOST_TEST(error.at("code") == code);
        BOOST_TEST(error.at("run") == "not_run");
        return error.at("message");
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    serving::SlotBroker broker{timers, clock, serving::SlotBrokerSettings()};
    PlacementContext context{broker, {"store-1", "d1"}};
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

const std::string validQuery = "?route=chat&workspace=w";

std::string excludedParameters(int count)
{
    std::string text;
    for (int i = 1; i <= count; ++i)
        text += concat("&excluded=u-", i);
    return text;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTest, Fixture)

// Guards against an explanation by a store that does not decide, and against one without a
// configuration or list of upstreams.
BOOST_AUTO_TEST_CASE(onlyTheBrokerThatIsReadyExplains)
{
    context.hasUpstreams = false;
    failure(respond(validQuery), 503, "not_ready");
    context.deployment = nullptr;
    failure(respond(validQuery), 503, "not_ready");
    context.leads = false;
    failure(respond(validQuery), 503, "not_leader");
    fleet::FleetState state;
    state.members.resize(1);
    state.members[0].member.instance = "store-2";
    state.members[0].member.replica = "10.0.0.2:1#x";
    BOOST_TEST(instanceOf(state, "10.0.0.3:1#y").empty());
    context.leader = instanceOf(state, "10.0.0.2:1#x");
    BOOST_TEST(contains(failure(respond(validQuery), 503, "not_leader"), "\"store-2\""));
}

// Guards against a mistake in a query that is ignored, or not named by the response.
BOOST_AUTO_TEST_CASE(invalidQueriesAreRefusedWithParameterAndValue)
{
    struct Case
    {
        std::string query;
        std::string parameter;
        std::string value;
    };
    const std::vector<Case> cases = {
            {"", "route", "missing"},
            {"?route=chat", "workspace", "missing"},
            {"?route=x%20y&workspace=w", "route", "x y"},
            {"?route=chat&workspace=nobody", "workspace", "nobody"},
            {"?route=chat&workspace=", "workspace", ""},
            {validQuery + "&colour=red", "colour", "red"},
            {validQuery + "&kind=both", "kind", "both"},
            {validQuery + "&priority=-1", "priority", "-1"},
            {validQuery + "&priority=3000000000", "priority", "3000000000"},
            {validQuery + "&prompt_tokens=1.5", "prompt_tokens", "1.5"},
            {validQuery + "&output_tokens=", "output_tokens", ""},
            {validQuery + "&service=other", "service", "other"},
            {validQuery + "&route=jobs", "route", "jobs"},
            {validQuery + "&kind=batch&excluded=u-1", "excluded", "u-1"},
            {validQuery + excludedParameters(17), "excluded", "u-17"},
    };
    for (const Case &invalid : cases) {
        const std::string message = failure(respond(invalid.query), 400, "invalid_request");
        BOOST_TEST(contains(message, concat("\"", invalid.parameter, "\"")), message);
        BOOST_TEST(contains(message, invalid.value), message);
    }
    BOOST_TEST(contains(failure(respond("?route=%zz"), 400, "invalid_request"), "%zz"));
    failure(respond(validQuery, "POST"), 405, "method_not_allowed");
    BOOST_TEST(respond(validQuery + excludedParameters(16)).head.status == 200);
}

// Guards against a parameter that does not count, against another name on the wire, and against a
// further attempt that is explained as charged to the rate.
BOOST_AUTO_TEST_CASE(requestOfTheQueryIsExplained)
{
    const Json near = explain(validQuery + "&failure_domain=d1");
    BOOST_TEST(near.at("outcome") == "granted");
    BOOST_TEST(near.at("upstream") == "u-2");
    BOOST_TEST(near.at("rule") == "own_failure_domain");
    BOOST_TEST(near.at("kind") == "online");
    BOOST_TEST(near.at("service") == "llm");
    BOOST_TEST(near.at("rate").dump() == R"({"burst":2.0,"level":2.0,"rate_per_second":10.0})");
    BOOST_TEST(near.at("last_decision_age_ms").is_number_integer());
    BOOST_TEST(near.at("upstreams").size() == 2u);
    BOOST_TEST(near.at("upstreams")[0].at("reason").is_null());
    const Json excluding =
            explain(validQuery + "&excluded=u-1&excluded=u-2&prompt_tokens=5&output_tokens=7");
    BOOST_TEST(excluding.at("outcome") == "waits");
    BOOST_TEST(excluding.at("rate").is_null());
    for (const Json &upstream : excluding.at("upstreams"))
        BOOST_TEST(upstream.at("reason") == "excluded");
    const Json bound = explain(validQuery + "&service=next&version=1&instance=e&priority=1");
    BOOST_TEST(bound.at("outcome") == "rejected");
    BOOST_TEST(bound.at("version_gone") == true);
    BOOST_TEST(bound.at("retry_after_ms") > 0);
    BOOST_TEST(bound.at("upstreams")[0].at("reason") == "other_version");
}

// Guards against a batch item that is explained as sent by an entry: the broker sends it.
BOOST_AUTO_TEST_CASE(batchItemIsSentByTheBroker)
{
    const Json item = explain("?route=jobs&workspace=");
    BOOST_TEST(item.at("kind") == "batch");
    BOOST_TEST(item.at("upstream") == "u-2");
    BOOST_TEST(item.at("rate").is_null());
}

BOOST_AUTO_TEST_SUITE_END()
