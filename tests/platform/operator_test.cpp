#include "instancelistclient.h"
#include "platformoperatoradapter.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::platform;

namespace {

const std::string document = R"({"version":7,"routes":[
  {"name":"r1","hostname":"h.example","path-prefix":"/a/","type":"streaming","timeout-ms":5000,
   "target-latency-ms":300,"priority":2,"traffic-split":[{"service":"s","weight":90},
   {"service":"t","weight":10}],"max-attempts":2,"allow-anonymous":false,"resumable":true,
   "gap-aim-ms":250},
  {"name":"r2","hostname":"h.example","path-prefix":"/b/","type":"batch","timeout-ms":4000,
   "service":"s","completion-target-ms":18000,"max-queue-s":40,"max-count":740000}],
 "services":[{"name":"s","health-check":"/health","max-connections":360,
   "engine":{"slots":8},"cold-start-s":8.5,"cold-per-s":3},{"name":"t","health-check":"/health","max-connections":96}],
 "limits":{"max-header-bytes":1000,"max-body-bytes":2000,"header-timeout-ms":100,
   "idle-timeout-ms":200},
 "tenants":[{"name":"w","api-keys":["k1","k2"],"priority":1,"rate-per-s":45,"burst":50}],
 "unknown":{"x":1}})";

const PlatformOperatorAdapter adapter;

Outcome<fleet::OperatorCall> parsePutConfiguration(const std::string &body)
{
    net::Request request;
    request.method = "POST";
    request.target = "/Config.Replace";
    request.body = body;
    return outcomeOf([&] { return adapter.parseCall(request); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformOperatorAdapterTest)

BOOST_AUTO_TEST_CASE(configurationIsParsed)
{
    const auto call = parsePutConfiguration(document);
    BOOST_REQUIRE(call.ok());
    const auto &parsed = std::get<fleet::PutConfigurationCall>(call.value());
    BOOST_TEST(parsed.document == document);
    const serving::Deployment &deployment = parsed.deployment;
    BOOST_TEST(deployment.version == 7u);
    BOOST_TEST_REQUIRE(deployment.routes.size() == 2u);
    const serving::Route &streamingRoute = deployment.routes[0];
    BOOST_TEST((streamingRoute.kind == serving::RouteKind::Streaming));
    BOOST_TEST(streamingRoute.targets.size() == 2u);
    BOOST_TEST((streamingRoute.interEventObjective == absl::Milliseconds(250)));
    BOOST_TEST(streamingRoute.maxAttempts == 2);
    BOOST_TEST(streamingRoute.resumable);
    const serving::Route &batchRoute = deployment.routes[1];
    BOOST_TEST((batchRoute.kind == serving::RouteKind::Batch));
    BOOST_TEST(batchRoute.maxWaitingTokens == 740000);
    BOOST_TEST((batchRoute.completionObjective == absl::Seconds(18)));
    BOOST_TEST((batchRoute.abandonAfter == absl::Seconds(40)));
    BOOST_TEST(deployment.services[0].engineSlots == 8);
    BOOST_TEST((deployment.services[0].warmUpTime == absl::Seconds(8.5)));
    BOOST_TEST(deployment.services[0].warmUpRate == 3);
    BOOST_TEST(deployment.services[1].warmUpRate == 0);
    BOOST_TEST(deployment.workspaces[0].keys.size() == 2u);
    BOOST_TEST(deployment.workspaces[0].ratePerSecond == 45);
    BOOST_TEST(deployment.limits.maxBodyBytes == 2000u);
}

// Guards against a configuration that is accepted although it is truncated or a part of it has the
// wrong type.
BOOST_AUTO_TEST_CASE(invalidConfigurationsAreRefusedAsAWhole)
{
    for (std::size_t size = 0; size < document.size() - 1; size += 17)
        BOOST_TEST(!parsePutConfiguration(document.substr(0, size)).ok());
    BOOST_TEST(!parsePutConfiguration(R"({"routes":[]})").ok());
    BOOST_TEST(!parsePutConfiguration(R"({"version":"7"})").ok());
    BOOST_TEST(!parsePutConfiguration(R"({"version":7,"routes":{}})").ok());
    BOOST_TEST(!parsePutConfiguration(R"({"version":7,"routes":[{"name":"r"}]})").ok());
    for (const char *field : {R"("cold-start-s":"8")", R"("cold-per-s":[3])"})
        BOOST_TEST(!parsePutConfiguration(R"({"version":7,"services":[{"name":"s",)"
                                          + std::string(field) + "}]}")
                            .ok());
    BOOST_TEST(!parsePutConfiguration(R"({"version":7,"tenants":[{"name":"w","api-keys":[1]}]})")
                        .ok());
}

// Guards against a limit that refuses each request, or that becomes a huge one.
BOOST_AUTO_TEST_CASE(limitsOfBytesThatAreNotPositiveAreRefused)
{
    const auto isAccepted = [](const std::string &limits) {
        return parsePutConfiguration(R"({"version":7,"limits":{)" + limits + "}}").ok();
    };
    BOOST_TEST(isAccepted(R"("max-body-bytes":1,"max-header-bytes":1)"));
    BOOST_TEST(!isAccepted(R"("max-body-bytes":-1)"));
    BOOST_TEST(!isAccepted(R"("max-body-bytes":0)"));
    BOOST_TEST(!isAccepted(R"("max-header-bytes":-1)"));
    BOOST_TEST(!isAccepted(R"("max-header-bytes":0)"));
}

BOOST_AUTO_TEST_CASE(otherCallsAreParsed)
{
    const auto parse = [](const std::string &method, const std::string &target,
                          const std::string &body = "") {
        net::Request request;
        request.method = method;
        request.target = target;
        request.body = body;
        return outcomeOf([&] { return adapter.parseCall(request); });
    };
    BOOST_TEST(std::holds_alternative<fleet::ReadConfigurationCall>(
            parse("GET", "/Config.Get").value()));
    BOOST_TEST(std::get<fleet::StartRetirementCall>(parse("POST", "/Retire.Start/store-1").value())
                       .instance
               == "store-1");
    BOOST_TEST(std::get<fleet::ReadRetirementCall>(parse("GET", "/Retire.Get/store-1").value())
                       .instance
               == "store-1");
    const auto start = parse("POST", "/Evacuations.Start/tx-central-a");
    BOOST_TEST_REQUIRE(start.ok());
    BOOST_TEST(std::get<fleet::SetEvacuationCall>(start.value()).failureDomain == "tx-central-a");
    BOOST_TEST(std::get<fleet::SetEvacuationCall>(start.value()).isEvacuated);
    const auto finish = parse("POST", "/Evacuations.Finish/tx-central-a");
    BOOST_TEST_REQUIRE(finish.ok());
    BOOST_TEST(!std::get<fleet::SetEvacuationCall>(finish.value()).isEvacuated);
    BOOST_TEST(!parse("POST", "/Evacuations.Start/").ok());
    BOOST_TEST(!parse("GET", "/Evacuations.Start/tx-central-a").ok());
    BOOST_TEST(!parse("POST", "/Evacuations.Start/tx-central-a", "body").ok());
    BOOST_TEST(!parse("GET", "/Retire.Get/").ok());
    BOOST_TEST(!parse("GET", "/elsewhere").ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InstanceListClientTest)

// Guards against an invalid entry of the instance list that is used as an upstream or that makes
// the rest of the page unreadable. Other programs write such entries to the list, even invalid
// UTF-8.
BOOST_AUTO_TEST_CASE(unusableEntriesAreSkipped)
{
    const std::string readyEntry =
            R"({"id":"i-1","service":"s","address":"10.0.0.1:80","zone":"a",)"
            R"("slots":8,"state":"ready"})";
    const std::string page =
            R"({"instances":[)" + readyEntry
            + R"(,{"id":"i-2","service":"s","address":"10.0.0.2:80","zone":"a","slots":6,)"
              R"("state":"draining"},{"id":7},null,"text",{"id":"i-3","service":"s",)"
              R"("address":"10.0.0.3:80","zone":"a","slots":"8","state":"ready"},)"
              R"({"id":"i-4","service":"s","address":"10.0.0.4:80","zone":"a","slots":8,)"
              R"("state":"resting"},{"id":")"
            + "\xff\xfe" + R"(","state":"ready"}],"next":"p-50"})";
    const auto decoded = outcomeOf([&] { return decodeInstancePage(page); });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST_REQUIRE(decoded.value().upstreams.size() == 2u);
    BOOST_TEST(decoded.value().upstreams[0].id == "i-1");
    BOOST_TEST(!decoded.value().upstreams[0].draining);
    BOOST_TEST(decoded.value().upstreams[1].draining);
    BOOST_TEST(decoded.value().skipped == 6);
    BOOST_TEST(decoded.value().nextPage == "p-50");
}

BOOST_AUTO_TEST_CASE(lastPageHasNoNextPage)
{
    const auto page =
            outcomeOf([&] { return decodeInstancePage(R"({"instances":[],"next":null})"); });
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page.value().nextPage.empty());
    BOOST_TEST(!outcomeOf([&] { return decodeInstancePage("[]"); }).ok());
    BOOST_TEST(!outcomeOf([&] { return decodeInstancePage("{"); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()
