#include "streamreader.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::engine {
namespace {

std::string makeEvent(const std::string &id, int index, const std::string &text,
                      const std::string &finish = "")
{
    const Json choice = {{"index", 0},
                         {"text", text},
                         {"finish_reason", finish.empty() ? Json() : Json(finish)}};
    return "data: "
           + Json{{"request_id", id}, {"index", index}, {"choices", Json::array({choice})}}.dump()
           + "\n\n";
}

const std::string doneEvent = "data: [DONE]\n\n";

/// Reads the stream of request "r" and collects its text.
struct CollectingReader
{
    explicit CollectingReader(std::uint64_t deliveredTokens = 0)
        : reader("r", deliveredTokens, [this](const Token &token) { text += token.text; })
    {}

    std::string text;
    StreamReader reader;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StreamReaderTest)

// R8: guards against tokens that are lost or repeated when an event arrives in several chunks.
BOOST_AUTO_TEST_CASE(streamIsReadInChunksOfAnySize)
{
    const std::string stream = makeEvent("r", 0, "a") + makeEvent("r", 1, "b")
                               + makeEvent("r", 2, "", "stop") + doneEvent;
    for (std::size_t size = 1; size < stream.size(); ++size) {
        CollectingReader collector;
        for (std::size_t i = 0; i < stream.size(); i += size)
            BOOST_REQUIRE(collector.reader.feed(std::string_view(stream).substr(i, size)));
        const auto end = collector.reader.finish();
        BOOST_REQUIRE(end.ok());
        BOOST_TEST(collector.text == "ab");
        BOOST_TEST(end.value().tokens == 2u);
    }
}

// R8: guards against tokens in the completion that repeat earlier ones or belong to another
// request.
BOOST_AUTO_TEST_CASE(foreignAndRepeatedEventsAreDroppedAndCounted)
{
    CollectingReader collector(5);
    BOOST_TEST(collector.reader.feed(makeEvent("x", 5, "no") + makeEvent("r", 4, "late")
                                     + makeEvent("r", 5, "a") + makeEvent("r", 5, "again")
                                     + makeEvent("r", 6, "b", "length") + doneEvent));
    BOOST_TEST(collector.reader.finish().ok());
    BOOST_TEST(collector.text == "ab");
    BOOST_TEST(collector.reader.dropped() == 3u);
}

// R8: guards against a completion in which a token is missing, in the middle or at the end.
BOOST_AUTO_TEST_CASE(gapBreaksTheStream)
{
    CollectingReader collector;
    BOOST_TEST(collector.reader.feed(makeEvent("r", 0, "a")));
    BOOST_TEST(!collector.reader.feed(makeEvent("r", 2, "c")));
    BOOST_TEST(!collector.reader.finish().ok());
    CollectingReader gapAtEnd;
    BOOST_TEST(!gapAtEnd.reader.feed(makeEvent("r", 0, "a") + makeEvent("r", 3, "", "stop")));
}

// R8: guards against an incomplete completion that is reported as complete.
BOOST_AUTO_TEST_CASE(endWithoutDoneOrFinishReasonIsBroken)
{
    CollectingReader withoutDone;
    BOOST_TEST(withoutDone.reader.feed(makeEvent("r", 0, "a", "stop")));
    BOOST_TEST((withoutDone.reader.finish().failure().code == ErrorCode::StreamBroken));
    CollectingReader withoutReason;
    BOOST_TEST(withoutReason.reader.feed(makeEvent("r", 0, "a") + doneEvent));
    BOOST_TEST((withoutReason.reader.finish().failure().effect == EffectState::MayHaveRun));
}

// Guards against a reader that fails only after it has read the whole stream of another request.
BOOST_AUTO_TEST_CASE(streamOfAnotherRequestIsBroken)
{
    CollectingReader collector;
    int fed = 0;
    while (fed < 100 && collector.reader.feed(makeEvent("x", fed, "no")))
        ++fed;
    BOOST_TEST(fed < 100);
    BOOST_TEST(collector.text.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::engine
