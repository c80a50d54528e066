#include "answerclassifier.h"
#include "batchoutcome.h"
#include "loadsummary.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/fakes/answer.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::load;
using fakes::expectedText;
using fakes::expectedToken;

namespace {

PlannedRequest plannedRequest()
{
    PlannedRequest request;
    request.prompt = "p";
    request.maxTokens = 3;
    request.path = "/orders";
    request.body = "b";
    return request;
}

std::string tokenEvent(const std::string &prompt, int index)
{
    return concat(
            "data: ",
            dumpJson({{"index", index},
                      {"choices",
                       {{{"text", expectedToken(prompt, index)}, {"finish_reason", nullptr}}}}}),
            "\n\n");
}

const std::string doneEvent = "data: [DONE]\n\n";
const std::string errorEvent =
        "data: {\"error\":{\"code\":\"stream_broken\",\"run\":\"may_have_run\"}}\n\n";

OutcomeType classifyEvents(const std::string &events, bool intact = true)
{
    StreamReader reader;
    // The events are fed in small pieces because a socket may split them anywhere.
    for (std::size_t i = 0; i < events.size(); i += 7)
        reader.feed(std::string_view(events).substr(i, 7));
    RequestOutcome outcome;
    classifyStream(plannedRequest(), reader, intact, outcome);
    return outcome.type;
}

OutcomeType classifyText(const std::string &text)
{
    RequestOutcome outcome;
    classifyCompletion(plannedRequest(), dumpJson({{"choices", {{{"text", text}}}}}), outcome);
    return outcome.type;
}

Json batchLine(const std::string &id)
{
    return {{"custom_id", id}, {"body", {{"prompt", id}, {"max_tokens", 2}}}};
}

Json resultLine(const std::string &id, const std::string &prompt)
{
    const Json body = {{"choices", {{{"text", expectedText(prompt, 0, 2)}}}}};
    return {{"custom_id", id}, {"response", {{"status_code", 200}, {"body", body}}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerClassifierTest)

// Guards against a stream that is accepted although it is incomplete, has no [DONE] or has tokens
// of another response, and against a broken connection that is reported as a wrong response.
BOOST_AUTO_TEST_CASE(streamIsClassifiedByTextAndEnd)
{
    const std::string two = tokenEvent("p", 0) + tokenEvent("p", 1);
    const std::string three = two + tokenEvent("p", 2);
    BOOST_TEST((classifyEvents(three + doneEvent) == OutcomeType::Completed));
    BOOST_TEST((classifyEvents(two + doneEvent) == OutcomeType::Truncated));
    BOOST_TEST((classifyEvents(two) == OutcomeType::Disconnected));
    BOOST_TEST((classifyEvents(three) == OutcomeType::Disconnected));
    BOOST_TEST((classifyEvents(three + doneEvent, false) == OutcomeType::Disconnected));
    BOOST_TEST((classifyEvents(two + errorEvent) == OutcomeType::Refused));
    BOOST_TEST((classifyEvents(two + tokenEvent("q", 2) + doneEvent) == OutcomeType::Mismatched));
    // A mismatched token makes the response wrong even when an error follows.
    BOOST_TEST((classifyEvents(tokenEvent("q", 0) + errorEvent) == OutcomeType::Mismatched));
    BOOST_TEST((classifyEvents(two + tokenEvent("p", 1) + doneEvent) == OutcomeType::Mismatched));
    BOOST_TEST((classifyEvents(three + doneEvent + tokenEvent("p", 3)) == OutcomeType::Mismatched));
}

// Guards against a completion that is accepted although its text is truncated or belongs to another
// prompt.
BOOST_AUTO_TEST_CASE(nonStreamedCompletionIsClassifiedByText)
{
    BOOST_TEST((classifyText(expectedText("p", 0, 3)) == OutcomeType::Completed));
    BOOST_TEST((classifyText(expectedText("p", 0, 2)) == OutcomeType::Truncated));
    BOOST_TEST((classifyText(expectedText("q", 0, 3)) == OutcomeType::Mismatched));
    BOOST_TEST((classifyText("") == OutcomeType::Truncated));
}

// Guards against a service response that is accepted although it belongs to another request.
BOOST_AUTO_TEST_CASE(serviceResponseMustEchoBody)
{
    RequestOutcome outcome;
    Json body = {{"path", "/orders"}, {"echo", fakes::hashText("b")}};
    classifyServiceResponse(plannedRequest(), dumpJson(body), outcome);
    BOOST_TEST((outcome.type == OutcomeType::Completed));
    body["echo"] = fakes::hashText("c");
    classifyServiceResponse(plannedRequest(), dumpJson(body), outcome);
    BOOST_TEST((outcome.type == OutcomeType::Mismatched));
}

// Guards against refusals that are counted without a code, such as an error from a proxy, which has
// no typed body.
BOOST_AUTO_TEST_CASE(refusalRecordsCodeAndRunState)
{
    RequestOutcome outcome;
    classifyErrorResponse(R"({"error":{"code":"rate_limited","run":"not_run"}})", outcome);
    BOOST_TEST(outcome.code == "rate_limited");
    BOOST_TEST(outcome.effectState == "not_run");
    classifyErrorResponse("gateway timeout", outcome);
    BOOST_TEST(outcome.code == "untyped");
}

// Guards against a job that is reported as correct although an item is missing, has two results or
// has the result of another item.
BOOST_AUTO_TEST_CASE(batchResultsAreMatchedItemByItem)
{
    const std::vector<Json> input = {batchLine("a"), batchLine("b"), batchLine("c"), batchLine("d"),
                                     batchLine("e")};
    const Json failed = {{"custom_id", "c"}, {"error", {{"code", "item_failed"}}}};
    BatchOutcome outcome;
    compareResults(input,
                   {resultLine("a", "a"), resultLine("a", "a"), resultLine("b", "d"), failed,
                    resultLine("d", "d"), resultLine("z", "z")},
                   outcome);
    BOOST_TEST(outcome.completed == 2);
    BOOST_TEST(outcome.duplicate == 1);
    BOOST_TEST(outcome.failed == 1);
    BOOST_TEST(outcome.missing == 1);
    BOOST_TEST(outcome.wrong == 2);
    BOOST_TEST(wrongItems(outcome) == 4);
}

// Guards against quantiles that are off by one rank or computed from unsorted values.
BOOST_AUTO_TEST_CASE(quantilesUseNearestRank)
{
    std::vector<double> values;
    for (int i = 100; i >= 1; --i)
        values.push_back(i);
    const Json json = quantiles(values);
    BOOST_TEST(json.at("p50") == 50);
    BOOST_TEST(json.at("p95") == 95);
    BOOST_TEST(json.at("max") == 100);
    BOOST_TEST(quantiles({}).at("count") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
