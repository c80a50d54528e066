#include "rattanrill/service/serviceclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/base/upstreamprotocol.h"
#include "rattanrill/net/blockingcall.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <set>

namespace rattanrill::service {
namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Maximum size of a load report.
constexpr std::size_t maxLoadReportBytes = std::size_t(64) << 10;

/// Returns the "error" object of \a body; null when it contains none.
Json errorOf(const Json &body)
{
    if (!body.is_object())
        return {};
    const auto error = body.find("error");
    return error != body.end() && error->is_object() ? *error : Json();
}

bool reportsNotRun(const std::string &body)
{
    const Json error = errorOf(Json::parse(body, nullptr, false));
    return error.is_object() && error.value("run", Json()) == Json("not_run");
}

/// Returns the member "request_id" of \a object; empty when it has none.
std::string requestIdOf(const Json &object)
{
    const Json id = object.is_object() ? object.value("request_id", Json()) : Json();
    return id.is_string() ? id.get<std::string>() : std::string();
}

/// Returns the request id that the response carries; empty when it carries none.
std::string responseRequestId(const net::Response &response)
{
    if (const std::string *id = response.head.headers.find("X-Request-Id"))
        return *id;
    if (response.head.headers.value("Content-Type").find("json") == std::string_view::npos)
        return {};
    const Json json = Json::parse(response.body, nullptr, false);
    const std::string id = requestIdOf(json);
    return id.empty() ? requestIdOf(errorOf(json)) : id;
}

/// Whether the end of the response is known from its head. Without a length, the end is the close
/// of the connection, which also ends a response that broke off.
bool isFramed(const net::ResponseHead &head)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return head.status == noContent || head.status == notModified
           || head.headers.find("Content-Length") != nullptr
           || head.headers.find("Transfer-Encoding") != nullptr;
}

/// Whether the time passed before a connection was established.
bool isConnectTimeout(const Failure &failure)
{
    return failure.code == ErrorCode::Timeout && failure.effect == EffectState::NotRun;
}

net::Request makeRequest(const ServiceRequest &request)
{
    net::Request result;
    result.method = request.method;
    result.target = request.query.empty() ? request.path : concat(request.path, "?", request.query);
    result.body = request.body;
    if (!request.contentType.empty())
        result.headers.set("Content-Type", request.contentType);
    result.headers.set("X-Request-Id", request.requestId);
    if (!request.workspace.empty())
        result.headers.set("X-Workspace", request.workspace);
    return result;
}

} // namespace

struct ServiceClient::Impl
{
    Impl(ServiceOptions options, const Clock &clock)
        : options(std::move(options))
        , clock(clock)
    {}

    std::string description() const
    {
        return concat("service \"", options.name, "\" at ", options.host, ":", options.port);
    }

    /// Makes one call and returns its response. A body of more than \a maxBodyBytes ends the call.
    Outcome<net::Response> call(net::Request request, const net::BlockingCallTimeouts &timeouts,
                                std::size_t maxBodyBytes)
    {
        net::Response response;
        net::BlockingCall call(options.host, options.port, timeouts, clock);
        if (!addCall(call))
            return notRun(ErrorCode::Draining, "the call was aborted before it was sent");
        const net::BlockingCallEnd end = call.fetch(std::move(request), maxBodyBytes, response);
        removeCall(call);
        if (options.onLeaving && response.head.headers.value(leavingHeader) == leavingValue)
            options.onLeaving();
        if (end == net::BlockingCallEnd::Complete)
            return response;
        if (end == net::BlockingCallEnd::TooLong)
            return tooLongFailure(net::name(call.fault()));
        return transportFailure(end);
    }

    /// Returns false when the calls were aborted.
    bool addCall(net::BlockingCall &call)
    {
        absl::MutexLock lock(&mutex);
        if (!aborted)
            calls.insert(&call);
        return !aborted;
    }

    void removeCall(net::BlockingCall &call)
    {
        absl::MutexLock lock(&mutex);
        calls.erase(&call);
    }

    Failure tooLongFailure(std::string_view bound) const
    {
        log(LogLevel::Warning, "response-unreadable",
            {{"upstream", options.name}, {"reason", bound}});
        return mayHaveRun(ErrorCode::UpstreamFailed,
                          concat(description(), " sent a response that exceeds the maximum size"));
    }

    Failure transportFailure(net::BlockingCallEnd end) const
    {
        const std::string detail = concat(description(), ": ", net::name(end));
        if (end == net::BlockingCallEnd::NotConnected)
            return notRun(ErrorCode::UpstreamUnavailable, detail);
        if (end == net::BlockingCallEnd::Malformed)
            return notRun(ErrorCode::InvalidRequest, detail);
        // A service that pauses accepts no connection once its queue of them is full.
        if (end == net::BlockingCallEnd::ConnectTimeout)
            return notRun(ErrorCode::Timeout, detail);
        if (end == net::BlockingCallEnd::DeadlinePassed)
            return mayHaveRun(ErrorCode::Timeout, detail);
        if (end == net::BlockingCallEnd::Aborted)
            return mayHaveRun(ErrorCode::Draining, detail);
        return mayHaveRun(ErrorCode::ConnectionLost, detail);
    }

    Outcome<ServiceResponse> checkResponse(const ServiceRequest &request,
                                           const net::Response &response)
    {
        if (!isFramed(response.head))
            return mayHaveRun(ErrorCode::UpstreamFailed,
                              concat(description(), " sent a response without a length"));
        // Checked first: a refusal of another request says nothing about this one.
        const std::string id = responseRequestId(response);
        if (!id.empty() && id != request.requestId) {
            ++dropped;
            return mayHaveRun(ErrorCode::UpstreamFailed,
                              concat(description(), " sent the response to another request"));
        }
        if (response.head.status == statusUnavailable && reportsNotRun(response.body))
            return notRun(ErrorCode::UpstreamBusy, concat(description(), " is busy"));
        return ServiceResponse{response.head.status,
                               std::string(response.head.headers.value("Content-Type")),
                               response.body};
    }

    ServiceOptions options;
    const Clock &clock;
    std::atomic<std::uint64_t> dropped{0};
    absl::Mutex mutex;
    /// The running calls.
    std::set<net::BlockingCall *> calls ABSL_GUARDED_BY(mutex);
    bool aborted ABSL_GUARDED_BY(mutex) = false;
};

ServiceClient::ServiceClient(ServiceOptions options, const Clock &clock)
    : m_impl(new Impl(std::move(options), clock))
{}

ServiceClient::~ServiceClient() = default;

const ServiceOptions &ServiceClient::options() const
{
    return m_impl->options;
}

Outcome<ServiceResponse> ServiceClient::call(const ServiceRequest &request)
{
    const absl::Duration remaining = request.deadline - m_impl->clock.now();
    if (remaining <= absl::ZeroDuration())
        return notRun(ErrorCode::Timeout, "the deadline passed before the request was sent");
    net::BlockingCallTimeouts timeouts;
    timeouts.connect = m_impl->options.connectTimeout;
    timeouts.idle = remaining;
    timeouts.deadline = request.deadline;
    const auto response =
            m_impl->call(makeRequest(request), timeouts, m_impl->options.maxResponseBytes);
    if (!response.ok() && isConnectTimeout(response.failure()))
        return notRun(ErrorCode::UpstreamUnavailable, response.failure().detail);
    if (!response.ok())
        return response.failure();
    return m_impl->checkResponse(request, response.value());
}

Outcome<ServiceLoadReport> ServiceClient::fetchLoadReport()
{
    net::BlockingCallTimeouts timeouts;
    timeouts.connect = m_impl->options.connectTimeout;
    timeouts.idle = m_impl->options.auxiliaryCallTimeout;
    timeouts.deadline = m_impl->clock.now() + m_impl->options.auxiliaryCallTimeout;
    net::Request request;
    request.method = "GET";
    request.target = "/service/load";
    const auto response = m_impl->call(std::move(request), timeouts, maxLoadReportBytes);
    if (!response.ok())
        return response.failure();
    if (response.value().head.status != statusOk)
        return notRun(ErrorCode::UpstreamFailed,
                      concat(m_impl->description(), " responded to the load request with status ",
                             response.value().head.status));
    return outcomeOf([&]() -> Result<ServiceLoadReport> {
        BOOST_LEAF_AUTO(json, parseJson(response.value().body, "load report"));
        ServiceLoadReport load;
        BOOST_LEAF_ASSIGN(load.running, jsonMemberOr<std::int64_t>(json, "running", 0));
        BOOST_LEAF_ASSIGN(load.capacity, jsonMemberOr<std::int64_t>(json, "capacity", 0));
        BOOST_LEAF_AUTO(ageMs, jsonMemberOr<std::int64_t>(json, "age_ms", 0));
        load.ageWhenSent = absl::Milliseconds(ageMs);
        return load;
    });
}

Outcome<Done> ServiceClient::probe()
{
    Outcome<ServiceLoadReport> report = fetchLoadReport();
    // A process that is stopping may still accept a connection and then close it without a
    // response. When the call is repeated, nothing listens any more and the connection is refused.
    if (!report.ok() && report.failure().effect == EffectState::MayHaveRun)
        report = fetchLoadReport();
    if (!report.ok())
        return report.failure();
    return Done{};
}

void ServiceClient::abortCalls()
{
    absl::MutexLock lock(&m_impl->mutex);
    m_impl->aborted = true;
    for (net::BlockingCall *call : m_impl->calls)
        call->abort();
}

std::uint64_t ServiceClient::droppedResponses() const
{
    return m_impl->dropped;
}

} // namespace rattanrill::service
