#include "rattanrill/serving/eventstream.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

using namespace rattanrill::serving;

namespace {

std::vector<StreamEvent> split(const std::vector<std::string> &pieces,
                               std::string *incompleteEvent = nullptr)
{
    EventSplitter splitter;
    std::vector<StreamEvent> events;
    for (const std::string &piece : pieces)
        splitter.feed(piece, events);
    if (incompleteEvent != nullptr)
        *incompleteEvent = splitter.incompleteEvent();
    return events;
}

StreamEvent event(std::int64_t id)
{
    StreamEvent result;
    result.id = id;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreamTest)

// Guards against an event that is truncated, or merged with the next one, where one read ends and
// the next one begins.
BOOST_AUTO_TEST_CASE(eventsDoNotDependOnHowTheirBytesAreSplit)
{
    const std::string text = "id: 1\ndata: one\n\nweights-version: 2\nid: 2\ndata: a\ndata: b\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        const auto events = split({text.substr(0, cut), text.substr(cut)});
        BOOST_TEST_REQUIRE(events.size() == 2u);
        BOOST_TEST(events[0].bytes + events[1].bytes == text);
        BOOST_TEST(*events[0].id == 1);
        BOOST_TEST(events[0].data == "one");
        BOOST_TEST(*events[1].id == 2);
        BOOST_TEST(events[1].data == "a\nb");
    }
}

BOOST_AUTO_TEST_CASE(linesMayEndWithCarriageReturnAndLineFeed)
{
    const auto events = split({"id: 4\r\ndata: x\r\n\r\n"});
    BOOST_TEST_REQUIRE(events.size() == 1u);
    BOOST_TEST(*events[0].id == 4);
    BOOST_TEST(events[0].data == "x");
}

BOOST_AUTO_TEST_CASE(incompleteEventIsNotDelivered)
{
    std::string incompleteEvent;
    BOOST_TEST(split({"id: 1\ndata: half"}, &incompleteEvent).empty());
    BOOST_TEST(incompleteEvent == "id: 1\ndata: half");
}

// Guards against streams in which an event is missing or repeated after a resume.
BOOST_AUTO_TEST_CASE(repeatedAndMissingEventsAreDetected)
{
    StreamPosition position{std::nullopt};
    BOOST_TEST((position.advance(event(1)) == SequenceCheck::InOrder));
    BOOST_TEST((position.advance(event(2)) == SequenceCheck::InOrder));
    BOOST_TEST((position.advance(event(2)) == SequenceCheck::Repeated));
    BOOST_TEST((position.advance(event(4)) == SequenceCheck::Gap));
    BOOST_TEST((position.advance(event(3)) == SequenceCheck::InOrder));
    BOOST_TEST(*position.lastId() == 3);
    StreamPosition resumed{12};
    BOOST_TEST((resumed.advance(event(14)) == SequenceCheck::Gap));
    BOOST_TEST((resumed.advance(event(13)) == SequenceCheck::InOrder));
}

// Guards against events that are taken for a continuation of a stream although nothing shows it,
// and against an end before the last delivered event that is taken for the end of the stream. Each
// row is one attempt after event 2: the ids of its events (0 for an event without an id, -1 for a
// comment), the result of each, and whether the attempt may end the stream.
BOOST_AUTO_TEST_CASE(attemptContinuesAStreamOnlyFromItsLastEvent)
{
    using Check = SequenceCheck;
    struct Row
    {
        std::vector<int> ids;
        std::vector<Check> checks;
        bool reachesLast;
    };
    const Row rows[] = {
            {{}, {}, false},
            {{3}, {Check::InOrder}, true},
            {{4}, {Check::Gap}, false},
            {{1}, {Check::Repeated}, false},
            {{1, 2}, {Check::Repeated, Check::Repeated}, true},
            {{1, 2, 3}, {Check::Repeated, Check::Repeated, Check::InOrder}, true},
            {{0}, {Check::Unnumbered}, false},
            {{-1}, {Check::Repeated}, false},
            {{-1, 3, -1}, {Check::Repeated, Check::InOrder, Check::InOrder}, true},
            {{3, 0}, {Check::InOrder, Check::InOrder}, true},
            {{2, 0}, {Check::Repeated, Check::InOrder}, true},
            {{1, 0, 2}, {Check::Repeated, Check::Repeated, Check::Repeated}, true},
    };
    for (const Row &row : rows) {
        StreamPosition position{2};
        position.beginAttempt();
        for (std::size_t i = 0; i < row.ids.size(); ++i) {
            StreamEvent next;
            next.hasData = row.ids[i] >= 0;
            if (row.ids[i] > 0)
                next.id = row.ids[i];
            BOOST_TEST((position.advance(next) == row.checks[i]));
        }
        BOOST_TEST(position.hasReachedLast() == row.reachesLast);
    }
}

// Guards against a resumed stream that repeats events without an id: no id shows where to resume.
BOOST_AUTO_TEST_CASE(streamIsNotResumableAfterAnEventWithoutAnId)
{
    StreamEvent unnumbered;
    unnumbered.hasData = true;
    StreamPosition position{std::nullopt};
    BOOST_TEST(position.isResumable());
    BOOST_TEST((position.advance(StreamEvent()) == SequenceCheck::InOrder));
    BOOST_TEST(position.isResumable());
    BOOST_TEST((position.advance(unnumbered) == SequenceCheck::InOrder));
    BOOST_TEST(!position.isResumable());
    BOOST_TEST((position.advance(event(1)) == SequenceCheck::InOrder));
    BOOST_TEST(position.isResumable());
}

BOOST_AUTO_TEST_SUITE_END()
