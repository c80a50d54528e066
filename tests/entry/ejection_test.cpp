#include "testfleet.h"

#include "rattanrill/base/logger.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

/// What operators see of upstreams that an entry ejects for their server errors.
namespace rattanrill::entry {
namespace {

constexpr int numCallers = 4;

/// Log of the test process while this object exists. No other thread may run when it is made or
/// destroyed.
class LogFile
{
public:
    LogFile()
    {
        const int file = ::mkstemp(m_path.data());
        BOOST_REQUIRE(file >= 0);
        ::close(file);
        LogSettings settings;
        settings.file = m_path;
        settings.program = "entry_test";
        initLogging(settings);
    }

    ~LogFile()
    {
        initLogging(LogSettings());
        std::filesystem::remove(m_path);
    }

    LogFile(const LogFile &) = delete;
    LogFile &operator=(const LogFile &) = delete;

    /// First line of \a event; null without one.
    Json find(const std::string &event) const
    {
        std::ifstream stream(m_path);
        for (std::string line; std::getline(stream, line);) {
            Json json = Json::parse(line, nullptr, false);
            if (json.is_object() && json.value("event", "") == event)
                return json;
        }
        return nullptr;
    }

private:
    std::string m_path =
            (std::filesystem::temp_directory_path() / "rattanrill-log-XXXXXX").string();
};

struct Fixture
{
    /// Has several callers repeat \a call until an upstream is ejected; returns the log line.
    Json awaitEjection(const std::function<void()> &call) const
    {
        std::atomic<bool> ends = false;
        std::vector<std::thread> callers;
        callers.reserve(numCallers);
        for (int i = 0; i < numCallers; ++i) {
            callers.emplace_back([&] {
                while (!ends)
                    call();
            });
        }
        const bool isEjected = eventually([&] { return !log.find("upstream-ejected").is_null(); });
        ends = true;
        for (std::thread &caller : callers)
            caller.join();
        BOOST_TEST_REQUIRE(isEjected);
        return log.find("upstream-ejected");
    }

    LogFile log;
};

ScriptedEngine::Script failInPart()
{
    ScriptedEngine::Script script;
    script.failInPart = true;
    return script;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Ejections, Fixture)

// Guards against a log line from which an operator can't tell the service, and against an ejection
// that the metrics of the entry do not show.
BOOST_AUTO_TEST_CASE(ejectedInstanceIsLoggedWithItsServiceAndCounted)
{
    TestFleet fleet(1, 1, 2);
    fleet.control().write(wire::PutRoute{{"desk", "/desk", "desk", false, true}});
    fleet.awaitReady();
    fleet.service(0).setScript(failInPart());
    const Json line = awaitEjection([&] { fleet.post(0, "/desk/orders", "acme", "{}"); });
    BOOST_TEST(line.value("service", "") == "desk");
    BOOST_TEST(!line.contains("model"));
    BOOST_TEST(line.value("reason", "") == "server_error");
    BOOST_TEST(fleet.metric(0, "rattanrill_upstream_ejections_total{reason=\"server_error\"}")
               >= 1);
}

// The same for an engine and its model.
BOOST_AUTO_TEST_CASE(ejectedEngineIsLoggedWithItsModelAndCounted)
{
    TestFleet fleet(1, 2);
    fleet.awaitReady();
    fleet.engine(0).setScript(failInPart());
    std::atomic<int> number = 0;
    const Json line = awaitEjection(
            [&] { fleet.complete(0, "acme", "prompt " + std::to_string(++number), 4); });
    BOOST_TEST(line.value("model", "") == testModel);
    BOOST_TEST(!line.contains("service"));
    BOOST_TEST(line.value("reason", "") == "server_error");
    BOOST_TEST(fleet.metric(0, "rattanrill_upstream_ejections_total{reason=\"server_error\"}")
               >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
