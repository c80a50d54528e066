#include "completionhandler.h"

#include "callerserver.h"
#include "completionformat.h"
#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/http/serversetup.h"
#include "rattanrill/service/credentials.h"

namespace rattanrill::entry {
namespace {

/// Interval at which a request that waits for its answer checks whether the caller has disconnected
/// or the key was withdrawn.
constexpr absl::Duration checkInterval = absl::Milliseconds(100);

} // namespace

/// A request whose answer is being sent. The destructor cancels the task if it is still running.
struct CompletionHandler::RunningRequest
{
    RunningRequest(TaskDispatcher &dispatcher, const Caller &caller,
                   const CompletionRequest &request, const std::string &requestId,
                   const Clock &clock)
        : dispatcher(dispatcher)
        , caller(caller)
        , labels{caller.workspace, request.model}
        , requestId(requestId)
        , format(request, requestId, absl::ToUnixSeconds(clock.wallNow()))
        , startedAt(clock.now())
        , answer(std::make_shared<AnswerStream>())
    {}

    ~RunningRequest()
    {
        answer->close();
        if (!ended)
            dispatcher.cancel(task);
    }

    TaskDispatcher &dispatcher;
    Caller caller;
    RequestLabels labels;
    std::string requestId;
    CompletionFormat format;
    absl::Time startedAt;
    std::shared_ptr<AnswerStream> answer;
    policy::TaskId task = 0;
    std::optional<AnswerStream::Item> first;
    std::uint64_t tokens = 0;
    absl::Time lastTokenAt;
    bool ended = false;
};

CompletionHandler::CompletionHandler(Context context, std::size_t maxBodyBytes,
                                     absl::Duration requestTimeout)
    : m_context(context)
    , m_maxBodyBytes(maxBodyBytes)
    , m_requestTimeout(requestTimeout)
{}

void CompletionHandler::handle(Exchange &exchange)
{
    const std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<CompletionRequest> request = readRequest(exchange, *caller);
    if (!request.ok()) {
        exchange.sendFailure(request.failure());
        return;
    }
    exchange.labels().model = request.value().model;
    if (!m_context.admission.admit(exchange, *caller))
        return;
    const std::shared_ptr<RunningRequest> running = start(exchange, *caller, request.value());
    if (request.value().stream)
        sendStream(exchange, running);
    else
        sendAnswer(exchange, *running);
}

Outcome<CompletionRequest> CompletionHandler::readRequest(Exchange &exchange,
                                                          const Caller &caller) const
{
    const Outcome<std::string> body = exchange.readBody(m_maxBodyBytes);
    if (!body.ok())
        return body.failure();
    Outcome<CompletionRequest> request =
            outcomeOf([&] { return parseCompletion(exchange.path(), body.value()); });
    if (!request.ok())
        return request;
    const Outcome<Done> checked = check(request.value(), caller);
    if (!checked.ok())
        return checked.failure();
    return request;
}

Outcome<Done> CompletionHandler::check(const CompletionRequest &request, const Caller &caller) const
{
    if (service::containsApiKey(request.body, caller.key))
        return notRun(ErrorCode::InvalidRequest, "the request body contains the API key");
    const auto view = m_context.directory.view();
    if (!servesModel(*view, request.model))
        return notRun(ErrorCode::UnknownModel, concat("no engine serves \"", request.model, "\""));
    const std::int64_t nowMs = absl::ToUnixMillis(m_context.clock.wallNow());
    if (view->quarantinedRequest(fingerprintOf(caller.workspace, request), nowMs))
        return notRun(ErrorCode::RequestQuarantined,
                      "the request crashed the upstreams that ran it");
    return Done{};
}

std::shared_ptr<CompletionHandler::RunningRequest>
CompletionHandler::start(Exchange &exchange, const Caller &caller, const CompletionRequest &request)
{
    auto running = std::make_shared<RunningRequest>(m_context.dispatcher, caller, request,
                                                    exchange.requestId(), m_context.clock);
    m_context.shares.registerWorkspace(caller.workspace);
    TaskSubmission submission;
    submission.task = taskOf(caller.workspace, request, policy::TaskKind::Online);
    submission.deadline = m_context.clock.now() + m_requestTimeout;
    submission.task.deadline = submission.deadline;
    submission.path = request.path;
    submission.body = request.body;
    submission.requestId = running->requestId;
    submission.listener = running->answer;
    running->task = m_context.dispatcher.submit(std::move(submission));
    return running;
}

AnswerStream::Item CompletionHandler::next(RunningRequest &running,
                                           const std::function<bool()> &callerDisconnected) const
{
    std::optional<AnswerStream::Item> item;
    while (!item) {
        item = running.answer->next(checkInterval);
        const std::optional<Failure> revoked = m_context.admission.keys().revoked(running.caller);
        if (revoked)
            return AnswerFailure{*revoked, absl::ZeroDuration()};
        const bool isLast = item && !std::holds_alternative<engine::Token>(*item);
        if (!isLast && m_context.shutdown.hasPassed())
            return AnswerFailure{mayHaveRun(ErrorCode::Draining,
                                            "this instance stopped before the answer ended"),
                                 absl::Seconds(1)};
        if (!item && callerDisconnected())
            return AnswerFailure{
                    mayHaveRun(ErrorCode::ClientDisconnected, "the client closed the connection"),
                    {}};
    }
    running.ended = !std::holds_alternative<engine::Token>(*item);
    if (running.ended)
        m_context.metrics.tokens(running.labels, policy::TaskKind::Online, running.tokens);
    else
        recordToken(running);
    return std::move(*item);
}

void CompletionHandler::recordToken(RunningRequest &running) const
{
    const absl::Time now = m_context.clock.now();
    if (running.tokens == 0)
        m_context.metrics.firstToken(running.labels, now - running.startedAt);
    else
        m_context.metrics.nextToken(running.labels, now - running.lastTokenAt);
    running.lastTokenAt = now;
    ++running.tokens;
}

void CompletionHandler::recordStreamEnd(const RunningRequest &running,
                                        const AnswerStream::Item &item) const
{
    std::optional<Failure> failure;
    if (const auto *failed = std::get_if<AnswerFailure>(&item))
        failure = failed->failure;
    m_context.metrics.ended(running.labels, failure);
}

void CompletionHandler::sendAnswer(Exchange &exchange, RunningRequest &running)
{
    const auto callerDisconnected = [] { return CallerServer::connection().callerDisconnected(); };
    std::string text;
    for (;;) {
        const AnswerStream::Item item = next(running, callerDisconnected);
        if (const auto *token = std::get_if<engine::Token>(&item)) {
            text += token->text;
            continue;
        }
        if (const auto *end = std::get_if<engine::StreamSummary>(&item))
            exchange.sendJson(running.format.answerJson(text, *end));
        else if (const auto *failed = std::get_if<AnswerFailure>(&item))
            exchange.sendFailure(failed->failure, failed->retryAfter);
        return;
    }
}

void CompletionHandler::sendStream(Exchange &exchange,
                                   const std::shared_ptr<RunningRequest> &running)
{
    // The status code is sent only when the first item is known, so that a failure can have its own
    // status code.
    const auto callerDisconnected = [] { return CallerServer::connection().callerDisconnected(); };
    running->first = next(*running, callerDisconnected);
    if (const auto *failed = std::get_if<AnswerFailure>(&*running->first)) {
        exchange.sendFailure(failed->failure, failed->retryAfter);
        return;
    }
    exchange.setStreamed();
    exchange.response().set_header("Cache-Control", "no-cache");
    exchange.response().set_chunked_content_provider(
            "text/event-stream",
            [this, running, callerDisconnected](std::size_t, httplib::DataSink &sink) {
                AnswerStream::Item item = running->first ? std::move(*running->first)
                                                         : next(*running, callerDisconnected);
                running->first.reset();
                if (!std::holds_alternative<engine::Token>(item))
                    recordStreamEnd(*running, item);
                std::string events;
                if (const auto *token = std::get_if<engine::Token>(&item))
                    events = running->format.tokenEvent(*token);
                else if (const auto *end = std::get_if<engine::StreamSummary>(&item))
                    events = running->format.endEvents(*end);
                else if (const auto *failed = std::get_if<AnswerFailure>(&item))
                    events = sseEvent(http::errorBody(failed->failure, running->requestId));
                if (!sink.write(events.data(), events.size()))
                    return false;
                if (!std::holds_alternative<engine::Token>(item))
                    sink.done();
                return true;
            });
}

} // namespace rattanrill::entry
