#pragma once

#include "admission.h"
#include "batchrequest.h"
#include "claims.h"
#include "exchange.h"
#include "partitions.h"

#include "rattanrill/directory/directorysubscriber.h"

#include <string>

namespace rattanrill::entry {

/// Serves POST and GET /v1/batches, GET /v1/batches/{id} and POST /v1/batches/{id}/cancel.
class BatchHandler
{
public:
    struct Context
    {
        const Admission &admission;
        const directory::DirectorySubscriber &directory;
        Partitions &partitions;
        Claims &claims;
        const Clock &clock;
    };

    BatchHandler(Context context, std::size_t maxBodyBytes);

    void create(Exchange &exchange);
    void list(Exchange &exchange);
    void describe(Exchange &exchange, const std::string &id);
    void cancel(Exchange &exchange, const std::string &id);

private:
    Outcome<std::string> createBatch(Exchange &exchange, const Caller &caller);
    Outcome<std::string> createClaimed(const Caller &caller, const BatchRequest &request,
                                       const ClaimKey &key);
    Outcome<std::string> createJob(const Caller &caller, const BatchRequest &request,
                                   const std::string &idempotencyKey);

    Context m_context;
    std::size_t m_maxBodyBytes;
};

} // namespace rattanrill::entry
