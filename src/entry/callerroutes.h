#pragma once

#include "batchhandler.h"
#include "callerserver.h"
#include "completionhandler.h"
#include "filehandler.h"
#include "servicehandler.h"

#include "rattanrill/base/metrics.h"

#include <functional>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Maps methods and paths of the caller interface to handlers.
class CallerRoutes
{
public:
    struct Context
    {
        CompletionHandler &completions;
        FileHandler &files;
        BatchHandler &batches;
        ServiceHandler &services;
        const Admission &admission;
        const directory::DirectorySubscriber &directory;
        Metrics &metrics;
        RequestMetrics &requestMetrics;
        const ShutdownDeadline &shutdown;
        /// Reason why this instance is not ready; empty when it is ready.
        std::function<std::string()> unreadyReason;
        /// Called before metrics are rendered.
        std::function<void()> refreshMetrics;
    };

    explicit CallerRoutes(Context context);

    /// Registers the handlers on \a server. To be called before the server starts.
    void install(httplib::Server &server);

private:
    struct Row
    {
        std::string_view method;
        /// "*" stands for one segment, which is passed to the handler.
        std::string_view pattern;
        void (CallerRoutes::*handler)(Exchange &exchange, const std::string &id);
    };

    static const std::vector<Row> &rows();
    void handle(const httplib::Request &request, httplib::Response &response,
                const httplib::ContentReader *reader);
    void dispatch(Exchange &exchange);
    void complete(Exchange &exchange, const std::string &id);
    void listModels(Exchange &exchange, const std::string &id);
    void upload(Exchange &exchange, const std::string &id);
    void describeFile(Exchange &exchange, const std::string &id);
    void fileContent(Exchange &exchange, const std::string &id);
    void createBatch(Exchange &exchange, const std::string &id);
    void listBatches(Exchange &exchange, const std::string &id);
    void describeBatch(Exchange &exchange, const std::string &id);
    void cancelBatch(Exchange &exchange, const std::string &id);
    void health(Exchange &exchange, const std::string &id);
    void ready(Exchange &exchange, const std::string &id);
    void metrics(Exchange &exchange, const std::string &id);

    Context m_context;
};

} // namespace rattanrill::entry
