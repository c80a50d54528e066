#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/replication/statemachine.h"
#include "rattanrill/wire/batchmessages.h"

#include <memory>
#include <string>
#include <vector>

namespace rattanrill::batch {

/// Test driver that sends encoded commands and queries to a batch state machine.
class BatchDriver
{
public:
    BatchDriver();
    explicit BatchDriver(std::unique_ptr<replication::StateMachine> machine);

    Outcome<wire::BatchResult> apply(wire::BatchOperation operation);
    /// Returns the encoded response.
    std::string applyBytes(const wire::BatchOperation &operation);
    Outcome<wire::BatchQueryResult> query(wire::BatchQueryOperation query) const;
    std::string queryBytes(const wire::BatchQueryOperation &query) const;
    /// Replaces the state machine with one restored from its snapshot.
    void restart();
    replication::StateMachine &machine() { return *m_machine; }

    /// Uploads and seals a file with \a items items, named "item-0", "item-1" and so on.
    void upload(const std::string &fileId, const std::string &workspace, std::size_t items);
    /// Uploads a file with the id "file-" + \a jobId and creates a job for it. Returns the job id.
    std::string makeJob(const std::string &jobId, const std::string &workspace, std::size_t items,
                        std::int64_t dueAtMs = 1000000);
    std::vector<wire::LeasedItem> lease(std::int64_t maxItems, const std::string &holder = "e-1",
                                        std::int64_t leaseMs = 5000);
    Outcome<wire::BatchResult> complete(const wire::ItemRef &item, const std::string &body = "{}");
    wire::JobStatus job(const std::string &jobId) const;
    std::vector<wire::ResultLine> results(const std::string &jobId) const;

    std::int64_t nowMs = 1000;

private:
    std::unique_ptr<replication::StateMachine> m_machine;
    std::uint64_t m_index = 0;
};

/// Returns the result or failure in an encoded response.
Outcome<wire::BatchResult> unpackResult(const std::string &bytes);

wire::ItemSpec itemSpec(std::size_t index);

} // namespace rattanrill::batch
