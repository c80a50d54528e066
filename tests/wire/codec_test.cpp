#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"
#include "rattanrill/wire/directorymessages.h"
#include "rattanrill/wire/envelope.h"
#include "rattanrill/wire/fleetmessages.h"
#include "rattanrill/wire/jobmessages.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rattanrill;
using namespace rattanrill::wire;

BOOST_AUTO_TEST_SUITE(CodecTest)

// Guards against a command that is decoded from the log as another operation than the one that was
// encoded, for example because two alternatives of the variant have the same kind.
BOOST_AUTO_TEST_CASE(decodedCommandEqualsTheEncodedOne)
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

// Guards against binary bodies that are changed because the codec treats them as text.
BOOST_AUTO_TEST_CASE(bodiesCanContainAnyBytes)
{
    Envelope envelope;
    envelope.body = std::string("\x00\xff\xc3\x28", 4);
    const auto decoded = outcomeOf([&] { return decode<Envelope>(encode(envelope)); });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().body == envelope.body);
}

// Guards against load reports of an older process that are lost because they lack fields.
BOOST_AUTO_TEST_CASE(loadReportOfAnOlderProcessIsReadAsNotLeaving)
{
    const auto decoded = outcomeOf([&] {
        return fromJsonText<UpstreamLoad>(R"({"upstream":"u","requests":3,"requestLimit":2.5})");
    });
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().requests == 3);
    BOOST_TEST(decoded.value().requestLimit == 2.5);
    BOOST_TEST(!decoded.value().leaving);
    BOOST_TEST(decoded.value().address.empty());
}

// Guards against a store that can't read the log or a snapshot of its former version, which have no
// count of failed attempts.
BOOST_AUTO_TEST_CASE(progressOfAnOlderProcessHasNoFailures)
{
    const auto command = outcomeOf([&] {
        return fromJsonText<JobCommand>(R"({"operation":{"kind":"append_progress","value":{"items":
            [{"job":"j","item":"i","after":-1,"lastEvent":2,"output":"a","servedMs":5}]}}})");
    });
    BOOST_REQUIRE(command.ok());
    const auto &progress = std::get<AppendProgress>(command.value().operation);
    BOOST_TEST(progress.items.size() == 1u);
    BOOST_TEST(progress.failures.empty());
    const auto snapshot = outcomeOf([&] {
        return fromJsonText<StoredJobs>(
                R"({"jobs":[{"job":{"id":"j"},"results":[],"progress":[],"ended":true}]})");
    });
    BOOST_REQUIRE(snapshot.ok());
    BOOST_TEST(snapshot.value().jobs.at(0).ended);
    BOOST_TEST(snapshot.value().jobs.at(0).failures.empty());
}

// Guards against exceptions and crashes on messages that a peer has truncated or corrupted. Such a
// message either fails with MalformedMessage or decodes to another valid value.
BOOST_AUTO_TEST_CASE(corruptMessageFailsAsMalformedOrDecodes)
{
    BatchCommand command;
    command.operation = AppendItems{"f", "w", 3, {{"c", "/v1/completions", "{}"}}};
    const std::string bytes = encode(command);
    std::mt19937 random(1);
    for (int i = 0; i < 20000; ++i) {
        std::string corrupt = bytes.substr(0, random() % (bytes.size() + 1));
        if (!corrupt.empty())
            corrupt[random() % corrupt.size()] = static_cast<char>(random());
        const auto decoded = outcomeOf([&] { return decode<BatchCommand>(corrupt); });
        if (!decoded.ok())
            BOOST_REQUIRE((decoded.failure().code == ErrorCode::MalformedMessage));
    }
}

// Guards against an unknown effect state from a newer peer that is read as NotRun, so that the
// caller repeats a request that may have run.
BOOST_AUTO_TEST_CASE(unknownEffectStateIsReadAsMayHaveRun)
{
    FailureMessage message{true, "timeout", "perhaps", ""};
    BOOST_TEST((fromMessage(message).effect == EffectState::MayHaveRun));
}

// Guards against a refusal that a caller takes for an empty message, or whose effect is lost, and
// against a malformed response that is taken for a message.
BOOST_AUTO_TEST_CASE(failureOfAResponseIsPassedOnUnchanged)
{
    const auto refused =
            decodeOutcome<FleetResult>(mayHaveRun(ErrorCode::ProposalLost, "leadership was lost"));
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::ProposalLost));
    BOOST_TEST((refused.failure().effect == EffectState::MayHaveRun));
    const auto malformed = decodeOutcome<FleetResult>(std::string("\xff"));
    BOOST_REQUIRE(!malformed.ok());
    BOOST_TEST((malformed.failure().code == ErrorCode::MalformedMessage));
    const auto decoded = decodeOutcome<FleetResult>(encode(FleetResult{7}));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded.value().configurationVersion == 7u);
}

BOOST_AUTO_TEST_SUITE_END()
