#include "testfleet.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::entry {
namespace {

void addRoute(TestFleet &fleet, bool idempotent)
{
    fleet.control().write(wire::PutRoute{{"desk", "/desk", "desk", false, idempotent}});
    fleet.awaitReady();
}

httplib::Result sendOrder(TestFleet &fleet, int entry, const std::string &key,
                          const std::string &body = "{}")
{
    httplib::Headers headers;
    if (!key.empty())
        headers.emplace("Idempotency-Key", key);
    return fleet.post(entry, "/desk/orders", "acme", body, headers);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Services)

// R10: guards against running a call a second time when it is resent through another entry.
BOOST_AUTO_TEST_CASE(resendIsAnsweredFromTheClaim)
{
    TestFleet fleet(2, 0 + 1, 2);
    addRoute(fleet, false);
    const auto first = sendOrder(fleet, 0, "order-1");
    BOOST_TEST(first->status == 200);
    const auto again = sendOrder(fleet, 1, "order-1");
    BOOST_TEST(again->status == 200);
    BOOST_TEST(again->body == first->body);
    BOOST_TEST(again->get_header_value("Idempotent-Replayed") == "true");
    BOOST_TEST(fleet.service(0).runs() + fleet.service(1).runs() == 1u);
    const auto other = sendOrder(fleet, 1, "order-1", R"({"other":1})");
    BOOST_TEST(errorOf(other).value("code", "") == "conflict");
    BOOST_TEST(fleet.service(0).runs() + fleet.service(1).runs() == 1u);
}

// R9, R10: guards against a second run after the response of the service was lost, and against
// reporting the lost call as not run.
BOOST_AUTO_TEST_CASE(callThatMayHaveRunIsNotRepeated)
{
    TestFleet fleet(2, 1, 2);
    addRoute(fleet, false);
    ScriptedEngine::Script script;
    script.abortResponses = true;
    fleet.service(0).setScript(script);
    fleet.service(1).setScript(script);
    const auto lost = sendOrder(fleet, 0, "order-2");
    BOOST_TEST(errorOf(lost).value("run", "") == "may_have_run");
    const auto again = sendOrder(fleet, 1, "order-2");
    BOOST_TEST(errorOf(again).value("code", "") == "duplicate_request");
    BOOST_TEST(errorOf(again).value("run", "") == "may_have_run");
    BOOST_TEST(fleet.service(0).runs() + fleet.service(1).runs() == 1u);
    const auto keyless = sendOrder(fleet, 0, "");
    BOOST_TEST(errorOf(keyless).value("run", "") == "may_have_run");
    BOOST_TEST(fleet.service(0).runs() + fleet.service(1).runs() == 2u);
}

// R8: guards against delivering the response of another request, which the service sent under the
// wrong request id.
BOOST_AUTO_TEST_CASE(serviceResponseToAnotherRequestIsDropped)
{
    TestFleet fleet(1, 1, 1);
    addRoute(fleet, false);
    ScriptedEngine::Script script;
    script.wrongRequestId = true;
    fleet.service(0).setScript(script);
    const auto response = sendOrder(fleet, 0, "");
    BOOST_TEST(errorOf(response).value("code", "") == "upstream_failed");
    BOOST_TEST(errorOf(response).value("run", "") == "may_have_run");
}

// Guards against a header that a caller adds to the request to a service by escapes in the value of
// another one, which the HTTP server of the entry decodes.
BOOST_AUTO_TEST_CASE(escapedLineBreakInAHeaderIsRefused)
{
    TestFleet fleet(1, 1, 1);
    addRoute(fleet, false);
    const auto response =
            fleet.post(0, "/desk/orders", "acme", "{}", {}, "text/plain%0d%0aX-Workspace: other");
    BOOST_TEST(errorOf(response).value("code", "") == "invalid_request");
    BOOST_TEST(errorOf(response).value("run", "") == "not_run");
    BOOST_TEST(fleet.service(0).runs() == 0u);
}

// R10: guards against running a call without a claim while the groups that store claims do not
// respond.
BOOST_AUTO_TEST_CASE(callIsRefusedAsNotRunWhileClaimsAreUnreachable)
{
    TestFleet fleet(1, 1, 1);
    addRoute(fleet, false);
    fleet.control().setUnresponsive("batch-0", true);
    fleet.control().setUnresponsive("batch-1", true);
    const auto refused = sendOrder(fleet, 0, "order-3");
    BOOST_TEST(errorOf(refused).value("run", "") == "not_run");
    BOOST_TEST(fleet.service(0).runs() == 0u);
}

// R4: guards against a path that matches the prefix of an open route but resolves to another path.
BOOST_AUTO_TEST_CASE(ambiguousPathsAreRefused)
{
    TestFleet fleet(1, 1, 1);
    fleet.control().write(wire::PutRoute{{"open", "/desk/open", "desk", true, true}});
    addRoute(fleet, true);
    for (const char *path : {"/desk/open/../orders", "/desk/open/%2e%2e/orders",
                             "/desk/open/..%2forders", "/desk/open//x"}) {
        const auto response = fleet.get(0, path, "");
        BOOST_TEST(response->status == 400, path);
    }
    BOOST_TEST(fleet.get(0, "/desk/openings", "")->status == 401);
    BOOST_TEST(fleet.service(0).runs() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
