#include "rattanrill/base/json.h"
#include "rattanrill/base/jsonarraytext.h"

#include <boost/test/unit_test.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

using namespace rattanrill;

namespace {

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

bool isInvalid(const std::string &text)
{
    const auto json = outcomeOf([&] { return parseJson(text, "text"); });
    return !json.ok() && json.failure().code == ErrorCode::InvalidRequest;
}

std::vector<std::string> elementsOf(const std::string &text)
{
    const auto split = outcomeOf([&] { return splitJsonArray(text, "a", "text"); });
    if (!split.ok())
        return {"failed"};
    return {split.value().elements.begin(), split.value().elements.end()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonTest)

// Guards against a document of a caller or an operator that ends the process, or is answered as an
// internal error, because of a number beyond all types or of nesting.
BOOST_AUTO_TEST_CASE(numberTooLargeAndDeepNestingAreInvalid)
{
    BOOST_TEST(isInvalid("{\"x\":1e999}"));
    BOOST_TEST(isInvalid("[-1e999]"));
    BOOST_TEST(isInvalid(nested(2000000)));
    BOOST_TEST(isInvalid("{\"x\":" + nested(1000) + "}"));
    BOOST_TEST(!isInvalid(nested(100)));
    BOOST_TEST(!isInvalid("[\"" + std::string(1000, '[') + "\\\"[[\"]"));
    BOOST_TEST(!isInvalid("[99999999999999999999]"));
}

// Guards against a text whose values need many times the memory of its characters.
BOOST_AUTO_TEST_CASE(valuesBeyondTheLimitAreInvalid)
{
    const auto isAllowed = [](std::string_view text, std::size_t maxValues) {
        return outcomeOf([&] { return parseJson(text, "text", maxValues); }).ok();
    };
    const std::string_view seven = "[1,{\"a\":[]},\",:[{\"]";
    BOOST_TEST(isAllowed(seven, 7));
    BOOST_TEST(!isAllowed(seven, 6));
    for (const std::string_view text :
         {"[[],[],[]]", "[0,0,0,0]", "{\"a\":0,\"b\":0}", "[{},{},{}]"})
        BOOST_TEST(!isAllowed(text, 4), text);
    BOOST_TEST(isAllowed("\"[[[[[,,,,,\\\"[[[[[\"", 1));
}

// Guards against a list that is not read because of one odd element.
BOOST_AUTO_TEST_CASE(arrayIsSplitIntoTheTextsOfItsElements)
{
    using Texts = std::vector<std::string>;
    BOOST_TEST((elementsOf("{\"a\":[]}") == Texts{}));
    BOOST_TEST((elementsOf(" { \"b\" : {\"a\":[7]} , \"a\" : [ 1 , {\"x\":[2,\"],\"]} ,\"\\\"]\"]}")
                == Texts{"1", "{\"x\":[2,\"],\"]}", "\"\\\"]\""}));
    BOOST_TEST((elementsOf("{\"a\":[1e999," + nested(3) + "]}") == Texts{"1e999", nested(3)}));
    for (const std::string text :
         {"", "[]", "{", "{}", "{\"a\"", "{\"a\":", "{\"a\":1}", "{\"a\":[1", "{\"a\":[\"]",
          "{\"b\":[\"a\"]}", "{\"b\":\"a\",\"c\":[1]}"})
        BOOST_TEST((elementsOf(text) == Texts{"failed"}), text);
    const auto split =
            outcomeOf([] { return splitJsonArray("{\"a\":[1,2],\"n\":\"x\"}", "a", "text"); });
    BOOST_TEST(split.value().rest == "{\"a\":[],\"n\":\"x\"}");
}

BOOST_AUTO_TEST_SUITE_END()
