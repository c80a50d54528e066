#include "engineserver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/fakes/answer.h"
#include "rattanrill/http/serversetup.h"

#include <utility>

namespace rattanrill::fakes {
namespace {

/// Interval at which a stream without events checks whether its client has disconnected.
constexpr absl::Duration clientCheckPeriod = absl::Milliseconds(100);
constexpr std::size_t generatedIdBytes = 8;

Result<EngineRequest> engineRequest(const Json &body)
{
    EngineRequest request;
    BOOST_LEAF_ASSIGN(request.prompt, promptOf(body));
    BOOST_LEAF_ASSIGN(request.model, jsonMember<std::string>(body, "model"));
    BOOST_LEAF_ASSIGN(request.maxTokens, jsonMemberOr(body, "max_tokens", request.maxTokens));
    BOOST_LEAF_ASSIGN(request.resumeAfter, jsonMemberOr<std::int64_t>(body, "resume_after", 0));
    BOOST_LEAF_ASSIGN(request.kvHandle, jsonMemberOr<std::string>(body, "kv_handle", ""));
    BOOST_LEAF_ASSIGN(request.requestId, jsonMemberOr<std::string>(body, "request_id", ""));
    if (request.requestId.empty())
        request.requestId = "fake-" + randomHex(generatedIdBytes);
    if (request.maxTokens < 1)
        return fail(notRun(ErrorCode::InvalidRequest, "\"max_tokens\" must be at least 1"));
    if (request.resumeAfter < 0 || request.resumeAfter > request.maxTokens)
        return fail(notRun(ErrorCode::InvalidRequest,
                           "\"resume_after\" must be from 0 to \"max_tokens\""));
    return request;
}

std::string requestIdOf(const httplib::Request &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    const auto id = outcomeOf([&] { return jsonMemberOr<std::string>(body, "request_id", ""); });
    return id.ok() ? id.value() : std::string();
}

Json toJson(const CacheEvent &event)
{
    const bool stored = event.change.kind == PrefixChange::Kind::Stored;
    return {{"seq", event.seq},
            {"kind", stored ? "stored" : "evicted"},
            {"prefix_hash", event.change.prefixHash},
            {"tokens", event.change.tokens}};
}

Result<EngineCommand> commandOf(const std::string &text)
{
    BOOST_LEAF_AUTO(body, parseJson(text, "body"));
    EngineCommand command;
    BOOST_LEAF_AUTO(kind, jsonMember<std::string>(body, "kind"));
    BOOST_LEAF_ASSIGN(command.kind, engineCommandKindFromName(kind));
    BOOST_LEAF_ASSIGN(command.name, jsonMember<std::string>(body, "name"));
    BOOST_LEAF_ASSIGN(command.fence, jsonMember<std::int64_t>(body, "fence"));
    return command;
}

} // namespace

EngineServer::EngineServer(FakeHttpServer &server, EngineRunner &runner, Faults &faults,
                           RequestLog &records, const Clock &clock)
    : m_server(server)
    , m_runner(runner)
    , m_faults(faults)
    , m_records(records)
    , m_clock(clock)
{
    addCompletionRoutes();
    addEngineRoutes();
    addManagementRoutes();
    m_server.announceLeaving(m_faults);
}

httplib::Server::Handler EngineServer::waitingWhileFrozen(Handler handler)
{
    return [this, handler](const httplib::Request &request, httplib::Response &response) {
        m_faults.waitWhileFrozen(m_clock.now());
        (this->*handler)(request, response);
    };
}

void EngineServer::addCompletionRoutes()
{
    m_server.Post("/v1/completions", waitingWhileFrozen(&EngineServer::completions));
    m_server.Post("/v1/chat/completions", waitingWhileFrozen(&EngineServer::chatCompletions));
    m_server.Post("/engine/cancel", waitingWhileFrozen(&EngineServer::cancel));
    m_server.Post("/engine/kv/export", waitingWhileFrozen(&EngineServer::exportKv));
}

void EngineServer::addEngineRoutes()
{
    m_server.Get("/engine/load", waitingWhileFrozen(&EngineServer::load));
    m_server.Get("/engine/cache_events", waitingWhileFrozen(&EngineServer::cacheEvents));
    m_server.Post("/engine/orders", waitingWhileFrozen(&EngineServer::handleCommand));
    m_server.Get("/healthz", waitingWhileFrozen(&EngineServer::health));
}

void EngineServer::addManagementRoutes()
{
    // These handlers do not wait for the end of a freeze: tests read the records and set faults
    // while the fake is frozen.
    m_server.Get("/records", [this](const httplib::Request &request, httplib::Response &response) {
        sendRecords(m_records, request, response);
    });
    m_server.Post("/faults", [this](const httplib::Request &request, httplib::Response &response) {
        setFaults(request, response);
    });
}

void EngineServer::completions(const httplib::Request &request, httplib::Response &response)
{
    handleCompletion(request, response, false);
}

void EngineServer::chatCompletions(const httplib::Request &request, httplib::Response &response)
{
    handleCompletion(request, response, true);
}

void EngineServer::handleCompletion(const httplib::Request &request, httplib::Response &response,
                                    bool chat)
{
    const auto started = outcomeOf([&] { return startCompletion(request, response, chat); });
    if (!started.ok())
        http::sendFailure(response, started.failure(), requestIdOf(request));
}

Result<void> EngineServer::startCompletion(const httplib::Request &request,
                                           httplib::Response &response, bool chat)
{
    const std::int64_t seq = m_records.add(recordOf(request, requestIdOf(request)));
    if (m_faults.state().rejectRequests)
        return fail(notRun(ErrorCode::UpstreamBusy, "request refused by an injected fault"));
    BOOST_LEAF_AUTO(body, parseJson(request.body, "body"));
    BOOST_LEAF_AUTO(engineRequest, fakes::engineRequest(body));
    BOOST_LEAF_AUTO(stream, jsonMemberOr(body, "stream", false));
    const std::string id = engineRequest.requestId;
    BOOST_LEAF_AUTO(events, m_runner.submit(std::move(engineRequest), seq));
    auto writer = std::make_shared<AnswerWriter>(ResponseFormat{chat, stream});
    response.set_chunked_content_provider(
            stream ? "text/event-stream" : "application/json",
            [this, events = events, writer](std::size_t, httplib::DataSink &sink) {
                return sendNextEvent(*events, *writer, sink);
            },
            // Cancels the request when the client has disconnected. After a normal end the id is
            // unknown, and the call has no effect.
            [this, id](bool) { m_runner.cancel(id); });
    return {};
}

bool EngineServer::sendNextEvent(EngineEventQueue &queue, AnswerWriter &writer,
                                 httplib::DataSink &sink)
{
    const auto delivered = queue.pop(m_clock, clientCheckPeriod);
    m_faults.waitWhileFrozen(m_clock.now());
    if (!delivered)
        return sink.is_writable();
    const std::int64_t cutAfter = m_faults.state().cutAfterTokens;
    if (cutAfter > 0 && writer.tokens() >= cutAfter)
        return false;
    const std::string bytes = writer.write(*delivered);
    if (!bytes.empty() && !sink.write(bytes.data(), bytes.size()))
        return false;
    if (writer.finished())
        sink.done();
    return true;
}

void EngineServer::cancel(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = requestIdOf(request);
    m_records.add(recordOf(request, id));
    const auto tokens = m_runner.cancel(id);
    sendJson(response, {{"cancelled", tokens.has_value()}, {"tokens", tokens.value_or(0)}});
}

void EngineServer::exportKv(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = requestIdOf(request);
    m_records.add(recordOf(request, id));
    const auto kvExport = m_runner.exportKv(id);
    if (!kvExport) {
        http::sendFailure(response,
                          notRun(ErrorCode::NotFound, "no waiting or running request has this id"),
                          id);
        return;
    }
    sendJson(response, {{"kv_handle", kvExport->handle}, {"tokens", kvExport->tokens}});
}

void EngineServer::load(const httplib::Request & /*request*/, httplib::Response &response)
{
    const LoadSample load = m_runner.load();
    const EngineModelSettings &settings = m_runner.settings();
    sendJson(response, {{"running", load.running},
                        {"waiting", load.waiting},
                        {"kv_tokens", load.kvTokens},
                        {"kv_capacity_tokens", settings.limits.kvCapacityTokens},
                        {"max_batch", settings.limits.maxBatch},
                        {"age_ms", absl::ToInt64Milliseconds(settings.timings.loadReportLag)}});
}

void EngineServer::cacheEvents(const httplib::Request &request, httplib::Response &response)
{
    const CacheEventPage page = m_runner.cacheEvents(numberParam(request, "after"));
    Json events = Json::array();
    for (const CacheEvent &event : page.events)
        events.push_back(toJson(event));
    sendJson(response, {{"events", events}, {"next", page.next}});
}

void EngineServer::handleCommand(const httplib::Request &request, httplib::Response &response)
{
    const std::int64_t seq = m_records.add(recordOf(request, requestIdOf(request)));
    const auto body = outcomeOf([&] { return executeCommand(request, seq, response.status); });
    if (body.ok())
        sendJson(response, body.value());
    else
        http::sendFailure(response, body.failure(), requestIdOf(request));
}

Result<Json> EngineServer::executeCommand(const httplib::Request &request, std::int64_t seq,
                                          int &status)
{
    BOOST_LEAF_AUTO(command, commandOf(request.body));
    const EngineCommandResult result = m_runner.execute(command);
    status = result.accepted ? 200 : httpStatus(ErrorCode::StaleFencingToken);
    if (result.accepted)
        m_records.markStarted(seq);
    return Json{{"accepted", result.accepted}, {"fence", result.fence}};
}

void EngineServer::health(const httplib::Request & /*request*/, httplib::Response &response)
{
    sendJson(response, {{"status", "ok"}});
}

void EngineServer::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const auto set = outcomeOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(body, parseJson(request.body, "body"));
        return m_faults.set(body, m_clock.now());
    });
    if (!set.ok()) {
        http::sendFailure(response, set.failure(), "");
        return;
    }
    m_runner.applyFaults();
    sendJson(response, {{"set", true}});
}

} // namespace rattanrill::fakes
