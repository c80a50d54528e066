#include "commandstamp.h"
#include "controlsettings.h"

#include "rattanrill/settings/settingsfile.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/directorymessages.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

Json validSettings()
{
    return Json::parse(R"({
        "instance": "c1", "failureDomain": "d1", "dataFolder": "data",
        "peer": {"host": "127.0.0.1", "port": 0},
        "operator": {"host": "127.0.0.1", "port": 0, "token": "0123456789abcdef"},
        "clusterSecret": "0123456789abcdef", "partitions": 2,
        "replicas": [{"id": "c1", "peerAddress": "127.0.0.1:1", "operatorAddress": "127.0.0.1:2",
                      "failureDomain": "d1"}]})");
}

std::string failureDetailOf(const Json &settings)
{
    const auto outcome = outcomeOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(parsed,
                        parseSettings(dumpJson(settings), "c1.json", controlSettingsSchema()));
        return checkControlSettings(parsed, "c1.json");
    });
    return outcome.ok() ? "" : outcome.failure().detail;
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlSettingsTest)

// Guards against starting with settings that contradict each other, which the schema cannot detect,
// and against error messages that do not name the setting.
BOOST_AUTO_TEST_CASE(contradictorySettingsAreRefusedAndNamed)
{
    BOOST_TEST(failureDetailOf(validSettings()) == "");
    Json settings = validSettings();
    settings["clusterSecretFile"] = "secret";
    BOOST_TEST(contains(failureDetailOf(settings), "clusterSecret"));
    settings = validSettings();
    settings["operator"].erase("token");
    BOOST_TEST(contains(failureDetailOf(settings), "operator.token"));
    settings = validSettings();
    settings["instance"] = "c2";
    BOOST_TEST(contains(failureDetailOf(settings), "c2"));
    settings = validSettings();
    settings["ownerLeaseMs"] = 4000;
    BOOST_TEST(contains(failureDetailOf(settings), "memberTimeoutMs"));
    settings = validSettings();
    settings["electionTimeoutMs"] = 100;
    BOOST_TEST(contains(failureDetailOf(settings), "electionTimeoutMs"));
}

// Guards against starting with an empty secret when the secret file cannot be read.
BOOST_AUTO_TEST_CASE(missingSecretFileFailsWithInvalidSetting)
{
    Json settings = validSettings();
    settings.erase("clusterSecret");
    settings["clusterSecretFile"] = "no-such-file";
    ControlSettings read;
    const auto outcome = outcomeOf([&] { return readControlSettings(settings, read); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST(name(outcome.failure().code) == name(ErrorCode::InvalidSetting));
    BOOST_TEST(contains(outcome.failure().detail, "no-such-file"));
}

// Guards against a caller that sets the time of its command and thereby expires the leases of other
// callers.
BOOST_AUTO_TEST_CASE(stampReplacesTheSendersTime)
{
    wire::BatchCommand command;
    command.nowMs = 99;
    command.operation = wire::CancelJob{"job", "workspace"};
    const auto stamped =
            outcomeOf([&] { return stampCommand("batch-0", wire::encode(command), 7); });
    const auto decoded =
            outcomeOf([&] { return wire::decode<wire::BatchCommand>(stamped.value()); });
    BOOST_TEST(decoded.value().nowMs == 7);
    BOOST_TEST(std::get<wire::CancelJob>(decoded.value().operation).jobId == "job");
    const auto wrong =
            outcomeOf([&] { return stampCommand("directory", wire::encode(command), 7); });
    BOOST_REQUIRE(!wrong.ok());
    BOOST_TEST(name(wrong.failure().code) == name(ErrorCode::MalformedMessage));
}

BOOST_AUTO_TEST_SUITE_END()
