#include "rattanrill/fakes/answer.h"
#include "rattanrill/fakes/instancelist.h"
#include "rattanrill/fakes/weightstore.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

std::vector<std::string> states(const InstanceList &list, absl::Time now)
{
    std::vector<std::string> states;
    for (const Instance &instance : list.visibleInstances(now))
        states.push_back(instance.name + " " + std::string(name(instance.state)));
    return states;
}

void set(InstanceList &list, absl::Time now, const std::string &name, const Json &body)
{
    BOOST_TEST_REQUIRE(outcomeOf([&] { return list.set(now, name, body); }).ok());
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerTest)

// Guards against a change of the hash, which is part of the protocol: a checker in another process
// must compute the same token.
BOOST_AUTO_TEST_CASE(tokenIsTheSeededHashOfThePrompt)
{
    BOOST_TEST(expectedToken("hello", 0) == " w9555e855");
    BOOST_TEST(expectedText("hello", 1, 3) == " w74b07ed3 w5a9d05d4");
}

// Guards against a check that accepts an answer that is truncated, too long, shifted or for another
// prompt.
BOOST_AUTO_TEST_CASE(truncatedAndMismatchedAnswersAreDetected)
{
    const std::string whole = expectedText("p", 0, 4);
    BOOST_TEST((checkAnswer("p", whole, 4) == AnswerVerdict::Correct));
    BOOST_TEST((checkAnswer("p", expectedText("p", 0, 3), 4) == AnswerVerdict::Truncated));
    BOOST_TEST((checkAnswer("p", expectedText("p", 0, 5), 4) == AnswerVerdict::Mismatch));
    BOOST_TEST((checkAnswer("q", whole, 4) == AnswerVerdict::Mismatch));
    BOOST_TEST((checkAnswer("p", expectedText("p", 1, 4), 4) == AnswerVerdict::Mismatch));
}

// Guards against a chat prompt that omits messages, and against a body without a prompt that is
// accepted.
BOOST_AUTO_TEST_CASE(chatPromptJoinsContents)
{
    const Json body = {{"messages", {{{"content", "a"}}, {{"content", "b"}}}}};
    BOOST_TEST(outcomeOf([&] { return promptOf(body); }).value() == "a\nb");
    BOOST_TEST(!outcomeOf([&] { return promptOf(Json::object()); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlatformTest)

// Guards against a list that shows a change immediately: the platform shows it after a lag.
BOOST_AUTO_TEST_CASE(listShowsChangesAfterTheLag)
{
    InstanceList list(absl::Seconds(2));
    set(list, start, "a", {{"host", "127.0.0.1"}, {"port", 80}});
    set(list, start + absl::Seconds(1), "a", {{"state", "leaving"}});
    set(list, start + absl::Seconds(2), "a", {{"state", "gone"}});
    using Lines = std::vector<std::string>;
    BOOST_TEST(states(list, start + absl::Seconds(1)) == Lines());
    BOOST_TEST(states(list, start + absl::Seconds(2)) == Lines{"a live"});
    BOOST_TEST(states(list, start + absl::Seconds(3)) == Lines{"a leaving"});
    BOOST_TEST(states(list, start + absl::Seconds(4)) == Lines());
}

// Guards against a limit that refuses a file larger than the burst forever, or does not charge its
// whole size.
BOOST_AUTO_TEST_CASE(weightStoreRejectsReadsBeyondItsRate)
{
    WeightStore store({{{"w", 250}}, 100, 200}, start);
    const auto accepts = [&](absl::Duration after) {
        return outcomeOf([&] { return store.consume(start + after, 250); }).ok();
    };
    BOOST_TEST(accepts(absl::ZeroDuration()));
    BOOST_TEST(!accepts(absl::Milliseconds(2499)));
    BOOST_TEST(
            (store.timeUntilAvailable(start + absl::Seconds(2), 250) == absl::Milliseconds(500)));
    BOOST_TEST(accepts(absl::Milliseconds(2500)));
}

BOOST_AUTO_TEST_SUITE_END()
