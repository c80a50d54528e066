#include "jobcalls.h"
#include "platformprotocoladapter.h"

#include "rattanrill/base/json.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::platform;

namespace {

net::Request callerRequest()
{
    net::Request request;
    request.method = "POST";
    request.target = "/lamps/7?x=1";
    request.headers.add("Host", "booth.example");
    request.headers.add("Request-Id", "ab12");
    request.headers.add("Authorization", "Bearer secret-key");
    request.headers.add("Tenant-Id", "forged");
    request.headers.add("Deadline-Ms", "5000");
    request.headers.add("Token-Usage", "540,400");
    request.headers.add("Prompt-Prefix", "9c2e41:300,5d07b8:240");
    request.headers.add("Connection", "keep-alive, X-Hop");
    request.headers.add("X-Hop", "1");
    request.headers.add("X-Kept", "2");
    request.body = "the body";
    return request;
}

const PlatformProtocolAdapter adapter;

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformProtocolAdapterTest)

BOOST_AUTO_TEST_CASE(callerRequestIsParsed)
{
    const auto caller = outcomeOf([&] { return adapter.parseRequest(callerRequest()); });
    BOOST_REQUIRE(caller.ok());
    BOOST_TEST(caller.value().id == "ab12");
    BOOST_TEST(caller.value().apiKey == "secret-key");
    BOOST_TEST((caller.value().timeout == absl::Seconds(5)));
    BOOST_TEST(caller.value().promptTokens == 540);
    BOOST_TEST(caller.value().outputTokens == 400);
    BOOST_TEST(!caller.value().resumeAfter.has_value());
}

// Guards against a limit that is not recognized, and against a malformed one that stops all
// requests to the upstream.
BOOST_AUTO_TEST_CASE(requestLimitIsAPositiveDecimalNumber)
{
    const auto limit = [](const std::string &value) {
        net::ResponseHead head;
        head.status = 200;
        head.headers.add("Server-Limit", value);
        return adapter.parseResponse(head).requestLimit;
    };
    BOOST_TEST(limit("3.25").value() == 3.25);
    BOOST_TEST(limit("4").value() == 4);
    for (const char *value : {"", "0", "-1", "3.2x", "inf", "nan", "many"})
        BOOST_TEST(!limit(value).has_value(), value);
    BOOST_TEST(!adapter.parseResponse(net::ResponseHead()).requestLimit.has_value());
}

// Guards against a cold upstream that is not recognized, and against an implausible time for which
// an upstream would count as cold.
BOOST_AUTO_TEST_CASE(coldTimeIsAPlausibleNumberOfMilliseconds)
{
    const auto remaining = [](const std::string &value) {
        net::ResponseHead head;
        head.status = 200;
        head.headers.add("Cold-Start-Ms", value);
        return adapter.parseResponse(head).coldRemainingMs;
    };
    BOOST_TEST(remaining("0").value() == 0);
    BOOST_TEST(remaining("2500.6").value() == 2501);
    for (const char *value : {"", "-1", "3600001", "1e300", "1e999", "nan", "25x", "soon"})
        BOOST_TEST(!remaining(value).has_value(), value);
    BOOST_TEST(!adapter.parseResponse(net::ResponseHead()).coldRemainingMs.has_value());
}

// Guards against an announcement that is not read in some responses, and against upstreams that get
// no requests because of another value of the header.
BOOST_AUTO_TEST_CASE(leavingIsReadFromResponsesOfAnyStatus)
{
    for (const int status : {200, 404, 421, 429, 500, 503}) {
        net::ResponseHead head;
        head.status = status;
        BOOST_TEST(!adapter.parseResponse(head).isLeaving);
        head.headers.add("server-leaving", "1");
        BOOST_TEST(adapter.parseResponse(head).isLeaving);
    }
    for (const char *value : {"", "0", "yes"}) {
        net::ResponseHead head;
        head.headers.add("Server-Leaving", value);
        BOOST_TEST(!adapter.parseResponse(head).isLeaving, value);
    }
}

// Guards against a status that callers read as a promise and that is passed on as if it were none.
BOOST_AUTO_TEST_CASE(statusesThatPromiseNotRunAreKnown)
{
    for (const auto &[status, isPromise] :
         {std::pair(408, true), std::pair(421, true), std::pair(429, true), std::pair(503, true),
          std::pair(200, false), std::pair(404, false), std::pair(500, false),
          std::pair(502, false), std::pair(504, false)}) {
        net::ResponseHead head;
        head.status = status;
        BOOST_TEST(adapter.parseResponse(head).promisesNotRun == isPromise);
    }
}

// Guards against a block of the part that belongs to one request alone, and against parts that are
// not recognized in another spelling.
BOOST_AUTO_TEST_CASE(sharedPromptPartsAreAllButTheLast)
{
    const auto parts = [](const std::string &value) {
        net::Request request = callerRequest();
        request.headers.set("Prompt-Prefix", value);
        const auto caller = outcomeOf([&] { return adapter.parseRequest(request); });
        return caller.value().sharedPromptParts;
    };
    const std::vector<std::string> expected = {"9c2e41", "5d07b8"};
    BOOST_TEST((parts("9c2e41:300,5d07b8:240,77:1") == expected));
    BOOST_TEST((parts("9c2e41:300, 5d07b8:240, 77:1") == expected));
    BOOST_TEST((parts("9c2e41,5d07b8:240,77") == expected));
    BOOST_TEST(parts("9c2e41:300").empty());
    BOOST_TEST(parts("").empty());
}

// Guards against a rejection of a crashing prompt that callers take for a fault of their request,
// or for a promise that it has not run.
BOOST_AUTO_TEST_CASE(quarantinedRequestIsRefusedAsNotRunOrFails)
{
    const absl::Duration retryAfter = absl::Seconds(60);
    const auto refused =
            makeErrorResponse(notRun(ErrorCode::RequestQuarantined, "blocked"), retryAfter);
    BOOST_TEST(refused.head.status == 503);
    BOOST_TEST(refused.head.headers.value("Retry-After") == "60.000");
    const auto failed =
            makeErrorResponse(mayHaveRun(ErrorCode::RequestQuarantined, "blocked"), retryAfter);
    BOOST_TEST(failed.head.status == 502);
}

BOOST_AUTO_TEST_CASE(invalidDeadlineIsRefused)
{
    for (const char *value : {"soon", "-5", "", "5s"}) {
        net::Request request = callerRequest();
        request.headers.set("Deadline-Ms", value);
        BOOST_TEST(!outcomeOf([&] { return adapter.parseRequest(request); }).ok(), value);
    }
}

// Guards against headers of the caller that are forwarded unchanged: the API key, a forged
// workspace, or a deadline that is longer than the remaining time.
BOOST_AUTO_TEST_CASE(upstreamRequestReplacesAttemptHeadersAndDropsTheKey)
{
    serving::UpstreamAttempt attempt;
    attempt.expectedInstance = "i-7";
    attempt.workspace = "huka";
    attempt.remainingTime = absl::Milliseconds(1234);
    attempt.resumeAfter = 12;
    const net::Request forwarded = adapter.upstreamRequest(callerRequest(), attempt);
    BOOST_TEST(forwarded.method == "POST");
    BOOST_TEST(forwarded.target == "/lamps/7?x=1");
    BOOST_TEST(forwarded.body == "the body");
    BOOST_TEST(forwarded.headers.count("Authorization") == 0u);
    BOOST_TEST(forwarded.headers.count("Tenant-Id") == 1u);
    BOOST_TEST(forwarded.headers.value("Tenant-Id") == "huka");
    BOOST_TEST(forwarded.headers.value("Expect-Instance") == "i-7");
    BOOST_TEST(forwarded.headers.value("Deadline-Ms") == "1234");
    BOOST_TEST(forwarded.headers.value("Last-Event-Id") == "12");
    BOOST_TEST(forwarded.headers.value("Request-Id") == "ab12");
    BOOST_TEST(forwarded.headers.value("Token-Usage") == "540,400");
    BOOST_TEST(forwarded.headers.count("X-Hop") == 0u);
    BOOST_TEST(forwarded.headers.value("X-Kept") == "2");
    attempt.workspace.clear();
    BOOST_TEST(adapter.upstreamRequest(callerRequest(), attempt).headers.count("Tenant-Id") == 0u);
}

// Guards against a forwarded request that states more time than is left, or whose body is changed.
BOOST_AUTO_TEST_CASE(remainingTimeOfASerializedRequestIsReplaced)
{
    serving::UpstreamAttempt attempt;
    attempt.remainingTime = absl::Milliseconds(1234);
    net::Request request = adapter.upstreamRequest(callerRequest(), attempt);
    request.body = "\r\nDeadline-Ms: 1\r\n";
    std::string text = net::serialize(request).value();
    adapter.setRemainingTime(text, absl::Milliseconds(56));
    BOOST_TEST(text.find("\r\nDeadline-Ms: 56\r\n") < text.find("\r\n\r\n"));
    BOOST_TEST(text.find("1234") == std::string::npos);
    BOOST_TEST(text.substr(text.size() - request.body.size()) == request.body);
    request.headers.remove("Deadline-Ms");
    text = net::serialize(request).value();
    const std::string unchanged = text;
    adapter.setRemainingTime(text, absl::Milliseconds(56));
    BOOST_TEST(text == unchanged);
}

// Guards against a status that means "not run" for a request that may have run. The caller would
// then repeat the request.
BOOST_AUTO_TEST_CASE(errorStatusClaimsNotRunOnlyWhenCertain)
{
    const auto statusOf = [](const Failure &failure) {
        return makeErrorResponse(failure, absl::ZeroDuration()).head.status;
    };
    for (const ErrorCode code :
         {ErrorCode::Overloaded, ErrorCode::RateLimited, ErrorCode::UpstreamUnavailable,
          ErrorCode::Timeout, ErrorCode::NoQuorum, ErrorCode::ProposalLost, ErrorCode::Stopped}) {
        const int status = statusOf(mayHaveRun(code, ""));
        BOOST_TEST((status == 502 || status == 504 || status == 500), name(code));
    }
    BOOST_TEST(statusOf(notRun(ErrorCode::Overloaded, "")) == 503);
    BOOST_TEST(statusOf(notRun(ErrorCode::Timeout, "")) == 503);
    BOOST_TEST(statusOf(notRun(ErrorCode::RateLimited, "")) == 429);
    BOOST_TEST(statusOf(notRun(ErrorCode::InvalidKey, "")) == 401);
    BOOST_TEST(statusOf(notRun(ErrorCode::UnknownRoute, "")) == 404);
    BOOST_TEST(statusOf(notRun(ErrorCode::InvalidRequest, "")) == 400);
}

BOOST_AUTO_TEST_CASE(retryAfterIsInSeconds)
{
    const net::Response response =
            makeErrorResponse(notRun(ErrorCode::Overloaded, ""), absl::Milliseconds(350));
    BOOST_TEST(response.head.headers.value("Retry-After") == "0.350");
}

BOOST_AUTO_TEST_CASE(responseInfoIsParsed)
{
    net::ResponseHead head;
    head.status = 503;
    head.headers.add("Request-Id", "ab12");
    head.headers.add("Not-Executed", "1");
    head.headers.add("Server-Load", "7,2,8");
    const serving::ResponseInfo info = adapter.parseResponse(head);
    BOOST_TEST(info.notRun);
    BOOST_TEST(!info.isInstanceMismatch);
    BOOST_TEST(*info.outstandingRequests == 9);
    head.headers.remove("Not-Executed");
    head.headers.set("Server-Load", "7,x");
    BOOST_TEST(!adapter.parseResponse(head).notRun);
    BOOST_TEST(!adapter.parseResponse(head).outstandingRequests.has_value());
    head.status = 421;
    BOOST_TEST(adapter.parseResponse(head).isInstanceMismatch);
}

// Guards against a wrong figure that changes the choice of upstreams, and against a valid load that
// is lost because of it.
BOOST_AUTO_TEST_CASE(paceIsReadFromCompleteLoadsOnly)
{
    const auto infoOf = [](const std::string &value) {
        net::ResponseHead head;
        head.headers.add("Server-Load", value);
        return adapter.parseResponse(head);
    };
    BOOST_TEST(infoOf("7,2,8,150").pace.value() == 1.5);
    const std::string tooLarge = "1" + std::string(300, '0');
    for (const std::string fourth : {"", "x", "100x", "-100", "0", "1e300", "1.5", "10001",
                                     tooLarge.c_str(), "100,", "100,1"}) {
        const serving::ResponseInfo info = infoOf("7,2,8," + fourth);
        BOOST_TEST(!info.pace.has_value(), fourth);
        BOOST_TEST(info.outstandingRequests.value() == 9, fourth);
    }
    BOOST_TEST(!infoOf("7,2,8").pace.has_value());
    for (const char *value : {"7,2,x,150", "7,2,-8,150", "7,2,,150"})
        BOOST_TEST(!infoOf(value).pace.has_value(), value);
    for (const char *value : {"", "7", "7,2", "-7,2,8,150", "7,x,8,150", "7,1e300,8,150",
                              "7,9000000000000000000,8,150"}) {
        BOOST_TEST(!infoOf(value).pace.has_value(), value);
        BOOST_TEST(!infoOf(value).outstandingRequests.has_value(), value);
    }
}

BOOST_AUTO_TEST_CASE(itemRequestIsBuiltFromTheItem)
{
    wire::JobItem item{
            "it1", "/lamps/3", {{"Model-Name", "m"}, {"Authorization", "x"}}, "bytes", 9};
    serving::UpstreamAttempt attempt;
    attempt.expectedInstance = "i-7";
    attempt.workspace = "huka";
    const net::Request request = adapter.itemRequest(item, "booth.example", attempt);
    BOOST_TEST(request.method == "POST");
    BOOST_TEST(request.target == "/lamps/3");
    BOOST_TEST(request.headers.value("Request-Id") == "it1");
    BOOST_TEST(request.headers.value("Host") == "booth.example");
    BOOST_TEST(request.headers.value("Model-Name") == "m");
    BOOST_TEST(request.headers.count("Authorization") == 0u);
    BOOST_TEST(request.headers.count("Deadline-Ms") == 0u);
    BOOST_TEST(request.body == "bytes");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobCallsTest)

BOOST_AUTO_TEST_CASE(submissionIsParsed)
{
    net::Request request;
    request.method = "POST";
    request.target = "/batch/1";
    request.body = R"({"requests":[{"id":"e5","path":"/batch/3","headers":{"Model-Name":"m"},)"
                   R"("body":"AAEC/w==","tokens":940}]})";
    const auto call = outcomeOf([&] { return decodeJobCall(request, "job1"); });
    BOOST_REQUIRE(call.ok());
    const auto &job = std::get<serving::SubmitJobCall>(call.value()).job;
    BOOST_TEST(job.id == "job1");
    BOOST_TEST_REQUIRE(job.items.size() == 1u);
    BOOST_TEST(job.items[0].body == std::string("\x00\x01\x02\xff", 4));
    BOOST_TEST(job.items[0].tokens == 940);
}

BOOST_AUTO_TEST_CASE(invalidSubmissionsAreRefused)
{
    const std::string tooManyItems = [] {
        std::string list;
        for (int i = 0; i < 201; ++i)
            list += (i == 0 ? "" : ",") + std::string(R"({"id":"i)") + std::to_string(i)
                    + R"(","path":"/p"})";
        return R"({"requests":[)" + list + "]}";
    }();
    std::string tooManyValues = R"({"requests":[{"id":"a","path":"/p","x":[0)";
    for (int i = 0; i < 100'000; ++i)
        tooManyValues += ",0";
    tooManyValues += "]}]}";
    for (const std::string &body :
         {std::string("{"), std::string("[]"), std::string(R"({"requests":[]})"),
          std::string(R"({"requests":[{"id":"a"}]})"),
          std::string(R"({"requests":[{"id":"a","path":"/p","body":"%%%%"}]})"),
          std::string(R"({"requests":[{"id":"a","path":"/p"},{"id":"a","path":"/p"}]})"),
          tooManyItems, tooManyValues}) {
        net::Request request;
        request.method = "POST";
        request.target = "/batch/1";
        request.body = body;
        BOOST_TEST(!outcomeOf([&] { return decodeJobCall(request, "job1"); }).ok(),
                   body.substr(0, 60));
    }
}

// Guards against an item that reaches an upstream as another request than it says, or with a second
// one inside (UNASKED), and against an error that does not name the item and its field.
BOOST_AUTO_TEST_CASE(itemsThatAreNoRequestsAreRefusedByName)
{
    const struct
    {
        std::string field;
        std::string item;
    } cases[] = {
            {R"("id")", R"("id":"","path":"/p")"},
            {R"("id")", R"("id":"a ","path":"/p")"},
            {R"("id")", R"("id":"a\r\nX: 1","path":"/p")"},
            {R"("id")", R"("id":"a\rb","path":"/p")"},
            {R"("id")", R"("id":"a\nb","path":"/p")"},
            {R"("id")", R"("id":"a\u0000b","path":"/p")"},
            {R"("path")", R"("id":"a","path":"p")"},
            {R"("path")", R"("id":"a","path":"")"},
            {R"("path")", R"("id":"a","path":"/p HTTP/1.1\r\nX: 1")"},
            {R"("path")", R"("id":"a","path":"/p\rq")"},
            {R"("path")", R"("id":"a","path":"/p\nq")"},
            {R"("path")", R"("id":"a","path":"/p q")"},
            {R"("path")", R"("id":"a","path":"/p\u0000q")"},
            {R"("path")", R"("id":"a","path":"/p\u007fq")"},
            {R"("headers")", R"("id":"a","path":"/p","headers":["X"])"},
            {R"("")", R"("id":"a","path":"/p","headers":{"":"1"})"},
            {R"("X\r\nY")", R"("id":"a","path":"/p","headers":{"X\r\nY":"1"})"},
            {R"("X\nY")", R"("id":"a","path":"/p","headers":{"X\nY":"1"})"},
            {R"("X\rY")", R"("id":"a","path":"/p","headers":{"X\rY":"1"})"},
            {R"("X:")", R"("id":"a","path":"/p","headers":{"X:":"1"})"},
            {R"("X Y")", R"("id":"a","path":"/p","headers":{"X Y":"1"})"},
            {R"("X\x00")", R"("id":"a","path":"/p","headers":{"X\u0000":"1"})"},
            {R"("X")", R"("id":"a","path":"/p","headers":{"X":7})"},
            {R"("X")", R"("id":"a","path":"/p","headers":{"X":"1\r\n\r\nGET / HTTP/1.1"})"},
            {R"("X")", R"("id":"a","path":"/p","headers":{"X":"1\n2"})"},
            {R"("X")", R"("id":"a","path":"/p","headers":{"X":"1\r2"})"},
            {R"("X")", R"("id":"a","path":"/p","headers":{"X":"1\u00002"})"},
    };
    for (const auto &[field, item] : cases) {
        BOOST_TEST_INFO_SCOPE(item);
        net::Request request;
        request.method = "POST";
        request.target = "/batch/1";
        request.body = R"({"requests":[{"id":"sound","path":"/p"},{)" + item + "}]}";
        const auto call = outcomeOf([&] { return decodeJobCall(request, "job1"); });
        BOOST_TEST_REQUIRE(!call.ok());
        BOOST_TEST((call.failure().code == ErrorCode::InvalidRequest));
        BOOST_TEST((call.failure().effect == EffectState::NotRun));
        BOOST_TEST(call.failure().detail.find("item \"") == 0u);
        BOOST_TEST(call.failure().detail.find(field) != std::string::npos, call.failure().detail);
        BOOST_TEST(adapter.errorResponse(call.failure(), absl::ZeroDuration()).head.status == 400);
    }
}

// Guards against a response that is longer than the submission that it refuses.
BOOST_AUTO_TEST_CASE(refusalOfAnItemQuotesABoundedPart)
{
    const std::string longText(100'000, '\x01');
    const Json items[] = {{{"id", longText}, {"path", "/p"}},
                          {{"id", "a"}, {"path", "/p"}, {"headers", {{longText, "1"}}}}};
    for (const Json &item : items) {
        net::Request request;
        request.method = "POST";
        request.target = "/batch/1";
        request.body = Json{{"requests", {item}}}.dump();
        const auto call = outcomeOf([&] { return decodeJobCall(request, "job1"); });
        BOOST_TEST_REQUIRE(!call.ok());
        BOOST_TEST(call.failure().detail.find("item \"") == 0u);
        BOOST_TEST(call.failure().detail.size() < 500u);
    }
}

BOOST_AUTO_TEST_CASE(readAndCancelCallsAreParsed)
{
    net::Request readRequest;
    readRequest.method = "GET";
    readRequest.target = "/lots/job1?after=12";
    readRequest.headers.add("Wait-Ms", "1000");
    BOOST_TEST(isJobRequest(readRequest));
    const auto call = outcomeOf([&] { return decodeJobCall(readRequest, ""); });
    BOOST_TEST(std::get<serving::ReadJobCall>(call.value()).after == 12);
    BOOST_TEST((std::get<serving::ReadJobCall>(call.value()).wait == absl::Seconds(1)));
    net::Request item;
    item.method = "GET";
    item.target = "/items/job1?id=e5";
    const auto itemCall = outcomeOf([&] { return decodeJobCall(item, ""); });
    BOOST_TEST(std::get<serving::ReadItemCall>(itemCall.value()).item == "e5");
    net::Request cancelRequest;
    cancelRequest.method = "DELETE";
    cancelRequest.target = "/lots/job1";
    BOOST_TEST(isJobRequest(cancelRequest));
    const auto cancelCall = outcomeOf([&] { return decodeJobCall(cancelRequest, ""); });
    BOOST_TEST(std::get<serving::CancelJobCall>(cancelCall.value()).job == "job1");
}

BOOST_AUTO_TEST_CASE(resultsAreEncoded)
{
    wire::ReadJobResponse results;
    results.total = 3;
    results.next = 2;
    results.results = {{"a", wire::ItemOutcome::Completed, "x\ny"},
                       {"b", wire::ItemOutcome::DeadLettered, ""}};
    const auto json =
            outcomeOf([&] { return parseJson(encodeJobResults(results).body, "results"); });
    BOOST_REQUIRE(json.ok());
    BOOST_TEST(json.value()["total"] == 3);
    BOOST_TEST(json.value()["next"] == 2);
    BOOST_TEST(json.value()["results"][0]["output"] == "x\ny");
    BOOST_TEST(json.value()["results"][1]["state"] == "dead_lettered");
}

// Guards against a resumption whose stream is not found, because the caller's name of it is not
// read.
BOOST_AUTO_TEST_CASE(attemptThatBeganTheStreamIsRead)
{
    net::Request request;
    request.headers.add("Request-Id", "r2");
    request.headers.add("Last-Event-Id", "12");
    request.headers.add("Resumes", "r1");
    const auto caller = outcomeOf([&] { return adapter.parseRequest(request); }).value();
    BOOST_TEST(caller.resumeAfter.value() == 12);
    BOOST_TEST(caller.resumedAttempt == "r1");
}

BOOST_AUTO_TEST_SUITE_END()
