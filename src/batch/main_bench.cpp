// Measures the batch and directory state machines at the load of the two-year target. Prints one
// JSON line for each measurement.

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/json.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/directory/directoryview.h"
#include "rattanrill/directory/statemachine.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <chrono>
#include <iostream>
#include <malloc.h>
#include <string>
#include <vector>

using namespace rattanrill;

namespace {

constexpr std::size_t itemsPerJob = 290000;
constexpr std::size_t itemsPerAppend = 500;
constexpr std::int64_t itemsPerLease = 64;
constexpr std::size_t requestBytes = 600;
constexpr std::size_t resultBytes = 800;
constexpr std::size_t workspaceCount = 6300;
constexpr int measuredChanges = 1000;

double heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Returns the run time of \a function in seconds.
template <typename Function>
double secondsOf(Function &&function)
{
    const auto start = std::chrono::steady_clock::now();
    function();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void print(const std::string &name, Json values)
{
    values["measure"] = name;
    std::cout << dumpJson(values) << std::endl;
}

template <typename Message>
Message unpack(const std::string &bytes)
{
    const auto response = outcomeOf([&] { return wire::decode<wire::CommandResult>(bytes); });
    const std::string &body = response.value().body;
    return outcomeOf([&] { return wire::decode<Message>(body); }).value();
}

/// Measures the time that a batch state machine takes for commands, without the time in which the
/// client encodes commands and decodes results.
class BatchBench
{
public:
    BatchBench()
        : m_machine(batch::makeBatchStateMachine())
    {}

    void run()
    {
        const double before = heapBytes();
        upload();
        const double uploaded = heapBytes();
        createJob();
        const double texts = static_cast<double>(itemsPerJob) * requestBytes;
        const double perItem = (heapBytes() - before - texts) / itemsPerJob;
        print("open_items", {{"items", itemsPerJob},
                             {"file_heap_bytes", uploaded - before},
                             {"job_heap_bytes", heapBytes() - uploaded},
                             {"overhead_bytes_per_100000_items", perItem * 100000}});
        leaseAndComplete(itemsPerJob / 2);
        snapshot("half_done");
        leaseAndComplete(itemsPerJob);
        readResults();
        snapshot("done");
    }

private:
    struct Timing
    {
        double seconds = 0;
        double commands = 0;
        double items = 0;
    };

    std::string apply(const wire::BatchOperation &operation, Timing &timing, std::size_t items)
    {
        const std::string command = wire::encode(wire::BatchCommand{m_nowMs, operation});
        std::string response;
        timing.seconds += secondsOf([&] { response = m_machine->apply(++m_index, command); });
        timing.commands += 1;
        timing.items += static_cast<double>(items);
        return response;
    }

    static void printTiming(const std::string &name, const Timing &timing)
    {
        print(name, {{"commands", timing.commands},
                     {"commands_per_s", timing.commands / timing.seconds},
                     {"items_per_s", timing.items / timing.seconds},
                     {"us_per_item", timing.seconds / timing.items * 1e6}});
    }

    void upload()
    {
        Timing timing;
        const std::string body(requestBytes, 'r');
        for (std::size_t first = 0; first < itemsPerJob; first += itemsPerAppend) {
            wire::AppendItems append{"file", "w", first, {}};
            for (std::size_t index = first; index < first + itemsPerAppend; ++index)
                append.items.push_back({concat("item-", index), "/v1/completions", body});
            apply(append, timing, append.items.size());
        }
        apply(wire::SealFile{"file", "w", itemsPerJob, 1}, timing, 0);
        printTiming("append_items", timing);
    }

    void createJob()
    {
        Timing timing;
        apply(wire::CreateJob{"job", "w", "file", "key", 1000000, 86400000, ""}, timing, 1);
        print("create_job", {{"ms", timing.seconds * 1e3}});
    }

    void leaseAndComplete(std::size_t items)
    {
        Timing leasing;
        Timing renewing;
        Timing completing;
        const std::string body(resultBytes, 'a');
        while (m_completedItems < items) {
            const std::string response =
                    apply(wire::LeaseItems{"entry-1", itemsPerLease, 5000}, leasing, itemsPerLease);
            wire::CompleteItems complete;
            wire::RenewLeases renew{"entry-1", 5000, {}};
            for (const wire::LeasedItem &leased : unpack<wire::BatchResult>(response).leased) {
                complete.results.push_back({leased.item, false, 200, body, ""});
                renew.items.push_back(leased.item);
            }
            apply(renew, renewing, renew.items.size());
            apply(complete, completing, complete.results.size());
            m_completedItems += complete.results.size();
            m_nowMs += 1;
        }
        printTiming("lease_items", leasing);
        printTiming("renew_leases", renewing);
        printTiming("complete_items", completing);
    }

    void snapshot(const std::string &state)
    {
        std::string bytes;
        const double snapshotSeconds = secondsOf([&] { bytes = m_machine->snapshot(); });
        const auto restored = batch::makeBatchStateMachine();
        bool accepted = false;
        const double restoreSeconds = secondsOf(
                [&] { accepted = outcomeOf([&] { return restored->restore(bytes); }).ok(); });
        print("snapshot", {{"state", state},
                           {"bytes", bytes.size()},
                           {"bytes_per_item", static_cast<double>(bytes.size()) / itemsPerJob},
                           {"snapshot_ms", snapshotSeconds * 1e3},
                           {"restore_ms", restoreSeconds * 1e3},
                           {"restored", accepted}});
    }

    void readResults()
    {
        double lines = 0;
        const double seconds = secondsOf([&] {
            for (std::uint64_t next = 0; next < itemsPerJob;) {
                const wire::BatchQueryMessage query{wire::ReadResults{"job", "w", next, 1000}};
                const auto page =
                        unpack<wire::BatchQueryResult>(m_machine->query(wire::encode(query)));
                lines += static_cast<double>(page.results.size());
                next = page.nextIndex;
            }
        });
        print("read_results", {{"lines", lines}, {"lines_per_s", lines / seconds}});
    }

    std::unique_ptr<replication::StateMachine> m_machine;
    std::int64_t m_nowMs = 1000;
    std::uint64_t m_index = 0;
    std::size_t m_completedItems = 0;
};

/// Measures a directory state machine with one contract and one key for each workspace.
class DirectoryBench
{
public:
    DirectoryBench()
        : m_machine(directory::makeDirectoryStateMachine())
    {}

    void run()
    {
        const double before = heapBytes();
        double seconds = 0;
        for (std::size_t index = 0; index < workspaceCount; ++index) {
            const std::string workspace = concat("workspace-", index);
            seconds += apply(wire::PutContract{makeContract(workspace, 1)}, concat("c-", index));
            seconds += apply(wire::AddKey{{concat("key-", index), sha256Hex(workspace), workspace}},
                             concat("k-", index));
        }
        print("directory_writes", {{"writes", 2 * workspaceCount},
                                   {"us_per_write", seconds / workspaceCount / 2 * 1e6},
                                   {"heap_bytes", heapBytes() - before}});
        snapshot();
        measureViewUpdates();
    }

private:
    static wire::Contract makeContract(const std::string &workspace, double rate)
    {
        wire::Contract contract;
        contract.workspace = workspace;
        contract.ratePerSecond = rate;
        contract.burst = 10;
        contract.regionShares = {{"tx-central", 0.5}, {"luzon", 0.5}};
        return contract;
    }

    double apply(wire::DirectoryOperation operation, std::string requestId)
    {
        const wire::DirectoryCommand command{std::move(requestId), 0, true, 1000,
                                             std::move(operation)};
        const std::string bytes = wire::encode(command);
        return secondsOf([&] { m_machine->apply(++m_index, bytes); });
    }

    void snapshot()
    {
        std::string bytes;
        const double snapshotSeconds = secondsOf([&] { bytes = m_machine->snapshot(); });
        const auto restored = directory::makeDirectoryStateMachine();
        const double restoreSeconds =
                secondsOf([&] { (void)outcomeOf([&] { return restored->restore(bytes); }); });
        print("directory_snapshot", {{"bytes", bytes.size()},
                                     {"snapshot_ms", snapshotSeconds * 1e3},
                                     {"restore_ms", restoreSeconds * 1e3}});
    }

    directory::DirectoryView updatedView(const directory::DirectoryView &view)
    {
        const std::string query = wire::encode(wire::DirectoryQuery{view.revision()});
        const auto response = unpack<wire::PollChangesResponse>(m_machine->query(query));
        return outcomeOf([&] { return view.withChanges(response); }).value();
    }

    void measureViewUpdates()
    {
        const double before = heapBytes();
        directory::DirectoryView view;
        const double firstSeconds = secondsOf([&] { view = updatedView(view); });
        const double bytes = heapBytes() - before;
        double changeSeconds = 0;
        for (int change = 0; change < measuredChanges; ++change) {
            const std::string id = concat("workspace-", change);
            apply(wire::PutContract{makeContract(id, 2)}, concat("change-", change));
            changeSeconds += secondsOf([&] { view = updatedView(view); });
        }
        print("directory_view", {{"heap_bytes", bytes},
                                 {"first_view_ms", firstSeconds * 1e3},
                                 {"us_per_change", changeSeconds / measuredChanges * 1e6}});
    }

    std::unique_ptr<replication::StateMachine> m_machine;
    std::uint64_t m_index = 0;
};

} // namespace

int main()
{
    BatchBench().run();
    DirectoryBench().run();
    return 0;
}
