#include "callerclient.h"

#include "answerclassifier.h"
#include "rattanrill/base/concat.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <httplib.h>

#include <utility>
#include <vector>

namespace rattanrill::load {
namespace {

using ClientPointer = std::unique_ptr<httplib::Client>;

/// Collects a response and records the arrival times of its tokens.
class ResponseCollector
{
public:
    ResponseCollector(const Clock &clock, bool stream)
        : m_clock(clock)
        , m_stream(stream)
        , m_sendTime(clock.now())
        , m_lastTokenTime(m_sendTime)
    {}

    void setStatus(int status) { m_status = status; }
    void append(std::string_view bytes);
    void finish(const PlannedRequest &request, bool intact, RequestOutcome &outcome);

private:
    bool isEventStream() const { return m_stream && m_status == 200; }

    const Clock &m_clock;
    bool m_stream;
    int m_status = 0;
    absl::Time m_sendTime;
    absl::Time m_lastTokenTime;
    std::optional<absl::Duration> m_timeToFirstToken;
    std::vector<absl::Duration> m_timesBetweenTokens;
    std::string m_body;
    StreamReader m_reader;
};

void ResponseCollector::append(std::string_view bytes)
{
    if (!isEventStream()) {
        m_body += bytes;
        return;
    }
    for (int tokens = m_reader.feed(bytes); tokens > 0; --tokens) {
        const absl::Time now = m_clock.now();
        if (m_timeToFirstToken)
            m_timesBetweenTokens.push_back(now - m_lastTokenTime);
        else
            m_timeToFirstToken = now - m_sendTime;
        m_lastTokenTime = now;
    }
}

void ResponseCollector::finish(const PlannedRequest &request, bool intact, RequestOutcome &outcome)
{
    outcome.status = m_status;
    outcome.timeToFirstToken = m_timeToFirstToken;
    outcome.timeBetweenTokens = std::move(m_timesBetweenTokens);
    if (isEventStream())
        classifyStream(request, m_reader, intact, outcome);
    else if (!intact)
        outcome.type = m_status == 0 ? OutcomeType::Failed : OutcomeType::Disconnected;
    else if (m_status != 200)
        classifyErrorResponse(m_body, outcome);
    else if (request.kind == RequestKind::Service)
        classifyServiceResponse(request, m_body, outcome);
    else
        classifyCompletion(request, m_body, outcome);
}

httplib::Headers headersOf(const PlannedRequest &request)
{
    httplib::Headers headers = {{"X-Request-Id", request.requestId},
                                {"Content-Type", "application/json"}};
    if (!request.key.empty())
        headers.emplace("Authorization", "Bearer " + request.key);
    if (!request.idempotencyKey.empty())
        headers.emplace("Idempotency-Key", request.idempotencyKey);
    return headers;
}

httplib::Request httpRequest(const PlannedRequest &request, ResponseCollector &collector)
{
    httplib::Request http;
    http.method = request.method;
    http.path = request.path;
    http.headers = headersOf(request);
    http.body = request.body;
    http.response_handler = [&](const httplib::Response &response) {
        collector.setStatus(response.status);
        return true;
    };
    http.content_receiver = [&](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        collector.append(std::string_view(data, size));
        return true;
    };
    return http;
}

/// A failed request may be resent when it was not executed or has an Idempotency-Key.
bool mayResend(const PlannedRequest &request, const RequestOutcome &outcome)
{
    if (outcome.type == OutcomeType::Completed || isWrong(outcome.type))
        return false;
    return outcome.effectState == name(EffectState::NotRun) || !request.idempotencyKey.empty();
}

} // namespace

struct CallerClient::State
{
    State(const LoadPlan &plan, const Clock &clock)
        : plan(plan)
        , clock(clock)
        , idle(plan.targets.size())
    {}

    ClientPointer acquire(std::size_t target);
    void release(std::size_t target, ClientPointer client);

    const LoadPlan &plan;
    const Clock &clock;
    absl::Mutex mutex;
    std::vector<std::vector<ClientPointer>> idle ABSL_GUARDED_BY(mutex);
};

ClientPointer CallerClient::State::acquire(std::size_t target)
{
    {
        absl::MutexLock lock(&mutex);
        std::vector<ClientPointer> &clients = idle[target];
        if (!clients.empty()) {
            ClientPointer client = std::move(clients.back());
            clients.pop_back();
            return client;
        }
    }
    auto client = std::make_unique<httplib::Client>(plan.targets[target]);
    client->set_keep_alive(!plan.newConnections);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(absl::ToChronoMilliseconds(plan.timeout));
    client->set_read_timeout(absl::ToChronoMilliseconds(plan.timeout));
    client->set_write_timeout(absl::ToChronoMilliseconds(plan.timeout));
    return client;
}

void CallerClient::State::release(std::size_t target, ClientPointer client)
{
    if (plan.newConnections)
        return;
    absl::MutexLock lock(&mutex);
    idle[target].push_back(std::move(client));
}

CallerClient::CallerClient(const LoadPlan &plan, const Clock &clock)
    : m_state(std::make_unique<State>(plan, clock))
{}

CallerClient::~CallerClient() = default;

RequestOutcome CallerClient::perform(const PlannedRequest &request)
{
    const std::size_t targets = m_state->plan.targets.size();
    const absl::Time begin = m_state->clock.wallNow();
    RequestOutcome outcome = sendOnce(request, request.target);
    for (int resend = 1; resend <= request.resends && mayResend(request, outcome); ++resend) {
        outcome = sendOnce(request, (request.target + static_cast<std::size_t>(resend)) % targets);
        outcome.sends = resend + 1;
    }
    outcome.begin = begin;
    outcome.end = m_state->clock.wallNow();
    return outcome;
}

RequestOutcome CallerClient::sendOnce(const PlannedRequest &request, std::size_t target)
{
    RequestOutcome outcome;
    outcome.kind = request.kind;
    outcome.workspace = request.workspace;
    outcome.requestId = request.requestId;
    outcome.target = m_state->plan.targets[target];
    ClientPointer client = m_state->acquire(target);
    ResponseCollector collector(m_state->clock, request.kind == RequestKind::Stream);
    const httplib::Result result = client->send(httpRequest(request, collector));
    if (!result)
        outcome.detail = httplib::to_string(result.error());
    collector.finish(request, bool(result), outcome);
    if (result && result->has_header("X-Request-Id"))
        outcome.responseRequestId = result->get_header_value("X-Request-Id");
    if (result)
        m_state->release(target, std::move(client));
    return outcome;
}

Result<HttpResponse> CallerClient::sendBatchRequest(std::size_t target, const std::string &method,
                                                    const std::string &path, const std::string &key,
                                                    const std::string &body,
                                                    const std::string &contentType,
                                                    const std::string &idempotencyKey)
{
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = {{"Authorization", "Bearer " + key}};
    if (!contentType.empty())
        request.headers.emplace("Content-Type", contentType);
    if (!idempotencyKey.empty())
        request.headers.emplace("Idempotency-Key", idempotencyKey);
    ClientPointer client = m_state->acquire(target);
    const httplib::Result result = client->send(request);
    if (!result)
        return fail(
                mayHaveRun(ErrorCode::ConnectionLost,
                           concat(method, " ", path, ": ", httplib::to_string(result.error()))));
    HttpResponse response{result->status, result->body};
    m_state->release(target, std::move(client));
    return response;
}

} // namespace rattanrill::load
