#include "rattanrill/jobs/statemachine.h"

#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/jobmessages.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <string>

using namespace rattanrill;

namespace {

wire::JobRecord job(const std::string &id, int items, const std::string &workspace = "w")
{
    wire::JobRecord record;
    record.id = id;
    record.workspace = workspace;
    record.route = "r";
    for (int i = 0; i < items; ++i)
        record.items.push_back(
                {"i" + std::to_string(i), "/p", {}, "body" + std::to_string(i), 100});
    return record;
}

template <typename Message>
Outcome<Message> decodeResponse(const std::string &response)
{
    return outcomeOf([&]() -> Result<Message> {
        BOOST_LEAF_AUTO(result, wire::decode<wire::CommandResult>(response));
        if (result.failure.failed)
            return fail(wire::fromMessage(result.failure));
        return wire::decode<Message>(result.body);
    });
}

struct Fixture
{
    Outcome<wire::JobCommandResult> perform(wire::JobOperation operation)
    {
        return decodeResponse<wire::JobCommandResult>(
                machine->apply(++index, wire::encode(wire::JobCommand{std::move(operation)})));
    }

    Outcome<wire::ReadJobResponse> read(const std::string &id, std::int64_t after = 0,
                                        const std::string &workspace = "w")
    {
        wire::ReadJobRequest request;
        request.workspace = workspace;
        request.job = id;
        request.after = after;
        return decodeResponse<wire::ReadJobResponse>(
                machine->query(wire::encode(wire::JobQuery{request})));
    }

    Outcome<wire::ReadItemResponse> readItem(const std::string &id, const std::string &item)
    {
        return decodeResponse<wire::ReadItemResponse>(
                machine->query(wire::encode(wire::JobQuery{wire::ReadItemRequest{"w", id, item}})));
    }

    wire::OpenJobs listOpenJobs()
    {
        return decodeResponse<wire::OpenJobs>(
                       machine->query(wire::encode(wire::JobQuery{wire::ListOpenJobs{}})))
                .value();
    }

    void finish(const std::string &id, const std::string &item, const std::string &output)
    {
        BOOST_TEST(perform(wire::AppendResults{id, {{item, wire::ItemOutcome::Completed, output}}})
                           .ok());
    }

    std::unique_ptr<replication::StateMachine> machine = jobs::makeJobStateMachine();
    std::uint64_t index = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobStateMachineTest, Fixture)

// Guards against a job that runs a second time because its submission was resent.
BOOST_AUTO_TEST_CASE(jobIsAcceptedOnce)
{
    BOOST_TEST(perform(wire::AcceptJob{job("j", 2), 0}).value().isNew);
    const auto repeated = perform(wire::AcceptJob{job("j", 2), 0});
    BOOST_TEST(!repeated.value().isNew);
    BOOST_TEST(!repeated.value().overLimit);
    BOOST_TEST(listOpenJobs().jobs.size() == 1u);
}

// Guards against a result whose content or position changes after it was read.
BOOST_AUTO_TEST_CASE(resultKeepsItsPositionAndContent)
{
    perform(wire::AcceptJob{job("j", 3), 0});
    finish("j", "i2", "first");
    finish("j", "i0", "second");
    finish("j", "i2", "other text");
    finish("j", "unknown", "x");
    const wire::ReadJobResponse all = read("j").value();
    BOOST_TEST(all.total == 3);
    BOOST_TEST(all.next == 2);
    BOOST_TEST_REQUIRE(all.results.size() == 2u);
    BOOST_TEST(all.results[0].id == "i2");
    BOOST_TEST(all.results[0].output == "first");
    const wire::ReadJobResponse remaining = read("j", 1).value();
    BOOST_TEST(remaining.results.size() == 1u);
    BOOST_TEST(remaining.results[0].output == "second");
    BOOST_TEST(read("j", 2).value().results.empty());
    BOOST_TEST(read("j", 2).value().next == 2);
}

// Guards against access to a job from another workspace.
BOOST_AUTO_TEST_CASE(jobOfAnotherWorkspaceIsNotFound)
{
    perform(wire::AcceptJob{job("j", 1), 0});
    BOOST_TEST((read("j", 0, "v").failure().code == ErrorCode::NotFound));
    BOOST_TEST(!perform(wire::EndJob{"v", "j"}).ok());
    BOOST_TEST(!perform(wire::AcceptJob{job("j", 1, "v"), 0}).ok());
}

// Guards against a workspace that exceeds its limit of waiting tokens on a route.
BOOST_AUTO_TEST_CASE(waitingTokensAreLimited)
{
    BOOST_TEST(!perform(wire::AcceptJob{job("a", 2), 300}).value().overLimit);
    BOOST_TEST(perform(wire::AcceptJob{job("b", 2), 300}).value().overLimit);
    BOOST_TEST(!read("b").ok());
    // The tokens of an accepted job are not counted again when the job is resent.
    BOOST_TEST(!perform(wire::AcceptJob{job("a", 2), 300}).value().overLimit);
    finish("a", "i0", "x");
    BOOST_TEST(!perform(wire::AcceptJob{job("b", 2), 300}).value().overLimit);
    perform(wire::EndJob{"w", "b"});
    perform(wire::EndJob{"w", "b"});
    BOOST_TEST(!perform(wire::AcceptJob{job("c", 2), 300}).value().overLimit);
    BOOST_TEST(perform(wire::AcceptJob{job("d", 1), 300}).value().overLimit);
}

// Guards against a new executor that runs the items of an ended job.
BOOST_AUTO_TEST_CASE(endedJobIsNotOpenAndKeepsItsResults)
{
    perform(wire::AcceptJob{job("j", 2), 0});
    finish("j", "i0", "x");
    BOOST_TEST(perform(wire::EndJob{"w", "j"}).ok());
    BOOST_TEST(perform(wire::EndJob{"w", "j"}).ok());
    BOOST_TEST(listOpenJobs().jobs.empty());
    BOOST_TEST(read("j").value().results.size() == 1u);
}

// Guards against stored output that mixes the events of two runs of an item.
BOOST_AUTO_TEST_CASE(progressIsAppendedOnlyAfterItsLastEvent)
{
    perform(wire::AcceptJob{job("j", 1), 0});
    const auto appendProgress = [&](std::int64_t after, std::int64_t last,
                                    const std::string &text) {
        perform(wire::AppendProgress{{{"j", "i0", after, last, text}}});
    };
    appendProgress(-1, 2, "a\nb");
    appendProgress(-1, 3, "x\ny\nz");
    appendProgress(5, 7, "late");
    appendProgress(2, 3, "c");
    const wire::OpenJobs listed = listOpenJobs();
    BOOST_TEST_REQUIRE(listed.jobs.at(0).progress.size() == 1u);
    BOOST_TEST(listed.jobs[0].progress[0].output == "a\nb\nc");
    BOOST_TEST(listed.jobs[0].progress[0].lastEvent == 3);
    finish("j", "i0", "a\nb\nc\nd");
    BOOST_TEST(listOpenJobs().jobs.empty());
}

// Guards against an item that fails at each run and is sent too often, because a repeated or late
// command changes its count of failures, or because the count needs stored output.
BOOST_AUTO_TEST_CASE(failuresAreCountedOnce)
{
    perform(wire::AcceptJob{job("j", 2), 0});
    const auto storedFailures = [&] {
        std::string text;
        const wire::OpenJob listed = listOpenJobs().jobs.at(0);
        for (const wire::ItemFailures &failures : listed.failures)
            text += failures.job + "/" + failures.item + ":" + std::to_string(failures.serverErrors)
                    + " ";
        return text;
    };
    const auto recordFailures = [&](const std::string &item, std::int64_t count) {
        perform(wire::AppendProgress{{}, {{"j", item, count}}});
    };
    recordFailures("i0", 1);
    recordFailures("i0", 1);
    recordFailures("i1", 2);
    recordFailures("i0", 2);
    recordFailures("i0", 1);
    BOOST_TEST(storedFailures() == "j/i0:2 j/i1:2 ");
    BOOST_TEST(listOpenJobs().jobs.at(0).progress.empty());
    perform(wire::AppendProgress{{}, {{"other", "i0", 2}}});
    // A resent submission doesn't change the count.
    perform(wire::AcceptJob{job("j", 2), 0});
    finish("j", "i1", "x");
    recordFailures("i1", 3);
    BOOST_TEST(storedFailures() == "j/i0:2 ");
    perform(wire::EndJob{"w", "j"});
    const std::string ended = machine->snapshot();
    recordFailures("i0", 3);
    BOOST_TEST(machine->snapshot() == ended);
}

// Guards against stored output that changes, or is not continued, because a failure is counted.
BOOST_AUTO_TEST_CASE(failuresLeaveTheOutputUnchanged)
{
    perform(wire::AcceptJob{job("j", 1), 0});
    perform(wire::AppendProgress{{}, {{"j", "i0", 1}}});
    perform(wire::AppendProgress{{{"j", "i0", -1, 2, "a\nb"}}});
    perform(wire::AppendProgress{{{"j", "i0", 2, 3, "c"}}, {{"j", "i0", 2}}});
    perform(wire::AppendProgress{{{"j", "i0", 2, 3, "c"}}, {{"j", "i0", 2}}});
    const wire::OpenJob listed = listOpenJobs().jobs.at(0);
    BOOST_TEST_REQUIRE(listed.progress.size() == 1u);
    BOOST_TEST(listed.progress[0].output == "a\nb\nc");
    BOOST_TEST_REQUIRE(listed.failures.size() == 1u);
    BOOST_TEST(listed.failures[0].serverErrors == 2);
}

// Guards against a count of failures that a replica loses when it is restored from a snapshot.
BOOST_AUTO_TEST_CASE(failuresSurviveRestore)
{
    perform(wire::AcceptJob{job("j", 2), 0});
    perform(wire::AppendProgress{{{"j", "i1", -1, 2, "a"}}, {{"j", "i0", 2}, {"j", "i1", 1}}});
    const auto restored = jobs::makeJobStateMachine();
    BOOST_REQUIRE(outcomeOf([&] { return restored->restore(machine->snapshot()); }).ok());
    BOOST_TEST(restored->snapshot() == machine->snapshot());
    machine = jobs::makeJobStateMachine();
    BOOST_REQUIRE(outcomeOf([&] { return machine->restore(restored->snapshot()); }).ok());
    perform(wire::AppendProgress{{}, {{"j", "i0", 1}}});
    const wire::OpenJob listed = listOpenJobs().jobs.at(0);
    BOOST_TEST_REQUIRE(listed.failures.size() == 2u);
    BOOST_TEST(listed.failures[0].serverErrors == 2);
    BOOST_TEST(listed.failures[1].serverErrors == 1);
    BOOST_TEST(listed.progress.size() == 1u);
}

// Guards against the removal of a job that has items without a result.
BOOST_AUTO_TEST_CASE(onlyFinishedJobsAreRemoved)
{
    wire::JobRecord old = job("old", 1);
    old.acceptedAtMs = 1000;
    perform(wire::AcceptJob{old, 0});
    perform(wire::PurgeJobs{2000});
    BOOST_TEST(read("old").ok());
    finish("old", "i0", "x");
    perform(wire::PurgeJobs{2000});
    BOOST_TEST(!read("old").ok());
}

// Guards against a response that contains all results of a job, whatever their size.
BOOST_AUTO_TEST_CASE(largeResultsAreReadInParts)
{
    perform(wire::AcceptJob{job("j", 3), 0});
    for (int i = 0; i < 3; ++i)
        finish("j", "i" + std::to_string(i), std::string(600000, 'x'));
    BOOST_TEST(read("j").value().results.size() == 1u);
    BOOST_TEST(read("j", 1).value().next == 2);
}

// Guards against a replica that differs from the others after it was restored from a snapshot.
BOOST_AUTO_TEST_CASE(restoredReplicaBehavesLikeTheOriginal)
{
    std::mt19937 random(17);
    for (int step = 0; step < 300; ++step) {
        const std::string id = "j" + std::to_string(random() % 12);
        const std::string item = "i" + std::to_string(random() % 4);
        switch (random() % 4) {
        case 0:
            perform(wire::AcceptJob{job(id, 4), 2000});
            break;
        case 1:
            perform(wire::AppendResults{
                    id, {{item, wire::ItemOutcome::Completed, std::to_string(step)}}});
            break;
        case 2:
            perform(wire::AppendProgress{{{id, item, -1, 3, "p"}},
                                         {{id, item, static_cast<std::int64_t>(random() % 3)}}});
            break;
        default:
            if (random() % 5 == 0)
                perform(wire::EndJob{"w", id});
        }
    }
    const auto restored = jobs::makeJobStateMachine();
    BOOST_REQUIRE(outcomeOf([&] { return restored->restore(machine->snapshot()); }).ok());
    BOOST_TEST(restored->snapshot() == machine->snapshot());
    const std::string command =
            wire::encode(wire::JobCommand{wire::AcceptJob{job("new", 4), 2000}});
    BOOST_TEST(restored->apply(1, command) == machine->apply(index + 1, command));
}

// Guards against snapshots that a store of another version can't read: they have the bytes of one
// message, although they are written job by job.
BOOST_AUTO_TEST_CASE(snapshotHasTheFormatOfOneMessage)
{
    for (const int jobs : {0, 1, 23, 24, 255, 256, 300}) {
        BOOST_TEST_INFO_SCOPE(jobs);
        Fixture group;
        for (int i = 0; i < jobs; ++i)
            group.perform(wire::AcceptJob{job("j" + std::to_string(i), 1), 0});
        const std::string snapshot = group.machine->snapshot();
        const auto decoded = outcomeOf([&] { return wire::decode<wire::StoredJobs>(snapshot); });
        BOOST_TEST_REQUIRE(decoded.ok());
        BOOST_TEST(decoded.value().jobs.size() == static_cast<std::size_t>(jobs));
        BOOST_TEST(wire::encode(decoded.value()) == snapshot);
        Fixture restored;
        BOOST_TEST(outcomeOf([&] { return restored.machine->restore(snapshot); }).ok());
        BOOST_TEST(restored.machine->snapshot() == snapshot);
    }
}

// Guards against a store that goes on with a part of its state after a corrupt snapshot.
BOOST_AUTO_TEST_CASE(corruptSnapshotIsRefused)
{
    perform(wire::AcceptJob{job("j", 2), 0});
    const std::string snapshot = machine->snapshot();
    for (const std::string &corrupt :
         {std::string(), std::string("x"), snapshot.substr(0, 7), snapshot.substr(0, 40),
          snapshot.substr(0, snapshot.size() - 1), snapshot + "x"}) {
        Fixture restored;
        BOOST_TEST(!outcomeOf([&] { return restored.machine->restore(corrupt); }).ok());
    }
}

// Guards against stores whose memory is exceeded by the requests of items that are never sent
// again.
BOOST_AUTO_TEST_CASE(requestsOfClosedItemsAreFreed)
{
    wire::JobRecord large = job("j", 2);
    for (wire::JobItem &item : large.items)
        item.body = std::string(100'000, 'b');
    perform(wire::AcceptJob{large, 0});
    const std::size_t openBytes = machine->snapshot().size();
    finish("j", "i0", "text");
    BOOST_TEST(machine->snapshot().size() < openBytes - 90'000);
    BOOST_TEST(!readItem("j", "i0").ok());
    BOOST_TEST(readItem("j", "i1").value().body.size() == 100'000u);
    BOOST_TEST(listOpenJobs().jobs.front().job.items[1].body.size() == 100'000u);
    perform(wire::EndJob{"w", "j"});
    BOOST_TEST(machine->snapshot().size() < 10'000u);
    BOOST_TEST(!readItem("j", "i1").ok());
    BOOST_TEST(read("j").value().results.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
