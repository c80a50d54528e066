#pragma once

#include "answerwriter.h"
#include "fakehttpserver.h"
#include "rattanrill/fakes/enginerunner.h"

namespace rattanrill::fakes {

/// HTTP interface of the fake engine (docs/upstream-protocol.md).
class EngineServer
{
public:
    EngineServer(FakeHttpServer &server, EngineRunner &runner, Faults &faults, RequestLog &records,
                 const Clock &clock = SystemClock::instance());

private:
    using Handler = void (EngineServer::*)(const httplib::Request &, httplib::Response &);

    /// Wraps \a handler so that it runs only after a freeze has ended.
    httplib::Server::Handler waitingWhileFrozen(Handler handler);
    void addCompletionRoutes();
    void addEngineRoutes();
    void addManagementRoutes();

    void completions(const httplib::Request &request, httplib::Response &response);
    void chatCompletions(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void exportKv(const httplib::Request &request, httplib::Response &response);
    void load(const httplib::Request &request, httplib::Response &response);
    void cacheEvents(const httplib::Request &request, httplib::Response &response);
    void handleCommand(const httplib::Request &request, httplib::Response &response);
    void health(const httplib::Request &request, httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);

    void handleCompletion(const httplib::Request &request, httplib::Response &response, bool chat);
    Result<void> startCompletion(const httplib::Request &request, httplib::Response &response,
                                 bool chat);
    Result<Json> executeCommand(const httplib::Request &request, std::int64_t seq, int &status);
    /// Waits for the next event for a limited time and sends it. Returns false when the connection
    /// is to be closed.
    bool sendNextEvent(EngineEventQueue &queue, AnswerWriter &writer, httplib::DataSink &sink);

    FakeHttpServer &m_server;
    EngineRunner &m_runner;
    Faults &m_faults;
    RequestLog &m_records;
    const Clock &m_clock;
};

} // namespace rattanrill::fakes
