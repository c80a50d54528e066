#include "proxyfixture.h"

#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

// Guards against a stream in which an event is missing, repeated or truncated after the connection
// to its upstream broke in the middle of an event.
BOOST_AUTO_TEST_CASE(resumableStreamContinuesAtAnotherUpstream)
{
    ScriptedUpstreams upstreams(
            {{streamHead("a") + chunk(event(1)) + chunk(event(2) + "id: 3\nda"), true},
             {streamHead("a") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    const std::string response = entry.sendRequest("a");
    std::string joined;
    for (int id = 1; id <= 4; ++id) {
        const std::size_t first = response.find(event(id));
        BOOST_TEST((first != std::string::npos));
        BOOST_TEST((response.find(event(id), first + 1) == std::string::npos));
    }
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(contains(upstreams.requests().at(1), "After: 2"));
}

// Guards against a truncated stream that looks complete to the caller.
BOOST_AUTO_TEST_CASE(nonResumableStreamIsAborted)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1)), true}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, false));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(1)));
    BOOST_TEST(!contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against an upstream that sends bytes without end which never complete an event. The
// request must neither keep its slot there until the deadline nor collect the bytes.
BOOST_AUTO_TEST_CASE(streamWithoutEventsIsReplaced)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n";
    ScriptedUpstreams upstreams(
            {{head, false, 0, std::string(10000, 'z')},
             {streamHead("a") + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(2)));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(!contains(response, "zzz"));
    BOOST_TEST((absl::Now() - start < absl::Seconds(2)));
}

// Guards against bytes that never complete an event and are collected until the deadline, when no
// further attempt is allowed.
BOOST_AUTO_TEST_CASE(eventWithoutEndFailsTheRequest)
{
    ScriptedUpstreams upstreams(
            {{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n", false, 0,
              std::string(10000, 'z')}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, true));
    const absl::Time start = absl::Now();
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST((absl::Now() - start < absl::Seconds(2)));
}

// Guards against an upstream that is given more time because it sends comments, which contain no
// event of the stream.
BOOST_AUTO_TEST_CASE(streamOfCommentsIsReplaced)
{
    std::vector<Step> steps = {
            {streamHead("a"), false, 0, chunk(": wait\n\n")},
            {streamHead("a") + chunk(event(1)) + "0\r\n\r\n"},
    };
    ScriptedUpstreams upstreams(std::move(steps));
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    BOOST_TEST(contains(entry.sendRequest("a"), event(1)));
}

// Guards against a legitimate long stream that a bound on bytes cuts off.
BOOST_AUTO_TEST_CASE(longStreamIsNotCutOff)
{
    constexpr int events = 4000;
    std::string stream = streamHead("a");
    for (int id = 1; id <= events; ++id)
        stream += chunk("id: " + std::to_string(id) + "\ndata: " + std::string(1000, 'y') + "\n\n");
    ScriptedUpstreams upstreams({{stream + "0\r\n\r\n"}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, true));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "id: 4000\n"));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
}

// Guards against a stream without a length that was broken off inside an event and looks complete
// to the caller.
BOOST_AUTO_TEST_CASE(streamWithoutLengthThatEndsInsideAnEventIsNotComplete)
{
    ScriptedUpstreams upstreams(
            {{streamHeadWithoutLength("a") + event(1) + "id: 2\ndata: d", true}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, false));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(1)));
    BOOST_TEST(!contains(response, "id: 2"));
    BOOST_TEST(!contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a stream without a length that is not resumed although it was broken off inside
// an event, and against one that is resumed although it is complete.
BOOST_AUTO_TEST_CASE(streamWithoutLengthIsResumedOnlyWhenBrokenOff)
{
    ScriptedUpstreams upstreams({{streamHeadWithoutLength("a") + event(1) + "id: 2\ndata: d", true},
                                 {streamHeadWithoutLength("a") + event(2) + event(3), true}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 3, true));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(3)));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a crash before the first event that looks like a complete, empty stream.
BOOST_AUTO_TEST_CASE(streamWithoutLengthAndEventsIsNotComplete)
{
    ScriptedUpstreams upstreams({{streamHeadWithoutLength("a"), true},
                                 {streamHead("a") + chunk(event(1)) + "0\r\n\r\n"}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    BOOST_TEST(contains(entry.sendRequest("a", "Part: p\r\n"), event(1)));
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.front().crashes.size() == 1u);
}

// Guards against an answer that is joined from two software versions, and against a stream that
// does not go on although its version serves.
BOOST_AUTO_TEST_CASE(streamGoesOnAtItsVersionOnly)
{
    ScriptedUpstreams upstreams({brokenOffStream(), restOfStream(), brokenOffStream()}, 3);
    Entry entry(upstreams, unhurriedStream(3));
    entry.setVersions({"v1", "v2", "v1"});
    const std::string joined = entry.sendRequest("a");
    BOOST_TEST(contains(joined, event(4)), joined);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    BOOST_TEST(upstreams.requestsAt(2) == 1);
    entry.setVersions({"v1", "v2", "v3"});
    const std::string cut = entry.sendRequest("a");
    BOOST_TEST(!streamBody(cut).isComplete);
    BOOST_TEST(upstreams.requests().size() == 3u);
}

// Guards against a stream that is joined from two versions because the slot for its next attempt
// was requested before its first event: the upstream responds late and then breaks off.
BOOST_AUTO_TEST_CASE(slotRequestedBeforeTheFirstEventIsNotUsedAtAnotherVersion)
{
    Step late = brokenOffStream();
    late.delay = 250;
    ScriptedUpstreams upstreams({late, restOfStream()});
    UnknowingBroker broker(upstreams);
    // The slot is requested after 180 ms without an event, and granted after the stream broke off.
    broker.furtherGrantDelay = absl::Milliseconds(400);
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 3, true), broker.address());
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(2)));
    BOOST_TEST(!streamBody(response).isComplete);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    const auto requests = broker.requests();
    BOOST_TEST_REQUIRE(requests.size() == 3u);
    BOOST_TEST(!requests[1].resumed);
    BOOST_TEST(requests[2].resumed);
    BOOST_TEST(requests[2].version == "v1");
    const auto releases = broker.awaitReleases(2);
    BOOST_TEST(releases.back().upstream == "u2");
    BOOST_TEST(releases.back().stream == "a");
    BOOST_TEST(releases.back().version == "v1");
}

// Guards against a caller's resumption that goes on at another version than the one that began the
// stream, or at any version when that is not known.
BOOST_AUTO_TEST_CASE(resumedStreamGoesOnAtItsVersionOnly)
{
    ScriptedUpstreams upstreams(
            {brokenOffStream(), {streamHead("b") + chunk(event(3)) + lastChunk}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, true));
    entry.setVersions({"v1", "v2"});
    BOOST_TEST(!streamBody(entry.sendRequest("a")).isComplete);
    const int first = upstreams.requestsAt(0) == 1 ? 0 : 1;
    BOOST_TEST(contains(entry.sendRequest("c", "After: 2\r\nResumes: other\r\n"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
    BOOST_TEST(contains(entry.sendRequest("b", "After: 2\r\nResumes: a\r\n"), event(3)));
    BOOST_TEST(upstreams.requestsAt(first) == 2);
}

// Guards against bytes of another response in the middle of a stream, and against a stream that
// ends as if it were complete, because the response to the attempt that resumes it does not
// continue it.
BOOST_AUTO_TEST_CASE(wrongResponseToAResumedAttemptEndsInAnAbort)
{
    std::vector<ResumedResponse> rows = wrongResumedResponses();
    rows.push_back(unprocessableResponse());
    for (const ResumedResponse &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams({brokenOffStream(), {row.bytes, row.closes}});
        Entry entry(upstreams, unhurriedStream(2));
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2));
        BOOST_TEST(!body.isComplete);
        BOOST_TEST(upstreams.requests().size() == 2u);
    }
}

// Guards against a stream that is aborted after a response that does not continue it, although a
// further attempt is allowed.
BOOST_AUTO_TEST_CASE(streamIsResumedAfterAWrongResponse)
{
    std::vector<ResumedResponse> rows = wrongResumedResponses();
    rows.push_back(unprocessableResponse());
    for (const ResumedResponse &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams({brokenOffStream(), {row.bytes, row.closes}, restOfStream()},
                                    3);
        Entry entry(upstreams, unhurriedStream(3));
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2) + event(3) + event(4));
        BOOST_TEST(body.isComplete);
    }
}

// Guards against an error response in the middle of a stream whose upstream stalled instead of
// closing its connection.
BOOST_AUTO_TEST_CASE(errorAfterAStalledStreamEndsInAnAbort)
{
    Step stalled = brokenOffStream();
    stalled.closes = false;
    ScriptedUpstreams upstreams({stalled, {completeResponse("a", "oops", 500)}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(body.text == event(1) + event(2));
    BOOST_TEST(!body.isComplete);
}

// Guards against a sound continuation that is not accepted: from the next event on, from the first
// event on, or only up to the last event that was delivered.
BOOST_AUTO_TEST_CASE(continuationIsAcceptedFromAnyEarlierEvent)
{
    const std::string rest = event(3) + event(4);
    const std::pair<std::string, std::string> rows[] = {
            {rest, rest},
            {": comment\n\n" + rest, rest},
            {event(1) + event(2) + rest, rest},
            {event(1) + event(2), ""},
            {event(3) + "data: end\n\n", event(3) + "data: end\n\n"},
    };
    for (const auto &[sent, expected] : rows) {
        BOOST_TEST_INFO_SCOPE(sent);
        ScriptedUpstreams upstreams(
                {brokenOffStream(), {streamHead("a") + chunk(sent) + lastChunk}});
        Entry entry(upstreams, unhurriedStream(2));
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2) + expected);
        BOOST_TEST(body.isComplete);
    }
}

// Guards against text that is delivered twice: a stream whose last events have no id can't be
// resumed after them.
BOOST_AUTO_TEST_CASE(streamIsNotResumedAfterAnEventWithoutAnId)
{
    const std::string unnumbered = "data: x\n\n";
    for (const std::string &delivered : {unnumbered, event(1) + unnumbered}) {
        for (const bool closes : {true, false}) {
            ScriptedUpstreams upstreams({{streamHead("a") + chunk(delivered), closes},
                                         {streamHead("a") + chunk(unnumbered) + lastChunk}});
            Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
            const StreamBody body = streamBody(entry.sendRequest("a"));
            BOOST_TEST(body.text == delivered);
            BOOST_TEST(!body.isComplete);
            BOOST_TEST(upstreams.requests().size() == 1u);
        }
    }
}

// Guards against a caller that resumes its stream and gets an error as a part of it, an apparent
// end after a crash, or no end although the stream had ended.
BOOST_AUTO_TEST_CASE(streamResumedByItsCallerIsCheckedLikeOneResumedHere)
{
    struct Row
    {
        std::string response;
        bool closes;
        bool isDelivered;
    };
    const Row rows[] = {
            {streamHead("a") + lastChunk, false, true},
            {streamHead("a") + chunk(event(3)) + lastChunk, false, true},
            {streamHead("a") + chunk(event(1) + event(2)) + lastChunk, false, true},
            {streamHead("a") + chunk(event(1)) + lastChunk, false, false},
            {streamHead("a") + chunk("data: oops\n\n") + lastChunk, false, false},
            {streamHead("a") + chunk(event(5)) + lastChunk, false, false},
            {streamHeadWithoutLength("a"), true, false},
    };
    for (const Row &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.response);
        ScriptedUpstreams upstreams({{row.response, row.closes}});
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, true));
        const std::string response = entry.sendRequest("a", "After: 2\r\n");
        BOOST_TEST(contains(response, row.isDelivered ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        BOOST_TEST(streamBody(response).isComplete == row.isDelivered);
        BOOST_TEST(!contains(response, "oops"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
