#include "rattanrill/engine/engineclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "streamreader.h"

#include <httplib.h>

#include <atomic>
#include <charconv>

namespace rattanrill::engine {
namespace {

/// Approximate size at which bodies of error responses are truncated.
constexpr std::size_t maxErrorBytes = 64u << 10;
constexpr int statusOk = 200;
/// Minimum socket timeout. A shorter one, such as the time until a deadline that is about to pass,
/// is raised to this value.
constexpr absl::Duration minTimeout = absl::Milliseconds(1);
/// A socket timeout that is set to the time until the deadline may expire up to this long before
/// the deadline.
constexpr absl::Duration timerTolerance = absl::Milliseconds(2);

void setTimeouts(httplib::Client &client, absl::Duration connect, absl::Duration read)
{
    const auto micros = [](absl::Duration duration) {
        return static_cast<time_t>(absl::ToInt64Microseconds(std::max(duration, minTimeout)));
    };
    constexpr time_t microsPerSecond = 1000000;
    client.set_connection_timeout(micros(connect) / microsPerSecond,
                                  micros(connect) % microsPerSecond);
    client.set_read_timeout(micros(read) / microsPerSecond, micros(read) % microsPerSecond);
    client.set_write_timeout(micros(read) / microsPerSecond, micros(read) % microsPerSecond);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
}

bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::BindIPAddress;
}

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
Failure failureOfStatus(const std::string &engine, int status, const std::string &body)
{
    const Json error = errorOf(body);
    const bool reportsNotRun = error.is_object() && error.value("run", Json()) == Json("not_run");
    const std::string detail = concat("engine \"", engine, "\" responded with status ", status);
    if (reportsNotRun)
        return notRun(codeOfStatus(status), detail);
    return mayHaveRun(codeOfStatus(status), detail);
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

    Failure transportFailure(httplib::Error error) const
    {
        const std::string detail = concat("engine \"", options.name, "\" at ", options.host, ":",
                                          options.port, ": ", httplib::to_string(error));
        if (failedBeforeSending(error))
            return notRun(ErrorCode::UpstreamUnavailable, detail);
        return mayHaveRun(ErrorCode::StreamBroken, detail);
    }

    /// Makes a call other than stream() and returns the body of the response as JSON of any type,
    /// or a discarded value when the body is not JSON.
    Outcome<Json> call(const std::string &method, const std::string &path, const Json &body) const
    {
        httplib::Client client(options.host, options.port);
        setTimeouts(client, options.connectTimeout, options.auxiliaryCallTimeout);
        httplib::Request request;
        request.method = method;
        request.path = path;
        if (!body.is_null()) {
            request.body = dumpJson(body);
            request.set_header("Content-Type", "application/json");
        }
        const httplib::Result result = client.send(request);
        if (!result)
            return transportFailure(result.error());
        if (result->status != statusOk)
            return failureOfStatus(options.name, result->status, result->body);
        Json response = Json::parse(result->body, nullptr, false);
        return response;
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
        , m_client(options.host, options.port)
    {}

    httplib::Error run(AbortSignal &abortSignal)
    {
        const absl::Duration remaining = m_request.deadline - m_clock.now();
        setTimeouts(m_client, std::min(m_options.connectTimeout, remaining),
                    std::min(m_options.idleTimeout, remaining));
        httplib::Request httpRequest = makeRequest(abortSignal);
        abortSignal.setAbortAction([this] { m_client.stop(); });
        const httplib::Result result = m_client.send(httpRequest);
        abortSignal.setAbortAction(nullptr);
        return result ? httplib::Error::Success : result.error();
    }

    /// HTTP status of the response; 0 when none was received.
    int status() const { return m_status; }
    const std::string &errorBody() const { return m_errorBody; }
    const StreamReader &reader() const { return m_reader; }
    bool deadlineReached() const { return m_clock.now() + timerTolerance >= m_request.deadline; }

private:
    httplib::Request makeRequest(AbortSignal &abortSignal)
    {
        httplib::Request httpRequest;
        httpRequest.method = "POST";
        httpRequest.path = m_request.path;
        httpRequest.body = m_body;
        httpRequest.set_header("Content-Type", "application/json");
        httpRequest.set_header("Accept", "text/event-stream");
        httpRequest.set_header("X-Request-Id", m_request.requestId);
        httpRequest.response_handler = [this](const httplib::Response &response) {
            m_status = response.status;
            return true;
        };
        httpRequest.content_receiver = [this, &abortSignal](const char *data, std::size_t size,
                                                            std::uint64_t, std::uint64_t) {
            return handleBodyBytes(std::string_view(data, size)) && !abortSignal.aborted();
        };
        return httpRequest;
    }

    /// Returns false when the rest of the response is not needed.
    bool handleBodyBytes(std::string_view bytes)
    {
        if (m_status == statusOk)
            return m_reader.feed(bytes) && !m_reader.complete() && !deadlineReached();
        if (m_errorBody.size() < maxErrorBytes)
            m_errorBody += bytes;
        return true;
    }

    const EngineOptions &m_options;
    const StreamRequest &m_request;
    std::string m_body;
    const Clock &m_clock;
    StreamReader m_reader;
    httplib::Client m_client;
    int m_status = 0;
    std::string m_errorBody;
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
    const httplib::Error error = call.run(abortSignal);
    m_impl->dropped += call.reader().dropped();
    if (failedBeforeSending(error) && call.deadlineReached())
        return notRun(ErrorCode::Timeout, "the deadline passed before the request was sent");
    if (failedBeforeSending(error))
        return m_impl->transportFailure(error);
    if (call.status() != 0 && call.status() != statusOk)
        return failureOfStatus(m_impl->options.name, call.status(), call.errorBody());
    if (call.reader().complete())
        return call.reader().finish();
    if (abortSignal.aborted())
        return mayHaveRun(ErrorCode::ClientDisconnected, "the request was aborted while it ran");
    if (call.deadlineReached())
        return mayHaveRun(ErrorCode::Timeout, "the deadline passed while the request ran");
    if (error == httplib::Error::Success || error == httplib::Error::Canceled)
        return call.reader().finish();
    return m_impl->transportFailure(error);
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
    if (!response.ok() && response.failure().effect == EffectState::MayHaveRun)
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
