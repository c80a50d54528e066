#include "rattanrill/serving/deployment.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

Route route(const std::string &name, const std::string &prefix, const std::string &service = "s")
{
    Route result;
    result.name = name;
    result.host = "h.example";
    result.pathPrefix = prefix;
    result.targets = {{service, 1}};
    return result;
}

Deployment validDeployment()
{
    Deployment deployment;
    deployment.version = 3;
    deployment.services = {{"s", "/health", 10, 0}, {"t", "/health", 10, 0}};
    deployment.routes = {route("short", "/a/"), route("long", "/a/b/")};
    deployment.workspaces = {{"w", {"k1", "k2"}, -1, 5, 5}, {"v", {"k3"}, 1, 0, 0}};
    return deployment;
}

bool isValid(const Deployment &deployment)
{
    return outcomeOf([&] { return checkDeployment(deployment); }).ok();
}

} // namespace

BOOST_AUTO_TEST_SUITE(DeploymentTest)

BOOST_AUTO_TEST_CASE(validDeploymentIsAccepted)
{
    BOOST_TEST(isValid(validDeployment()));
}

// Guards against an invalid configuration that takes effect because a check is missing.
BOOST_AUTO_TEST_CASE(eachInvalidConfigurationIsRejected)
{
    const std::map<std::string, void (*)(Deployment &)> faults = {
            {"negative warm-up time",
             [](Deployment &d) { d.services[0].warmUpTime = -absl::Seconds(1); }},
            {"warm-up time of more than an hour",
             [](Deployment &d) { d.services[0].warmUpTime = absl::Seconds(3601); }},
            {"negative warm-up rate", [](Deployment &d) { d.services[1].warmUpRate = -0.5; }},
            {"unknown service",
             [](Deployment &d) {
                 d.routes[0].targets = {{"nobody", 1}};
             }},
            {"same host and prefix", [](Deployment &d) { d.routes[1].pathPrefix = "/a/"; }},
            {"same prefix, same host in other case",
             [](Deployment &d) {
                 d.routes[1].pathPrefix = "/a/";
                 d.routes[1].host = "H.example";
             }},
            {"no weight",
             [](Deployment &d) {
                 d.routes[0].targets = {{"s", 0}, {"t", 0}};
             }},
            {"negative weight",
             [](Deployment &d) {
                 d.routes[0].targets = {{"s", -1}, {"t", 3}};
             }},
            {"no timeout", [](Deployment &d) { d.routes[0].timeout = absl::ZeroDuration(); }},
            {"no slash", [](Deployment &d) { d.routes[0].pathPrefix = "/a"; }},
            {"line break in a host", [](Deployment &d) { d.routes[0].host = "h\r\nX: 1"; }},
            {"line break in a prefix", [](Deployment &d) { d.routes[0].pathPrefix = "/a\n/"; }},
            {"space in a prefix", [](Deployment &d) { d.routes[0].pathPrefix = "/a b/"; }},
            {"line break in a workspace",
             [](Deployment &d) { d.workspaces[0].name = "w\r\nX: 1"; }},
            {"zero byte in a workspace",
             [](Deployment &d) { d.workspaces[0].name = std::string("w\0", 2); }},
            {"shared key", [](Deployment &d) { d.workspaces[1].keys = {"k1"}; }},
    };
    for (const auto &[name, invalidate] : faults) {
        Deployment deployment = validDeployment();
        invalidate(deployment);
        BOOST_TEST(!isValid(deployment), name);
    }
}

BOOST_AUTO_TEST_CASE(routeWithLongestMatchingPrefixIsSelected)
{
    const DeploymentIndex index(validDeployment());
    const auto nameAt = [&](const char *path) {
        const Route *found = index.route("h.example", path);
        return found == nullptr ? std::string() : found->name;
    };
    BOOST_TEST(nameAt("/a/x") == "short");
    BOOST_TEST(nameAt("/a/b/x") == "long");
    BOOST_TEST(nameAt("/a/b/") == "long");
    BOOST_TEST(nameAt("/a/b") == "short");
    BOOST_TEST(nameAt("/ab/x") == "");
    BOOST_TEST(nameAt("/") == "");
    BOOST_TEST((index.route("other.example", "/a/x") == nullptr));
    BOOST_TEST((index.route("H.EXAMPLE:8080", "/a/x") != nullptr));
}

BOOST_AUTO_TEST_CASE(keySelectsItsWorkspace)
{
    const DeploymentIndex index(validDeployment());
    BOOST_TEST(index.workspaceOfKey("k2")->name == "w");
    BOOST_TEST((index.workspaceOfKey("") == nullptr));
    BOOST_TEST((index.workspaceOfKey("nobody's") == nullptr));
}

// Guards against attempts of one request that are sent to upstreams of different services, which
// happens when the choice does not depend on the key alone.
BOOST_AUTO_TEST_CASE(requestsAreDividedByWeightAndEachKeyKeepsItsService)
{
    Route split = route("r", "/a/");
    split.targets = {{"s", 90}, {"t", 10}, {"never", 0}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 10000; ++i) {
        const std::string key = "request" + std::to_string(i);
        const std::string service = selectService(split, key);
        BOOST_TEST_REQUIRE(service == selectService(split, key));
        ++counts[service];
    }
    BOOST_TEST(counts["never"] == 0);
    BOOST_TEST(counts["t"] > 800);
    BOOST_TEST(counts["t"] < 1200);
}

BOOST_AUTO_TEST_SUITE_END()
