#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/directorymessages.h"
#include "rattanrill/wire/envelope.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rattanrill;
using namespace rattanrill::wire;

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against a command that comes out of the log as another operation than went in.
BOOST_AUTO_TEST_CASE(commandsSurviveARoundTrip)
{
    DirectoryCommand command;
    command.requestId = "r-1";
    command.baseRevision = 7;
    command.operation = RevokeKey{"key-9"};
    const auto decoded = outcomeOf([&] { return decode<DirectoryCommand>(encode(command)); });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().baseRevision == 7u);
    BOOST_TEST(std::get<RevokeKey>(decoded.value().operation).keyId == "key-9");
}

// Guards against binary bodies that a text encoding would change.
BOOST_AUTO_TEST_CASE(bodiesMayHoldAnyBytes)
{
    Envelope envelope;
    envelope.body = std::string("\x00\xff\xc3\x28", 4);
    const auto decoded = outcomeOf([&] { return decode<Envelope>(encode(envelope)); });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().body == envelope.body);
}

// Guards against exceptions or crashes on truncated and changed messages from a peer.
BOOST_AUTO_TEST_CASE(damagedMessagesAreTypedFailuresOrOtherValues)
{
    BatchCommand command;
    command.operation = AppendItems{"f", "w", 3, {{"c", "/v1/completions", "{}"}}};
    const std::string bytes = encode(command);
    std::mt19937 random(1);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        if (!damaged.empty())
            damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto decoded = outcomeOf([&] { return decode<BatchCommand>(damaged); });
        if (!decoded.ok())
            BOOST_REQUIRE((decoded.failure().code == ErrorCode::MalformedMessage));
    }
}

// Guards against an unknown word of a newer peer that would turn into a false "not run".
BOOST_AUTO_TEST_CASE(unknownRunStateCountsAsMayHaveRun)
{
    FailureMessage message{true, "timeout", "perhaps", ""};
    BOOST_TEST((fromMessage(message).run == EffectState::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()
