#include "scriptedengine.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <httplib.h>

#include <thread>

namespace rattanrill::entry {
namespace {

constexpr int serverThreads = 48;
constexpr absl::Duration waitLimit = absl::Seconds(10);

std::string hexadecimal(std::uint64_t value)
{
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4)
        *digit = "0123456789abcdef"[value & 15];
    return text;
}

std::string promptOf(const Json &body)
{
    if (body.contains("prompt"))
        return body.at("prompt").get<std::string>();
    std::string prompt;
    for (const Json &message : body.at("messages"))
        prompt += (prompt.empty() ? "" : "\n") + message.at("content").get<std::string>();
    return prompt;
}

} // namespace

std::string expectedToken(const std::string &prompt, std::uint64_t index)
{
    return " w" + hexadecimal(stableHash(prompt, index)).substr(0, 8);
}

std::string expectedText(const std::string &prompt, std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i)
        text += expectedToken(prompt, i);
    return text;
}

struct ScriptedEngine::Http
{
    httplib::Server server;
    std::thread thread;
    int port = 0;
};

struct ScriptedEngine::Stream
{
    std::string requestId;
    std::string prompt;
    bool chat = false;
    std::uint64_t first = 0;
    std::uint64_t next = 0;
    std::uint64_t end = 0;
};

ScriptedEngine::ScriptedEngine()
    : m_http(new Http)
{
    m_http->server.new_task_queue = [] { return new httplib::ThreadPool(serverThreads); };
    m_http->server.set_keep_alive_max_count(1);
    m_http->server.set_tcp_nodelay(true);
    addRoutes();
    m_http->port = m_http->server.bind_to_any_port("127.0.0.1");
    m_http->thread = std::thread([this] { m_http->server.listen_after_bind(); });
    // httplib ignores stop() before its listening thread runs.
    while (!m_http->server.is_running())
        std::this_thread::yield();
}

ScriptedEngine::~ScriptedEngine()
{
    stop();
}

int ScriptedEngine::port() const
{
    return m_http->port;
}

void ScriptedEngine::setScript(const Script &script)
{
    absl::MutexLock lock(&m_mutex);
    m_script = script;
}

void ScriptedEngine::resume()
{
    absl::MutexLock lock(&m_mutex);
    m_script.pauseAt.reset();
    m_script.pauseHealthChecks = false;
}

void ScriptedEngine::stop()
{
    m_http->server.stop();
    {
        // Set only after the server has stopped listening: a stream that breaks while the engine
        // still accepts connections does not count as a crash.
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
    }
    if (m_http->thread.joinable())
        m_http->thread.join();
}

std::vector<RecordedRequest> ScriptedEngine::requests() const
{
    absl::MutexLock lock(&m_mutex);
    return m_requests;
}

std::size_t ScriptedEngine::runs() const
{
    absl::MutexLock lock(&m_mutex);
    return m_runs;
}

bool ScriptedEngine::awaitAnnouncement()
{
    // An entry requests the next load report only after it has handled the last one.
    constexpr std::size_t reports = 2;
    absl::MutexLock lock(&m_mutex);
    const std::size_t count = m_announcements + reports;
    const auto enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_announcements >= count;
    };
    return m_mutex.AwaitWithTimeout(absl::Condition(&enough), waitLimit);
}

bool ScriptedEngine::awaitRuns(std::size_t count)
{
    absl::MutexLock lock(&m_mutex);
    const auto enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_runs >= count; };
    return m_mutex.AwaitWithTimeout(absl::Condition(&enough), waitLimit);
}

bool ScriptedEngine::awaitCancel()
{
    absl::MutexLock lock(&m_mutex);
    const auto any = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return !m_cancelled.empty(); };
    return m_mutex.AwaitWithTimeout(absl::Condition(&any), waitLimit);
}

bool ScriptedEngine::canContinue(const Stream &stream) const
{
    return m_stopped || !m_script.pauseAt || stream.next < *m_script.pauseAt
           || m_cancelled.count(stream.requestId) > 0;
}

/// Sets \a events to the next events of \a stream; returns false when the connection must be
/// closed.
bool ScriptedEngine::next(Stream &stream, std::string &events)
{
    absl::MutexLock lock(&m_mutex);
    const auto ready = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return canContinue(stream); };
    m_mutex.AwaitWithTimeout(absl::Condition(&ready), waitLimit);
    if (m_stopped)
        return false;
    const bool cancelled = m_cancelled.count(stream.requestId) > 0;
    const bool last = cancelled || stream.next >= stream.end;
    if (!last && m_script.disconnectAfter && m_script.disconnects > 0
        && stream.next - stream.first >= *m_script.disconnectAfter) {
        --m_script.disconnects;
        return false;
    }
    const std::string text = last ? "" : expectedToken(stream.prompt, stream.next);
    Json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (last)
        choice["finish_reason"] = cancelled ? "cancelled" : "length";
    if (stream.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    Json event = {{"request_id", m_script.wrongRequestId ? "another" : stream.requestId},
                  {"index", stream.next},
                  {"choices", Json::array({choice})}};
    if (last)
        event["usage"] = {{"prompt_tokens", 3}};
    events = "data: " + event.dump() + "\n\n";
    if (m_script.repeatTokens)
        events += events;
    if (last)
        events += "data: [DONE]\n\n";
    ++stream.next;
    return true;
}

void ScriptedEngine::awaitResume()
{
    absl::MutexLock lock(&m_mutex);
    const auto resumed = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopped || !m_script.pauseAt;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&resumed), waitLimit);
}

void ScriptedEngine::awaitHealthChecks()
{
    absl::MutexLock lock(&m_mutex);
    const auto resumed = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_stopped || !m_script.pauseHealthChecks;
    };
    m_mutex.AwaitWithTimeout(absl::Condition(&resumed), waitLimit);
}

bool ScriptedEngine::failsNow(const Script &script)
{
    constexpr std::uint64_t period = 3;
    absl::MutexLock lock(&m_mutex);
    return script.failInPart && m_failInPartRequests++ % period != 0;
}

void ScriptedEngine::addRoutes()
{
    const auto recordRequest = [this](const httplib::Request &request, bool run) {
        RecordedRequest recorded;
        recorded.path = request.path;
        recorded.rawText = request.target + "\n" + request.body;
        for (const auto &[name, value] : request.headers)
            recorded.rawText += "\n" + name + ": " + value;
        recorded.body = Json::parse(request.body, nullptr, false);
        absl::MutexLock lock(&m_mutex);
        m_requests.push_back(std::move(recorded));
        m_runs += run && !m_script.refuse ? 1 : 0;
        return m_script;
    };
    const auto complete = [this, recordRequest](const httplib::Request &request,
                                                httplib::Response &response) {
        const Script script = recordRequest(request, true);
        if (script.refuse) {
            response.status = 503;
            response.set_content(R"({"error":{"code":"upstream_busy","run":"not_run"}})",
                                 "application/json");
            return;
        }
        if (failsNow(script)) {
            response.status = 500;
            return;
        }
        const Json body = Json::parse(request.body);
        if (!script.failResumed.empty() && body.value("resume_after", 0) > 0) {
            response.status = 500;
            response.set_content(script.failResumed, "text/event-stream");
            return;
        }
        auto stream = std::make_shared<Stream>();
        stream->requestId = body.at("request_id");
        stream->prompt = promptOf(body);
        stream->chat = body.contains("messages");
        stream->first = body.value("resume_after", 0);
        stream->next = stream->first;
        stream->end = body.value("max_tokens", 4);
        {
            absl::MutexLock lock(&m_mutex);
            ++m_running;
        }
        response.set_chunked_content_provider(
                "text/event-stream",
                [this, stream](std::size_t, httplib::DataSink &sink) {
                    std::string events;
                    if (!next(*stream, events))
                        return false;
                    if (!sink.write(events.data(), events.size()))
                        return false;
                    if (events.find("[DONE]") != std::string::npos)
                        sink.done();
                    return true;
                },
                [this](bool) {
                    absl::MutexLock lock(&m_mutex);
                    --m_running;
                });
    };
    httplib::Server &server = m_http->server;
    server.set_post_routing_handler(
            [this](const httplib::Request &request, httplib::Response &response) {
                absl::MutexLock lock(&m_mutex);
                if (!m_script.leaving)
                    return;
                response.set_header("X-Rattanrill-Leaving", "1");
                m_announcements +=
                        request.path == "/engine/load" || request.path == "/service/load" ? 1 : 0;
            });
    server.Post("/v1/completions", complete);
    server.Post("/v1/chat/completions", complete);
    server.Post("/engine/cancel",
                [this](const httplib::Request &request, httplib::Response &response) {
                    absl::MutexLock lock(&m_mutex);
                    m_cancelled[Json::parse(request.body).at("request_id")] = true;
                    response.set_content(R"({"cancelled":true,"tokens":0})", "application/json");
                });
    server.Get("/engine/load", [this](const httplib::Request &, httplib::Response &response) {
        absl::MutexLock lock(&m_mutex);
        const Json load = {{"running", m_running},
                           {"waiting", 0},
                           {"kv_tokens", 0},
                           {"kv_capacity_tokens", 100000},
                           {"max_batch", m_script.maxBatch},
                           {"age_ms", 0}};
        response.set_content(load.dump(), "application/json");
    });
    server.Get("/engine/cache_events", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"events":[],"next":0})", "application/json");
    });
    server.Get("/service/load", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"running":0,"capacity":8,"age_ms":0})", "application/json");
    });
    server.Get("/healthz", [this](const httplib::Request &, httplib::Response &response) {
        awaitHealthChecks();
        response.set_content("{}", "application/json");
    });
    const auto serve = [this, recordRequest](const httplib::Request &request,
                                             httplib::Response &response) {
        const Script script = recordRequest(request, true);
        awaitResume();
        if (script.abortResponses) {
            response.set_chunked_content_provider(
                    "application/json", [](std::size_t, httplib::DataSink &) { return false; });
            return;
        }
        const Json answer = {{"request_id", script.wrongRequestId
                                                    ? std::string("another")
                                                    : request.get_header_value("X-Request-Id")},
                             {"path", request.path}};
        response.status = failsNow(script) ? 500 : 200;
        response.set_content(answer.dump(), "application/json");
    };
    server.Post("/desk.*", serve);
    server.Get("/desk.*", serve);
}

} // namespace rattanrill::entry
