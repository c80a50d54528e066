#include "rattanrill/settings/settingsfile.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;

namespace {

constexpr std::string_view schema = R"({
  "type": "object", "additionalProperties": false, "required": ["instance"],
  "properties": {
    "instance": { "type": "string", "minLength": 1 },
    "listen": { "type": "object", "additionalProperties": false,
                "properties": { "port": { "type": "integer", "minimum": 0, "maximum": 65535 } } },
    "peers": { "type": "array", "items": { "type": "string" } }
  }
})";

std::string failureOf(std::string_view text)
{
    const auto outcome = outcomeOf([&] { return parseSettings(text, "entry.json", schema); });
    return outcome.ok() ? std::string() : describe(outcome.failure());
}

bool mentions(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFileTest)

// Guards against messages that leave an operator searching: file, key path, value, what is allowed.
BOOST_AUTO_TEST_CASE(outOfRangeValueNamesFilePathValueAndRange)
{
    const std::string text = failureOf(R"({"instance":"e1","listen":{"port":70000}})");
    for (const char *part : {"entry.json", "listen.port", "70000", "65535"})
        BOOST_TEST(mentions(text, part), text);
}

// Guards against a misspelt key that is silently ignored.
BOOST_AUTO_TEST_CASE(unknownKeyIsRefused)
{
    const std::string text = failureOf(R"({"instance":"e1","lisen":{}})");
    BOOST_TEST(mentions(text, "lisen"), text);
    BOOST_TEST(mentions(text, "listen"), text);
}

BOOST_AUTO_TEST_CASE(wrongTypeInAnArrayNamesTheElement)
{
    const std::string text = failureOf(R"({"instance":"e1","peers":["a",5]})");
    BOOST_TEST(mentions(text, "peers.1"), text);
    BOOST_TEST(mentions(text, "5"), text);
}

BOOST_AUTO_TEST_CASE(missingKeyIsNamed)
{
    BOOST_TEST(mentions(failureOf("{}"), "instance"));
}

BOOST_AUTO_TEST_CASE(validSettingsPass)
{
    BOOST_TEST(failureOf(R"({"instance":"e1","listen":{"port":8080}})") == "");
}

BOOST_AUTO_TEST_SUITE_END()
