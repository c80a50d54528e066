#include "rattanrill/engine/engineclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "streamreader.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/base/upstreamprotocol.h"
#include "rattanrill/net/blockingcall.h"

#include <algorithm>
#include <atomic>
#include <charconv>

namespace rattanrill::engine {
namespace {

/// Maximum size of the body of an error response. A longer one ends the call.
constexpr std::size_t maxErrorBytes = 64u << 10;
/// Maximum size of the response to a call other than stream().
constexpr std::size_t maxResponseBytes = std::size_t(4) << 20;
constexpr int statusOk = 200;

/// Returns the "error" object of an error response; null when \a body contains none.
Json errorOf(const std::string &body)
{
    const Json response = Json::parse(body, nullptr, false);
    if (!response.is_object())
        return {};
    const auto error = response.find("error");
    return error != response.end() && error->is_object() ? *error : Json();
}

ErrorCode codeOfStatus(int status)
{
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    if (status == badRequest)
        return ErrorCode::InvalidRequest;
    if (status == notFound)
        return ErrorCode::UnknownModel;
    return status == unavailable ? ErrorCode::UpstreamBusy : ErrorCode::UpstreamFailed;
}

void checkLeaving(const EngineOptions &options, const net::ResponseHead &head)
{
    if (options.onLeaving && head.headers.value(leavingHeader) == leavingValue)
        options.onLeaving();
}

Result<CacheEvent> cacheEventOf(const Json &row)
{
    CacheEvent event;
    BOOST_LEAF_AUTO(sequence, jsonMember<std::int64_t>(row, "seq"));
    BOOST_LEAF_AUTO(kind, jsonMember<std::string>(row, "kind"));
    BOOST_LEAF_AUTO(hash, jsonMember<std::string>(row, "prefix_hash"));
    BOOST_LEAF_ASSIGN(event.tokens, jsonMemberOr<std::int64_t>(row, "tokens", 0));
    event.sequence = static_cast<std::uint64_t>(sequence);
    event.stored = kind == "stored";
    constexpr int hexadecimal = 16;
    const auto parsed =
            std::from_chars(hash.data(), hash.data() + hash.size(), event.prefixHash, hexadecimal);
    if (parsed.ec != std::errc())
        return fail(notRun(ErrorCode::UpstreamFailed,
                           "the \"prefix_hash\" of a cache event is not a hexadecimal number"));
    return event;
}

/// Returns the failure for a response with the HTTP status \a status. The request was sent, so the
/// failure is NotRun only when the engine reports that the request did not run.
Failure failureOfStatus(const std::string &engine, int status, const Json &error)
{
    const bool reportsNotRun = error.is_object() && error.value("run", Json()) == Json("not_run");
    const std::string detail = concat("engine \"", engine, "\" responded with status ", status);
    if (reportsNotRun)
        return notRun(codeOfStatus(status), detail);
    return mayHaveRun(codeOfStatus(status), detail);
}

bool isNotSent(net::BlockingCallEnd end)
{
    return end == net::BlockingCallEnd::NotConnected || end == net::BlockingCallEnd::ConnectTimeout
           || end == net::BlockingCallEnd::Malformed;
}

/// Whether the "error" object \a error names another request than \a requestId.
bool isForAnotherRequest(const Json &error, const std::string &requestId)
{
    const Json id = error.is_object() ? error.value("request_id", Json()) : Json();
    return id.is_string() && !id.get<std::string>().empty() && id != Json(requestId);
}

} // namespace

struct EngineClient::Impl
{
    Impl(EngineOptions options, const Clock &clock)
        : options(std::move(options))
        , clock(clock)
    {}

    Outcome<std::string> streamBody(const StreamRequest &request) const
    {
        Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return notRun(ErrorCode::InvalidRequest, "the request body is not a JSON object");
        body["stream"] = true;
        body["request_id"] = request.requestId;
        body["resume_after"] = request.deliveredTokens;
        body.erase("kv_handle");
        if (!request.kvHandle.empty())
            body["kv_handle"] = request.kvHandle;
        return dumpJson(body);
    }

    std::string description() const
    {
        return concat("engine \"", options.name, "\" at ", options.host, ":", options.port);
    }

    Failure transportFailure(net::BlockingCallEnd end) const
    {
        if (isNotSent(end))
            return notRun(ErrorCode::UpstreamUnavailable, describe(end));
        return mayHaveRun(ErrorCode::StreamBroken, describe(end));
    }

    Failure tooLongFailure(net::ResponseFault bound) const
    {
        log(LogLevel::Warning, "response-unreadable",
            {{"upstream", options.name}, {"reason", net::name(bound)}});
        return mayHaveRun(ErrorCode::StreamBroken,
                          concat(description(), " sent a response that exceeds the maximum size"));
    }

    /// Returns the failure for the error response to \a request. \a body is empty when the response
    /// is not complete.
    Failure errorResponseFailure(const StreamRequest &request, int status, const std::string &body)
    {
        const Json error = errorOf(body);
        if (!isForAnotherRequest(error, request.requestId))
            return failureOfStatus(options.name, status, error);
        ++dropped;
        return mayHaveRun(ErrorCode::UpstreamFailed,
                          concat(description(), " sent the response to another request"));
    }

    std::string describe(net::BlockingCallEnd end) const
    {
        return concat(description(), ": ", net::name(end));
    }

    /// Makes a call other than stream() and returns the body of the response as JSON of any type,
    /// or a discarded value when the body is not JSON.
    Outcome<Json> call(const std::string &method, const std::string &path, const Json &body) const
    {
        net::Request request;
        request.method = method;
        request.target = path;
        if (!body.is_null()) {
            request.body = dumpJson(body);
            request.headers.set("Content-Type", "application/json");
        }
        net::BlockingCallTimeouts timeouts;
        timeouts.connect = options.connectTimeout;
        timeouts.idle = options.auxiliaryCallTimeout;
        timeouts.deadline = clock.now() + options.auxiliaryCallTimeout;
        net::BlockingCall blockingCall(options.host, options.port, timeouts, clock);
        net::Response response;
        const auto end = blockingCall.fetch(std::move(request), maxResponseBytes, response);
        if (end == net::BlockingCallEnd::TooLong)
            return tooLongFailure(blockingCall.fault());
        // An engine that pauses accepts no connection once its queue of them is full.
        if (end == net::BlockingCallEnd::ConnectTimeout)
            return notRun(ErrorCode::Timeout, describe(end));
        if (end == net::BlockingCallEnd::IdleTimeout || end == net::BlockingCallEnd::DeadlinePassed)
            return mayHaveRun(ErrorCode::Timeout, describe(end));
        if (end != net::BlockingCallEnd::Complete)
            return transportFailure(end);
        checkLeaving(options, response.head);
        if (response.head.status != statusOk)
            return failureOfStatus(options.name, response.head.status, errorOf(response.body));
        Json json = Json::parse(response.body, nullptr, false);
        return json;
    }

    EngineOptions options;
    const Clock &clock;
    std::atomic<std::uint64_t> dropped{0};
};

namespace {

/// State of one stream() call while it runs.
class StreamCall
{
public:
    StreamCall(const EngineOptions &options, const StreamRequest &request, std::string body,
               const Clock &clock, const EngineClient::TokenHandler &onToken)
        : m_options(options)
        , m_request(request)
        , m_body(std::move(body))
        , m_clock(clock)
        , m_reader(request.requestId, request.deliveredTokens, onToken)
        , m_call(options.host, options.port, timeouts(options, request), clock)
    {}

    net::BlockingCallEnd run(AbortSignal &abortSignal)
    {
        m_progressAt = m_clock.now();
        net::BlockingCall::Handlers handlers;
        handlers.onHead = [this](const net::ResponseHead &head) {
            m_status = head.status;
            checkLeaving(m_options, head);
            return true;
        };
        handlers.onBody = [this](std::string_view bytes) { return handleBodyBytes(bytes); };
        abortSignal.setAbortAction([this] { m_call.abort(); });
        const net::BlockingCallEnd end = m_call.run(makeRequest(), std::move(handlers));
        abortSignal.setAbortAction(nullptr);
        return end;
    }

    /// HTTP status of the response; 0 when none was received.
    int status() const { return m_status; }
    const std::string &errorBody() const { return m_errorBody; }
    bool isErrorBodyTooLong() const { return m_errorBody.size() >= maxErrorBytes; }
    /// Whether bytes without an event arrived until the idle timeout.
    bool lacksEvents() const { return m_lacksEvents; }
    const StreamReader &reader() const { return m_reader; }
    net::ResponseFault fault() const { return m_call.fault(); }

private:
    static net::BlockingCallTimeouts timeouts(const EngineOptions &options,
                                              const StreamRequest &request)
    {
        net::BlockingCallTimeouts timeouts;
        timeouts.connect = options.connectTimeout;
        timeouts.idle = options.idleTimeout;
        timeouts.deadline = request.deadline;
        return timeouts;
    }

    net::Request makeRequest()
    {
        net::Request request;
        request.method = "POST";
        request.target = m_request.path;
        request.body = m_body;
        request.headers.set("Content-Type", "application/json");
        request.headers.set("Accept", "text/event-stream");
        request.headers.set("X-Request-Id", m_request.requestId);
        return request;
    }

    /// Returns false when the rest of the response is not needed.
    bool handleBodyBytes(std::string_view bytes)
    {
        if (m_status != statusOk) {
            m_errorBody += bytes.substr(0, maxErrorBytes - m_errorBody.size());
            return m_errorBody.size() < maxErrorBytes;
        }
        const std::uint64_t eventsBefore = m_reader.events();
        if (!m_reader.feed(bytes) || m_reader.complete())
            return false;
        const absl::Time now = m_clock.now();
        if (m_reader.events() != eventsBefore)
            m_progressAt = now;
        m_lacksEvents = now - m_progressAt > m_options.idleTimeout;
        return !m_lacksEvents && now < m_request.deadline;
    }

    const EngineOptions &m_options;
    const StreamRequest &m_request;
    std::string m_body;
    const Clock &m_clock;
    StreamReader m_reader;
    net::BlockingCall m_call;
    int m_status = 0;
    std::string m_errorBody;
    /// Time of the last event.
    absl::Time m_progressAt;
    bool m_lacksEvents = false;
};

} // namespace

EngineClient::EngineClient(EngineOptions options, const Clock &clock)
    : m_impl(new Impl(std::move(options), clock))
{}

EngineClient::~EngineClient() = default;

const EngineOptions &EngineClient::options() const
{
    return m_impl->options;
}

Outcome<StreamSummary> EngineClient::stream(const StreamRequest &request, AbortSignal &abortSignal,
                                            const TokenHandler &onToken)
{
    if (abortSignal.aborted())
        return notRun(ErrorCode::ClientDisconnected, "the request was aborted before it was sent");
    const Outcome<std::string> body = m_impl->streamBody(request);
    if (!body.ok())
        return body.failure();
    if (m_impl->clock.now() >= request.deadline)
        return notRun(ErrorCode::Timeout, "the deadline passed before the request was sent");
    StreamCall call(m_impl->options, request, body.value(), m_impl->clock, onToken);
    const net::BlockingCallEnd end = call.run(abortSignal);
    m_impl->dropped += call.reader().dropped();
    const bool deadlinePassed = m_impl->clock.now() >= request.deadline;
    if (isNotSent(end) && deadlinePassed)
        return notRun(ErrorCode::Timeout, "the deadline passed before the request was sent");
    if (isNotSent(end))
        return m_impl->transportFailure(end);
    if (call.isErrorBodyTooLong())
        return m_impl->tooLongFailure(net::ResponseFault::BodyTooLong);
    if (end == net::BlockingCallEnd::TooLong)
        return m_impl->tooLongFailure(call.fault());
    if (call.status() != 0 && call.status() != statusOk)
        return m_impl->errorResponseFailure(request, call.status(),
                                            end == net::BlockingCallEnd::Complete ? call.errorBody()
                                                                                  : std::string());
    if (call.reader().complete())
        return call.reader().finish();
    if (abortSignal.aborted())
        return mayHaveRun(ErrorCode::ClientDisconnected, "the request was aborted while it ran");
    if (end == net::BlockingCallEnd::DeadlinePassed || deadlinePassed)
        return mayHaveRun(ErrorCode::Timeout, "the deadline passed while the request ran");
    if (call.lacksEvents())
        return mayHaveRun(ErrorCode::StreamBroken,
                          "the engine sent no event within the idle timeout");
    if (end == net::BlockingCallEnd::Complete || end == net::BlockingCallEnd::StoppedByHandler)
        return call.reader().finish();
    return m_impl->transportFailure(end);
}

Outcome<bool> EngineClient::cancel(const std::string &requestId)
{
    const Outcome<Json> response =
            m_impl->call("POST", "/engine/cancel", Json{{"request_id", requestId}});
    if (!response.ok())
        return response.failure();
    return response.value().is_object()
           && response.value().value("cancelled", Json()) == Json(true);
}

Outcome<ExportedCache> EngineClient::exportCache(const std::string &requestId)
{
    const Outcome<Json> response =
            m_impl->call("POST", "/engine/kv/export", Json{{"request_id", requestId}});
    if (!response.ok())
        return response.failure();
    return outcomeOf([&]() -> Result<ExportedCache> {
        ExportedCache cache;
        BOOST_LEAF_ASSIGN(cache.handle, jsonMember<std::string>(response.value(), "kv_handle"));
        BOOST_LEAF_ASSIGN(cache.tokens, jsonMemberOr<std::int64_t>(response.value(), "tokens", 0));
        return cache;
    });
}

Outcome<EngineLoadReport> EngineClient::fetchLoadReport()
{
    const Outcome<Json> response = m_impl->call("GET", "/engine/load", Json());
    if (!response.ok())
        return response.failure();
    const auto number = [&](const char *key) {
        return jsonMemberOr<std::int64_t>(response.value(), key, 0);
    };
    return outcomeOf([&]() -> Result<EngineLoadReport> {
        EngineLoadReport load;
        BOOST_LEAF_ASSIGN(load.running, number("running"));
        BOOST_LEAF_ASSIGN(load.waiting, number("waiting"));
        BOOST_LEAF_ASSIGN(load.kvTokens, number("kv_tokens"));
        BOOST_LEAF_ASSIGN(load.kvCapacityTokens, number("kv_capacity_tokens"));
        BOOST_LEAF_ASSIGN(load.maxBatch, number("max_batch"));
        BOOST_LEAF_AUTO(ageMs, number("age_ms"));
        load.ageWhenSent = absl::Milliseconds(ageMs);
        return load;
    });
}

Outcome<CacheEventPage> EngineClient::cacheEvents(std::uint64_t after)
{
    const Outcome<Json> response =
            m_impl->call("GET", concat("/engine/cache_events?after=", after), Json());
    if (!response.ok())
        return response.failure();
    return outcomeOf([&]() -> Result<CacheEventPage> {
        CacheEventPage page;
        BOOST_LEAF_AUTO(next, jsonMember<std::int64_t>(response.value(), "next"));
        page.next = static_cast<std::uint64_t>(next);
        for (const Json &row : response.value().value("events", Json::array())) {
            BOOST_LEAF_AUTO(event, cacheEventOf(row));
            page.events.push_back(event);
        }
        return page;
    });
}

Outcome<Done> EngineClient::probe()
{
    Outcome<Json> response = m_impl->call("GET", "/healthz", Json());
    // A process that is stopping may still accept a connection and then close it without a
    // response. When the call is repeated, nothing listens any more and the connection is refused.
    if (!response.ok() && response.failure().effect == EffectState::MayHaveRun
        && response.failure().code != ErrorCode::Timeout)
        response = m_impl->call("GET", "/healthz", Json());
    if (!response.ok())
        return response.failure();
    return Done{};
}

std::uint64_t EngineClient::droppedEvents() const
{
    return m_impl->dropped;
}

} // namespace rattanrill::engine
