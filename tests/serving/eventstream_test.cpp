#include "rattanrill/serving/eventstream.h"

#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
