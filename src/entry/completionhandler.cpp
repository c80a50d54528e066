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

/// How often a waiting answer looks whether its caller has gone or its key was withdrawn.
constexpr absl::Duration checkInterval = absl::Milliseconds(100);

} // namespace

/// An answer on its way to a caller. Its end withdraws the work if that still runs.
struct CompletionHandler::Running
{
    Running(WorkDispatcher &dispatcher, const Caller &caller, const CompletionRequest &request,
            const std::string &requestId, const Clock &clock)
        : dispatcher(dispatcher)
        , caller(caller)
        , labels{caller.workspace, request.model}
        , requestId(requestId)
        , format(request, requestId, absl::ToUnixSeconds(clock.wallNow()))
        , startedAt(clock.now())
        , answer(std::make_shared<AnswerStream>())
    {}

    ~Running()
    {
        answer->close();
        if (!ended)
            dispatcher.withdraw(task);
    }

    WorkDispatcher &dispatcher;
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

CompletionHandler::CompletionHandler(Parts parts, std::size_t maxBodyBytes,
                                     absl::Duration requestTimeout)
    : m_parts(parts)
    , m_maxBodyBytes(maxBodyBytes)
    , m_requestTimeout(requestTimeout)
{}

void CompletionHandler::handle(Exchange &exchange)
{
    const std::optional<Caller> caller = m_parts.admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<CompletionRequest> request = readRequest(exchange, *caller);
    if (!request.ok()) {
        exchange.sendFailure(request.failure());
        return;
    }
    exchange.labels().model = request.value().model;
    if (!m_parts.admission.admit(exchange, *caller))
        return;
    const std::shared_ptr<Running> running = start(exchange, *caller, request.value());
    if (request.value().stream)
        sendStream(exchange, running);
    else
        sendWhole(exchange, *running);
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
        return notRun(ErrorCode::InvalidRequest, "the request body contains the key");
    const auto view = m_parts.directory.view();
    if (!servesModel(*view, request.model))
        return notRun(ErrorCode::UnknownModel, concat("no engine serves \"", request.model, "\""));
    const std::int64_t nowMs = absl::ToUnixMillis(m_parts.clock.wallNow());
    if (view->quarantinedRequest(fingerprintOf(caller.workspace, request), nowMs))
        return notRun(ErrorCode::RequestQuarantined,
                      "the request crashed the upstreams that ran it");
    return Done{};
}

std::shared_ptr<CompletionHandler::Running>
CompletionHandler::start(Exchange &exchange, const Caller &caller, const CompletionRequest &request)
{
    auto running = std::make_shared<Running>(m_parts.dispatcher, caller, request,
                                             exchange.requestId(), m_parts.clock);
    m_parts.shares.note(caller.workspace);
    WorkOrder order;
    order.task = taskOf(caller.workspace, request, policy::TaskKind::Online);
    order.deadline = m_parts.clock.now() + m_requestTimeout;
    order.task.deadline = order.deadline;
    order.path = request.path;
    order.body = request.body;
    order.requestId = running->requestId;
    order.listener = running->answer;
    running->task = m_parts.dispatcher.submit(std::move(order));
    return running;
}

AnswerStream::Item CompletionHandler::next(Running &running,
                                           const std::function<bool()> &callerGone) const
{
    std::optional<AnswerStream::Item> item;
    while (!item) {
        item = running.answer->next(checkInterval);
        const std::optional<Failure> revoked = m_parts.admission.keys().revoked(running.caller);
        if (revoked)
            return AnswerFailure{*revoked, absl::ZeroDuration()};
        if (!item && callerGone())
            return AnswerFailure{mayHaveRun(ErrorCode::ClientDisconnected, "the caller has gone"),
                                 {}};
    }
    running.ended = !std::holds_alternative<engine::Token>(*item);
    if (running.ended)
        m_parts.metrics.tokens(running.labels, policy::TaskKind::Online, running.tokens);
    else
        noteToken(running);
    return std::move(*item);
}

void CompletionHandler::noteToken(Running &running) const
{
    const absl::Time now = m_parts.clock.now();
    if (running.tokens == 0)
        m_parts.metrics.firstToken(running.labels, now - running.startedAt);
    else
        m_parts.metrics.nextToken(running.labels, now - running.lastTokenAt);
    running.lastTokenAt = now;
    ++running.tokens;
}

void CompletionHandler::noteStreamEnd(const Running &running, const AnswerStream::Item &item) const
{
    std::optional<Failure> failure;
    if (const auto *failed = std::get_if<AnswerFailure>(&item))
        failure = failed->failure;
    m_parts.metrics.ended(running.labels, failure);
}

void CompletionHandler::sendWhole(Exchange &exchange, Running &running)
{
    const auto gone = [] { return CallerServer::connection().callerGone(); };
    std::string text;
    for (;;) {
        const AnswerStream::Item item = next(running, gone);
        if (const auto *token = std::get_if<engine::Token>(&item)) {
            text += token->text;
            continue;
        }
        if (const auto *end = std::get_if<engine::StreamSummary>(&item))
            exchange.sendJson(running.format.whole(text, *end));
        else if (const auto *failed = std::get_if<AnswerFailure>(&item))
            exchange.sendFailure(failed->failure, failed->retryAfter);
        return;
    }
}

void CompletionHandler::sendStream(Exchange &exchange, const std::shared_ptr<Running> &running)
{
    // The status line waits for the first item, so that a refusal has its own status.
    const auto gone = [] { return CallerServer::connection().callerGone(); };
    running->first = next(*running, gone);
    if (const auto *failed = std::get_if<AnswerFailure>(&*running->first)) {
        exchange.sendFailure(failed->failure, failed->retryAfter);
        return;
    }
    exchange.setStreamed();
    exchange.response().set_header("Cache-Control", "no-cache");
    exchange.response().set_chunked_content_provider(
            "text/event-stream", [this, running, gone](std::size_t, httplib::DataSink &sink) {
                AnswerStream::Item item =
                        running->first ? std::move(*running->first) : next(*running, gone);
                running->first.reset();
                if (!std::holds_alternative<engine::Token>(item))
                    noteStreamEnd(*running, item);
                std::string events;
                if (const auto *token = std::get_if<engine::Token>(&item))
                    events = running->format.tokenEvent(*token);
                else if (const auto *end = std::get_if<engine::StreamSummary>(&item))
                    events = running->format.endEvents(*end);
                else if (const auto *failed = std::get_if<AnswerFailure>(&item))
                    events = sseEvent(http::failureBody(failed->failure, running->requestId));
                if (!sink.write(events.data(), events.size()))
                    return false;
                if (!std::holds_alternative<engine::Token>(item))
                    sink.done();
                return true;
            });
}

} // namespace rattanrill::entry
