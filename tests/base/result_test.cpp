#include "rattanrill/base/json.h"
#include "rattanrill/base/result.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;

BOOST_AUTO_TEST_SUITE(ResultTest)

// Guards against a failure that loses its error code or effect state when a Result is converted to
// an Outcome, which is passed to other threads.
BOOST_AUTO_TEST_CASE(outcomeKeepsTheTypedFailure)
{
    const auto outcome = outcomeOf([]() -> Result<int> {
        return fail(mayHaveRun(ErrorCode::Timeout, "no answer for 2 s"));
    });
    BOOST_TEST(!outcome.ok());
    BOOST_TEST((outcome.failure().code == ErrorCode::Timeout));
    BOOST_TEST((outcome.failure().effect == EffectState::MayHaveRun));
}

// Guards against exceptions of the JSON library that escape from parseJson() on malformed input.
BOOST_AUTO_TEST_CASE(malformedJsonIsATypedFailure)
{
    for (const char *text : {"", "{", "{\"a\":\"\xff\"}", "[1,]", "nul"}) {
        const auto outcome = outcomeOf([&] { return parseJson(text, "body"); });
        BOOST_TEST(!outcome.ok());
        BOOST_TEST((outcome.failure().code == ErrorCode::InvalidRequest));
    }
}

// Guards against two codes with the same name: a peer would decode a different failure than was
// sent.
BOOST_AUTO_TEST_CASE(errorNamesAreUnique)
{
    for (int i = 0; i <= static_cast<int>(ErrorCode::Internal); ++i) {
        const auto code = static_cast<ErrorCode>(i);
        BOOST_TEST((errorCodeFromName(name(code)) == code));
    }
}

BOOST_AUTO_TEST_SUITE_END()
