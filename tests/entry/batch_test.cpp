#include "testfleet.h"

#include "rattanrill/base/concat.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <sstream>
#include <thread>

namespace rattanrill::entry {
namespace {

std::string itemLine(int number, const std::string &prompt)
{
    const Json body = {{"model", testModel}, {"prompt", prompt}, {"max_tokens", 3}};
    return Json{{"custom_id", concat("item-", number)},
                {"method", "POST"},
                {"url", "/v1/completions"},
                {"body", body}}
                   .dump()
           + "\n";
}

std::string itemLines(int count)
{
    std::string lines;
    for (int i = 0; i < count; ++i)
        lines += itemLine(i, concat("prompt ", i));
    return lines;
}

std::string upload(TestFleet &fleet, int entry, const std::string &lines)
{
    const auto response =
            fleet.post(entry, "/v1/files?purpose=batch", "acme", lines, {}, "application/jsonl");
    BOOST_REQUIRE_MESSAGE(response->status == 200, response->body);
    return Json::parse(response->body).at("id");
}

Json createBatch(TestFleet &fleet, int entry, const std::string &file, const std::string &key)
{
    httplib::Headers headers;
    if (!key.empty())
        headers.emplace("Idempotency-Key", key);
    const Json body = {
            {"input_file_id", file}, {"endpoint", "/v1/completions"}, {"completion_window", "24h"}};
    const auto response = fleet.post(entry, "/v1/batches", "acme", body.dump(), headers);
    BOOST_REQUIRE_MESSAGE(response->status == 200, response->body);
    return Json::parse(response->body);
}

Json awaitEnd(TestFleet &fleet, int entry, const std::string &batch)
{
    Json job;
    BOOST_REQUIRE(eventually([&] {
        job = Json::parse(fleet.get(entry, "/v1/batches/" + batch, "acme")->body);
        return job.value("status", "") == "completed" || job.value("status", "") == "cancelled";
    }));
    return job;
}

std::vector<Json> resultLines(TestFleet &fleet, int entry, const std::string &file)
{
    const auto response = fleet.get(entry, "/v1/files/" + file + "/content", "acme");
    BOOST_REQUIRE(response);
    std::vector<Json> lines;
    std::istringstream stream(response->body);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(Json::parse(line));
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Batch)

// R1: guards against item results that are lost, repeated or out of order when several entries and
// engines work on one job.
BOOST_AUTO_TEST_CASE(batchCompletesWithResultsInOrderOfInput)
{
    TestFleet fleet(2, 2);
    // An item that no engine can complete must not delay or fail the others.
    const std::string bad =
            R"({"custom_id":"bad","url":"/v1/completions","body":{"model":"m","max_tokens":0}})";
    const std::string file = upload(fleet, 0, itemLines(60) + bad + "\n");
    const Json job = createBatch(fleet, 1, file, "");
    const Json ended = awaitEnd(fleet, 0, job.at("id"));
    BOOST_TEST(ended.at("request_counts").at("completed") == 60);
    BOOST_TEST(ended.at("request_counts").at("failed") == 1);
    const std::vector<Json> lines = resultLines(fleet, 1, ended.at("output_file_id"));
    BOOST_REQUIRE(lines.size() == 61u);
    for (int i = 0; i < 60; ++i) {
        BOOST_TEST(lines[i].at("custom_id") == concat("item-", i));
        BOOST_TEST(lines[i].at("response").at("body").at("choices").at(0).at("text")
                   == expectedText(concat("prompt ", i), 3));
    }
    BOOST_TEST(lines[60].at("error").at("code") == "invalid_request");
    // R4: another workspace can access neither the job nor its results.
    fleet.addWorkspace("other", 100, 100);
    fleet.awaitReady();
    BOOST_TEST(fleet.get(0, "/v1/batches/" + job.at("id").get<std::string>(), "other")->status
               == 404);
    BOOST_TEST(fleet.get(0,
                         "/v1/files/" + ended.at("output_file_id").get<std::string>() + "/content",
                         "other")
                       ->status
               == 404);
}

// Guards against an invalid line late in an upload that is overlooked or reported with the wrong
// line number, and against a refused upload that leaves a file behind.
BOOST_AUTO_TEST_CASE(invalidLineRefusesTheFileAndIsNamedInTheError)
{
    TestFleet fleet(1, 1);
    const std::pair<std::string, std::string> rows[] = {
            {"{\"custom_id\": \"x\", \"method\": \n", "not valid JSON"},
            {"{\"custom_id\":\"\xC3\x28\"}\n", "UTF-8"},
            {"{\"url\":\"/v1/completions\",\"body\":{\"model\":\"m\"}}\n", "custom_id"},
            {itemLine(7, "again"), "used twice"},
            {"{\"custom_id\":\"x\",\"url\":\"/v1/completions\",\"body\":{\"model\":\"n\"}}\n",
             "model \"n\""},
            {"{\"custom_id\":\"x\",\"url\":\"/v1/embeddings\",\"body\":{\"model\":\"m\"}}\n",
             "url"},
    };
    for (const auto &[line, expected] : rows) {
        const auto response =
                fleet.post(0, "/v1/files", "acme", itemLines(1500) + line, {}, "application/jsonl");
        BOOST_TEST(response->status == 400);
        const std::string message = errorOf(response).at("message");
        BOOST_TEST(message.find("line 1501") != std::string::npos, message);
        BOOST_TEST(message.find(expected) != std::string::npos, message);
        BOOST_TEST(errorOf(response).at("run") == "not_run");
    }
}

// Guards against misparsing multipart/form-data, the form in which client libraries upload files.
BOOST_AUTO_TEST_CASE(multipartFormUploadIsAccepted)
{
    TestFleet fleet(1, 1);
    httplib::Client client("127.0.0.1", fleet.port(0));
    client.set_bearer_token_auth("key-acme");
    const httplib::MultipartFormDataItems form = {
            {"purpose", "batch", "", ""},
            {"file", itemLines(30), "items.jsonl", "application/octet-stream"}};
    const auto response = client.Post("/v1/files", form);
    BOOST_REQUIRE(response);
    BOOST_REQUIRE(response->status == 200);
    const Json file = Json::parse(response->body);
    BOOST_TEST(file.at("filename") == "items.jsonl");
    BOOST_TEST(file.at("purpose") == "batch");
    const Json job = createBatch(fleet, 0, file.at("id"), "");
    BOOST_TEST(awaitEnd(fleet, 0, job.at("id")).at("request_counts").at("total") == 30);
}

// F2: guards against a resend of the same creation through another entry that creates a second job.
BOOST_AUTO_TEST_CASE(resentCreationReturnsTheSameJob)
{
    TestFleet fleet(2, 1);
    const std::string file = upload(fleet, 0, itemLines(3));
    const Json first = createBatch(fleet, 0, file, "key 1");
    BOOST_TEST(createBatch(fleet, 1, file, "key 1").at("id") == first.at("id"));
    BOOST_TEST(createBatch(fleet, 1, file, "key 2").at("id") != first.at("id"));
    const Json other = {{"input_file_id", upload(fleet, 0, itemLines(2))},
                        {"endpoint", "/v1/completions"}};
    const auto refused =
            fleet.post(1, "/v1/batches", "acme", other.dump(), {{"Idempotency-Key", "key 1"}});
    BOOST_TEST(errorOf(refused).value("code", "") == "conflict");
}

// R2: guards against items that continue to run after the cancellation of their job was
// acknowledged.
BOOST_AUTO_TEST_CASE(cancelledJobStops)
{
    TestFleet fleet(0, 1);
    fleet.settings().batch.leaseDuration = absl::Milliseconds(600);
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 1;
    fleet.engine(0).setScript(script);
    const std::size_t runs = fleet.engine(0).runs();
    const std::string file = upload(fleet, 0, itemLines(200));
    const Json job = createBatch(fleet, 0, file, "");
    BOOST_TEST(fleet.engine(0).awaitRuns(runs + 1));
    const std::string id = job.at("id");
    BOOST_TEST(fleet.post(0, "/v1/batches/" + id + "/cancel", "acme", "")->status == 200);
    BOOST_TEST(fleet.engine(0).awaitCancel());
    const Json ended = awaitEnd(fleet, 0, id);
    BOOST_TEST(ended.at("status") == "cancelled");
    BOOST_TEST(ended.at("request_counts").at("cancelled") == 200);
}

// R3: guards against online requests that wait behind batch items on an engine whose batch is full.
BOOST_AUTO_TEST_CASE(onlineRequestPreemptsBatchItemsWhichThenResume)
{
    TestFleet fleet(1, 1);
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    fleet.engine(0).setScript(script);
    const std::size_t runs = fleet.engine(0).runs();
    const std::string file = upload(fleet, 0, itemLines(8));
    const Json job = createBatch(fleet, 0, file, "");
    BOOST_TEST(fleet.engine(0).awaitRuns(runs + 1));
    std::vector<std::unique_ptr<StreamedCall>> calls;
    for (int i = 0; i < script.maxBatch; ++i) {
        calls.push_back(std::make_unique<StreamedCall>(fleet.port(0), "key-acme", "urgent", 5));
        BOOST_TEST(calls.back()->awaitText(expectedText("urgent", 2)));
    }
    BOOST_TEST(fleet.engine(0).awaitCancel());
    fleet.engine(0).resume();
    for (const auto &call : calls) {
        call->join();
        BOOST_TEST(call->text == expectedText("urgent", 5));
    }
    const Json ended = awaitEnd(fleet, 0, job.at("id"));
    BOOST_TEST(ended.at("request_counts").at("completed") == 8);
    const std::vector<Json> lines = resultLines(fleet, 0, ended.at("output_file_id"));
    BOOST_REQUIRE(lines.size() == 8u);
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(lines[i].at("response").at("body").at("choices").at(0).at("text")
                   == expectedText(concat("prompt ", i), 3));
}

// Guards against a sound item that is reported as quarantined, or is never run again, because two
// engines crashed while they ran it.
BOOST_AUTO_TEST_CASE(itemCompletesAfterTwoOfItsEnginesCrashed)
{
    constexpr int engineCount = 3;
    TestFleet fleet(1, engineCount);
    ScriptedEngine::Script script;
    script.pauseAt = 1;
    std::vector<std::size_t> runsBefore;
    for (int i = 0; i < engineCount; ++i) {
        fleet.engine(i).setScript(script);
        runsBefore.push_back(fleet.engine(i).runs());
    }
    const std::string file = upload(fleet, 0, itemLines(1));
    const Json job = createBatch(fleet, 0, file, "");
    std::set<int> crashed;
    while (crashed.size() < 2) {
        int runningEngine = -1;
        BOOST_REQUIRE(eventually([&] {
            for (int i = 0; i < engineCount; ++i) {
                const bool hasRun =
                        fleet.engine(i).runs() > runsBefore[static_cast<std::size_t>(i)];
                if (crashed.count(i) == 0 && hasRun)
                    runningEngine = i;
            }
            return runningEngine >= 0;
        }));
        fleet.engine(runningEngine).stop();
        crashed.insert(runningEngine);
    }
    for (int i = 0; i < engineCount; ++i) {
        if (crashed.count(i) == 0)
            fleet.engine(i).resume();
    }
    const Json ended = awaitEnd(fleet, 0, job.at("id"));
    BOOST_TEST(ended.at("request_counts").at("completed") == 1);
}

// R1, R12: guards against items that stay leased to a drained entry until their leases expire.
BOOST_AUTO_TEST_CASE(drainReleasesItemsToOtherEntries)
{
    TestFleet fleet(0, 1);
    // Longer than the test, so that items reach the other entry only when they are released.
    fleet.settings().batch.leaseDuration = absl::Minutes(5);
    fleet.startEntry();
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    fleet.engine(0).setScript(script);
    const std::size_t runs = fleet.engine(0).runs();
    const std::string file = upload(fleet, 0, itemLines(30));
    const Json job = createBatch(fleet, 0, file, "");
    BOOST_TEST(fleet.engine(0).awaitRuns(runs + 1));
    BOOST_TEST(fleet.entry(0).drain());
    fleet.engine(0).resume();
    const Json ended = awaitEnd(fleet, 1, job.at("id"));
    BOOST_TEST(ended.at("request_counts").at("completed") == 30);
    BOOST_TEST(resultLines(fleet, 1, ended.at("output_file_id")).size() == 30u);
}

// R12: guards against an entry that accepts requests long after its drain notice has ended, because
// it waits for control instances that do not respond to the release of its batch items.
BOOST_AUTO_TEST_CASE(unresponsiveControlDoesNotDelayTheEndOfTheDrainNotice)
{
    TestFleet fleet(0, 1);
    const absl::Duration controlTimeout = absl::Seconds(5);
    fleet.settings().timings.controlTimeout = controlTimeout;
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 1;
    fleet.engine(0).setScript(script);
    const std::size_t runs = fleet.engine(0).runs();
    createBatch(fleet, 0, upload(fleet, 0, itemLines(1)), "");
    BOOST_REQUIRE(fleet.engine(0).awaitRuns(runs + 1));
    fleet.control().setUnresponsive("batch-0", true);
    fleet.control().setUnresponsive("batch-1", true);
    const absl::Time start = absl::Now();
    std::thread drain([&] { fleet.entry(0).drain(); });
    BOOST_TEST(eventually([&] {
        httplib::Client client("127.0.0.1", fleet.port(0));
        return !client.Get("/healthz");
    }));
    BOOST_TEST(absl::ToDoubleSeconds(absl::Now() - start) < absl::ToDoubleSeconds(controlTimeout));
    fleet.control().setUnresponsive("batch-0", false);
    fleet.control().setUnresponsive("batch-1", false);
    drain.join();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
