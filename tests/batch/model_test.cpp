#include "batchdriver.h"
#include "batchmodel.h"
#include "randomcommands.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <cstring>
#include <functional>
#include <map>
#include <random>

using namespace rattanrill;
using namespace rattanrill::batch;

namespace {

constexpr unsigned seedCount = 40;
constexpr int stepCount = 400;

/// State machine with an injected fault: a function modifies each command before it is applied.
class FaultyMachine : public replication::StateMachine
{
public:
    /// Latest lease number of each item by job id and item index.
    using Leases = std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>;
    using Rewrite = std::function<void(wire::BatchOperation &, const Leases &)>;

    explicit FaultyMachine(Rewrite rewrite)
        : m_rewrite(std::move(rewrite))
        , m_machine(makeBatchStateMachine())
    {}

    std::string apply(std::uint64_t index, std::string_view bytes) override
    {
        wire::BatchCommand command =
                outcomeOf([&] { return wire::decode<wire::BatchCommand>(bytes); }).value();
        m_rewrite(command.operation, m_leases);
        std::string response = m_machine->apply(index, wire::encode(command));
        const Outcome<wire::BatchResult> result = unpackResult(response);
        if (result.ok()) {
            for (const wire::LeasedItem &leased : result.value().leased)
                m_leases[{leased.item.jobId, leased.item.index}] = leased.item.lease;
        }
        return response;
    }
    std::string query(std::string_view query) const override { return m_machine->query(query); }
    std::string snapshot() const override { return m_machine->snapshot(); }
    Result<void> restore(std::string_view snapshot) override
    {
        return m_machine->restore(snapshot);
    }

private:
    Rewrite m_rewrite;
    Leases m_leases;
    std::unique_ptr<replication::StateMachine> m_machine;
};

void uploadFiles(BatchDriver &driver, BatchModel &model)
{
    for (std::size_t file = 0; file < RandomCommands::files; ++file) {
        const std::string fileId = RandomCommands::fileId(file);
        driver.upload(fileId, RandomCommands::workspaceOf(file), RandomCommands::itemsOf(file));
        model.addFile(fileId, RandomCommands::itemsOf(file));
    }
}

/// Returns the first fault in the status or results of any job, or an empty text.
std::string checkJobs(const BatchDriver &driver, const BatchModel &model)
{
    for (const auto &[jobId, job] : model.jobs()) {
        std::string fault = model.checkStatus(driver.job(jobId));
        if (fault.empty())
            fault = model.checkResults(jobId, driver.results(jobId));
        if (!fault.empty())
            return fault;
    }
    return {};
}

/// Selects the responses that are compared with the model.
enum class Compare {
    Commands,
    CommandsAndQueries,
};

/// Runs one seed against the model. Returns the first fault or an empty text.
std::string runAgainstModel(BatchDriver &driver, unsigned seed, Compare compare)
{
    RandomCommands commands(seed);
    BatchModel model;
    const bool queries = compare == Compare::CommandsAndQueries;
    uploadFiles(driver, model);
    driver.nowMs = 1000000;
    for (int step = 0; step < stepCount; ++step) {
        driver.nowMs += static_cast<std::int64_t>(commands.randomBelow(200));
        // The clock of a new leader may be behind that of the previous one.
        if (commands.randomBelow(10) == 0)
            driver.nowMs -= static_cast<std::int64_t>(commands.randomBelow(1000));
        const wire::BatchOperation operation = commands.next();
        const Outcome<wire::BatchResult> response = driver.apply(operation);
        if (response.ok())
            commands.recordLeases(response.value());
        std::string fault = model.observe(driver.nowMs, operation, response);
        if (fault.empty() && queries && step % 8 == 0)
            fault = checkJobs(driver, model);
        if (!fault.empty())
            return concat("seed ", seed, ", step ", step, ": ", fault);
    }
    return queries ? checkJobs(driver, model) : "";
}

/// Runs a faulty machine with all seeds. Returns the first fault that the model detects in the
/// responses to commands, or an empty text.
std::string firstFault(const FaultyMachine::Rewrite &rewrite)
{
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        BatchDriver driver(std::make_unique<FaultyMachine>(rewrite));
        std::string fault = runAgainstModel(driver, seed, Compare::Commands);
        if (!fault.empty())
            return fault;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ModelTest)

// Guards against sequences of commands, resends, outdated leases and expiries that break
// exactly-once completion (R1), cancellation (R2), the single run of a claimed request (R10) or the
// item counts.
BOOST_AUTO_TEST_CASE(randomCommandsAgreeWithModel)
{
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        BatchDriver driver;
        BOOST_TEST(runAgainstModel(driver, seed, Compare::CommandsAndQueries) == "");
    }
}

// Guards against state that is missing from a snapshot: a replica that is restored from snapshots
// at random must return the same bytes as one that is never restored.
BOOST_AUTO_TEST_CASE(restoredReplicaRespondsIdentically)
{
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        RandomCommands commands(seed);
        BatchModel model;
        BatchDriver reference;
        BatchDriver restarting;
        uploadFiles(reference, model);
        uploadFiles(restarting, model);
        for (int step = 0; step < stepCount; ++step) {
            reference.nowMs += static_cast<std::int64_t>(commands.randomBelow(200));
            restarting.nowMs = reference.nowMs;
            const wire::BatchOperation operation = commands.next();
            const std::string response = reference.applyBytes(operation);
            BOOST_REQUIRE(response == restarting.applyBytes(operation));
            const Outcome<wire::BatchResult> result = unpackResult(response);
            if (result.ok())
                commands.recordLeases(result.value());
            if (commands.randomBelow(10) == 0)
                restarting.restart();
        }
        BOOST_REQUIRE(reference.machine().snapshot() == restarting.machine().snapshot());
    }
}

// Guards against memory errors and endless loops while a corrupt snapshot with a valid checksum is
// restored, and in the commands applied afterwards.
BOOST_AUTO_TEST_CASE(inconsistentSnapshotIsRefusedOrHarmless)
{
    constexpr std::size_t headerBytes = std::string_view("rattanrill-batch-1\n").size();
    constexpr std::size_t payloadAt = headerBytes + sizeof(std::uint64_t);
    BatchDriver origin;
    runAgainstModel(origin, 1, Compare::Commands);
    const std::string snapshot = origin.machine().snapshot();
    std::mt19937 random(1);
    for (int round = 0; round < 2000; ++round) {
        std::string damaged = snapshot;
        const std::size_t position = payloadAt + random() % (damaged.size() - payloadAt);
        damaged[position] = static_cast<char>(random());
        const std::uint64_t checksum = stableHash(std::string_view(damaged).substr(payloadAt));
        std::memcpy(damaged.data() + headerBytes, &checksum, sizeof checksum);
        BatchDriver driver;
        const auto restored = outcomeOf([&] { return driver.machine().restore(damaged); });
        if (!restored.ok()) {
            BOOST_REQUIRE((restored.failure().code == ErrorCode::CorruptData));
            continue;
        }
        RandomCommands commands(static_cast<unsigned>(round));
        for (int step = 0; step < 20; ++step) {
            driver.nowMs = origin.nowMs + 1000 * step;
            driver.apply(commands.next());
        }
        driver.restart();
    }
}

// Guards against a model that misses results accepted without a check of the lease. The fault
// replaces the lease number in each CompleteItems with the current one.
BOOST_AUTO_TEST_CASE(modelDetectsCompletionWithoutLeaseCheck)
{
    const auto acceptAnyLease = [](wire::BatchOperation &operation,
                                   const FaultyMachine::Leases &leases) {
        auto *complete = std::get_if<wire::CompleteItems>(&operation);
        if (complete == nullptr)
            return;
        for (wire::ItemResult &result : complete->results)
            result.item.lease = leases.at({result.item.jobId, result.item.index});
    };
    const std::string fault = firstFault(acceptAnyLease);
    BOOST_TEST(fault.find("without a current lease") != std::string::npos, fault);
}

// Guards against a model that misses leases of a cancelled job. The fault replaces each CancelJob
// with a command that has no effect on the job.
BOOST_AUTO_TEST_CASE(modelDetectsLeaseOfCancelledJob)
{
    const std::string fault = firstFault([](wire::BatchOperation &operation, const auto &) {
        if (std::holds_alternative<wire::CancelJob>(operation))
            operation = wire::AdvanceTime{};
    });
    BOOST_TEST(fault.find("cancelled") != std::string::npos, fault);
}

BOOST_AUTO_TEST_SUITE_END()
