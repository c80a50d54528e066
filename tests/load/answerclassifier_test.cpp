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

PlannedRequest planned()
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

const std::string done = "data: [DONE]\n\n";
const std::string error =
        "data: {\"error\":{\"code\":\"stream_broken\",\"run\":\"may_have_run\"}}\n\n";

Ending judged(const std::string &events, bool intact = true)
{
    StreamReader reader;
    // In pieces, as a socket delivers them.
    for (std::size_t i = 0; i < events.size(); i += 7)
        reader.feed(std::string_view(events).substr(i, 7));
    RequestOutcome outcome;
    classifyStream(planned(), reader, intact, outcome);
    return outcome.ending;
}

Ending judgedWhole(const std::string &text)
{
    RequestOutcome outcome;
    classifyCompletion(planned(), dumpJson({{"choices", {{{"text", text}}}}}), outcome);
    return outcome.ending;
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

BOOST_AUTO_TEST_SUITE(AnswerJudgeTest)

BOOST_AUTO_TEST_CASE(streamsAreJudgedByTextAndEnd)
{
    const std::string two = tokenEvent("p", 0) + tokenEvent("p", 1);
    const std::string three = two + tokenEvent("p", 2);
    BOOST_TEST((judged(three + done) == Ending::Completed));
    BOOST_TEST((judged(two + done) == Ending::Short));
    BOOST_TEST((judged(two) == Ending::Cut));
    BOOST_TEST((judged(three) == Ending::Cut));
    BOOST_TEST((judged(three + done, false) == Ending::Cut));
    BOOST_TEST((judged(two + error) == Ending::Refused));
    BOOST_TEST((judged(two + tokenEvent("q", 2) + done) == Ending::Foreign));
    // A foreign token stays wrong when an error follows.
    BOOST_TEST((judged(tokenEvent("q", 0) + error) == Ending::Foreign));
    BOOST_TEST((judged(two + tokenEvent("p", 1) + done) == Ending::Foreign));
    BOOST_TEST((judged(three + done + tokenEvent("p", 3)) == Ending::Foreign));
}

BOOST_AUTO_TEST_CASE(wholeAnswersAreJudgedByText)
{
    BOOST_TEST((judgedWhole(expectedText("p", 0, 3)) == Ending::Completed));
    BOOST_TEST((judgedWhole(expectedText("p", 0, 2)) == Ending::Short));
    BOOST_TEST((judgedWhole(expectedText("q", 0, 3)) == Ending::Foreign));
    BOOST_TEST((judgedWhole("") == Ending::Short));
}

BOOST_AUTO_TEST_CASE(serviceAnswerMustEchoTheBody)
{
    RequestOutcome outcome;
    Json body = {{"path", "/orders"}, {"echo", fakes::hashText("b")}};
    classifyServiceAnswer(planned(), dumpJson(body), outcome);
    BOOST_TEST((outcome.ending == Ending::Completed));
    body["echo"] = fakes::hashText("c");
    classifyServiceAnswer(planned(), dumpJson(body), outcome);
    BOOST_TEST((outcome.ending == Ending::Foreign));
}

BOOST_AUTO_TEST_CASE(refusalKeepsCodeAndRunState)
{
    RequestOutcome outcome;
    classifyErrorAnswer(R"({"error":{"code":"rate_limited","run":"not_run"}})", outcome);
    BOOST_TEST(outcome.code == "rate_limited");
    BOOST_TEST(outcome.effectState == "not_run");
    classifyErrorAnswer("gateway timeout", outcome);
    BOOST_TEST(outcome.code == "untyped");
}

// Guards against a job that is called complete with an item lost, doubled or answered for another.
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

BOOST_AUTO_TEST_CASE(quantilesAreNearestRank)
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
