#include "rattanrill/fakes/requestlog.h"
#include "rattanrill/fakes/servicemodel.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

ServiceSettings settings(std::int64_t capacity, std::int64_t maxWaiting)
{
    ServiceSettings settings;
    settings.serviceTime = absl::ZeroDuration();
    settings.capacity = capacity;
    settings.maxWaiting = maxWaiting;
    return settings;
}

/// Request id of the response to request \a id, or the name of the error code.
std::string responseRequestId(ServiceModel &model, const std::string &id,
                              const std::function<void()> &started)
{
    const auto response = outcomeOf([&] { return model.serve({"/", id, ""}, started); });
    return response.ok() ? response.value().requestId : std::string(name(response.failure().code));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceModelTest)

// Guards against a refused request that is started or not reported as NotRun.
BOOST_AUTO_TEST_CASE(requestBeyondTheQueueLimitIsRefusedAsNotRun)
{
    Faults faults;
    ServiceModel model(settings(1, 0), faults);
    bool started = false;
    const auto response = outcomeOf([&] {
        return model.serve({"/", "a", ""}, [&] { started = true; });
    });
    BOOST_TEST_REQUIRE(!response.ok());
    BOOST_TEST((response.failure().code == ErrorCode::UpstreamBusy));
    BOOST_TEST((response.failure().effect == EffectState::NotRun));
    BOOST_TEST(!started);
}

// Guards against a lost wake-up that leaves a request waiting for a slot forever.
BOOST_AUTO_TEST_CASE(everyWaitingRequestIsEventuallyServed)
{
    Faults faults;
    ServiceModel model(settings(2, 100), faults);
    std::atomic<int> served{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 20; ++i)
        callers.emplace_back([&, id = std::to_string(i)] {
            if (responseRequestId(model, id, [] {}) == id)
                ++served;
        });
    for (std::thread &caller : callers)
        caller.join();
    BOOST_TEST(served == 20);
}

// Guards against a record that is lost because it is still buffered when the process crashes: tests
// use the records as evidence of which requests were executed.
BOOST_AUTO_TEST_CASE(recordIsWrittenToTheFileAtEachStep)
{
    const std::string file = "requestlog_test.jsonl";
    std::remove(file.c_str());
    RequestLog records(RequestLogSettings{2, file});
    RequestRecord record;
    record.requestId = "r";
    const std::int64_t seq = records.add(record);
    records.markStarted(seq);
    std::ifstream stream(file);
    std::string line;
    std::getline(stream, line);
    std::getline(stream, line);
    BOOST_TEST(Json::parse(line).at("run") == true);
    BOOST_TEST(Json::parse(line).at("finished") == false);
    records.add(record);
    records.add(record);
    BOOST_TEST(records.recordsAfter(0).size() == 2u);
    // Marking a record that is no longer in memory has no effect.
    records.markFinished(seq, 1);
    BOOST_TEST(!records.recordsAfter(0).front().finished);
    std::remove(file.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
