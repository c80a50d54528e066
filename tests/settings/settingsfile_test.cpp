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

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsFileTest)

// Guards against messages from which an operator cannot find the error: the message names the file,
// the key path, the value and what is allowed.
BOOST_AUTO_TEST_CASE(outOfRangeValueNamesFilePathValueAndRange)
{
    const std::string text = failureOf(R"({"instance":"e1","listen":{"port":70000}})");
    for (const char *part : {"entry.json", "listen.port", "70000", "65535"})
        BOOST_TEST(contains(text, part), text);
}

// Guards against a misspelt key that is ignored without an error.
BOOST_AUTO_TEST_CASE(unknownKeyIsRefused)
{
    const std::string text = failureOf(R"({"instance":"e1","lisen":{}})");
    BOOST_TEST(contains(text, "lisen"), text);
    BOOST_TEST(contains(text, "listen"), text);
}

// Guards against a message that names only the array and not the element that has the wrong type.
BOOST_AUTO_TEST_CASE(wrongTypeInAnArrayNamesTheElement)
{
    const std::string text = failureOf(R"({"instance":"e1","peers":["a",5]})");
    BOOST_TEST(contains(text, "peers.1"), text);
    BOOST_TEST(contains(text, "5"), text);
}

// Guards against a message that does not name the required key that is missing.
BOOST_AUTO_TEST_CASE(missingKeyIsNamed)
{
    BOOST_TEST(contains(failureOf("{}"), "instance"));
}

// Guards against a check that rejects valid settings.
BOOST_AUTO_TEST_CASE(validSettingsPass)
{
    BOOST_TEST(failureOf(R"({"instance":"e1","listen":{"port":8080}})") == "");
}

BOOST_AUTO_TEST_SUITE_END()
