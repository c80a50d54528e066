#include "rattanrill/service/serviceclient.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"

#include <httplib.h>

#include <atomic>

namespace rattanrill::service {
namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
/// Minimum socket timeout. A shorter one, such as the time until a deadline that is about to pass,
/// is raised to this value.
constexpr absl::Duration minTimeout = absl::Milliseconds(1);
/// Maximum socket timeout, so that a request without a deadline can't block its thread forever on a
/// connection that sends nothing.
constexpr absl::Duration maxTimeout = absl::Minutes(10);

void setTimeouts(httplib::Client &client, absl::Duration connect, absl::Duration read)
{
    const auto micros = [](absl::Duration duration) {
        return static_cast<time_t>(
                absl::ToInt64Microseconds(std::clamp(duration, minTimeout, maxTimeout)));
    };
    constexpr time_t microsPerSecond = 1000000;
    client.set_connection_timeout(micros(connect) / microsPerSecond,
                                  micros(connect) % microsPerSecond);
    client.set_read_timeout(micros(read) / microsPerSecond, micros(read) % microsPerSecond);
    client.set_write_timeout(micros(read) / microsPerSecond, micros(read) % microsPerSecond);
    client.set_tcp_nodelay(true);
    client.set_keep_alive(false);
    client.set_url_encode(false);
}

bool failedBeforeSending(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
           || error == httplib::Error::BindIPAddress;
}

bool reportsNotRun(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json.at("error").is_object())
        return false;
    return json.at("error").value("run", Json()) == Json("not_run");
}

/// Returns the request id that the response carries; empty when it carries none.
std::string responseRequestId(const httplib::Response &response)
{
    if (response.has_header("X-Request-Id"))
        return response.get_header_value("X-Request-Id");
    if (response.get_header_value("Content-Type").find("json") == std::string::npos)
        return {};
    const Json json = Json::parse(response.body, nullptr, false);
    if (!json.is_object())
        return {};
    const auto id = json.find("request_id");
    return id != json.end() && id->is_string() ? id->get<std::string>() : std::string();
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

    Failure transportFailure(httplib::Error error, absl::Time deadline) const
    {
        const std::string detail = concat(description(), ": ", httplib::to_string(error));
        if (failedBeforeSending(error))
            return notRun(ErrorCode::UpstreamUnavailable, detail);
        if (clock.now() >= deadline)
            return mayHaveRun(ErrorCode::Timeout, detail);
        return mayHaveRun(ErrorCode::ConnectionLost, detail);
    }

    Outcome<ServiceResponse> checkResponse(const ServiceRequest &request,
                                           const httplib::Response &response)
    {
        if (response.status == statusUnavailable && reportsNotRun(response.body))
            return notRun(ErrorCode::UpstreamBusy, concat(description(), " is busy"));
        const std::string id = responseRequestId(response);
        if (!id.empty() && id != request.requestId) {
            ++dropped;
            return mayHaveRun(ErrorCode::UpstreamFailed,
                              concat(description(), " sent the response to another request"));
        }
        return ServiceResponse{response.status, response.get_header_value("Content-Type"),
                               response.body};
    }

    ServiceOptions options;
    const Clock &clock;
    std::atomic<std::uint64_t> dropped{0};
};

namespace {

httplib::Request makeRequest(const ServiceRequest &request)
{
    httplib::Request httpRequest;
    httpRequest.method = request.method;
    httpRequest.path =
            request.query.empty() ? request.path : concat(request.path, "?", request.query);
    httpRequest.body = request.body;
    if (!request.contentType.empty())
        httpRequest.set_header("Content-Type", request.contentType);
    httpRequest.set_header("X-Request-Id", request.requestId);
    if (!request.workspace.empty())
        httpRequest.set_header("X-Workspace", request.workspace);
    return httpRequest;
}

} // namespace

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
    httplib::Client client(m_impl->options.host, m_impl->options.port);
    setTimeouts(client, std::min(m_impl->options.connectTimeout, remaining), remaining);
    httplib::Request httpRequest = makeRequest(request);
    std::string body;
    bool exceedsLimit = false;
    httpRequest.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                       std::uint64_t) {
        exceedsLimit = body.size() + size > m_impl->options.maxResponseBytes;
        if (exceedsLimit || m_impl->clock.now() >= request.deadline)
            return false;
        body.append(data, size);
        return true;
    };
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (!client.send(httpRequest, response, error)) {
        if (exceedsLimit)
            return mayHaveRun(ErrorCode::UpstreamFailed,
                              concat(m_impl->description(),
                                     " sent a response that exceeds the maximum size"));
        return m_impl->transportFailure(error, request.deadline);
    }
    response.body = std::move(body);
    return m_impl->checkResponse(request, response);
}

Outcome<ServiceLoadReport> ServiceClient::fetchLoadReport()
{
    httplib::Client client(m_impl->options.host, m_impl->options.port);
    setTimeouts(client, m_impl->options.connectTimeout, m_impl->options.auxiliaryCallTimeout);
    const httplib::Result result = client.Get("/service/load");
    if (!result)
        return m_impl->transportFailure(result.error(), absl::InfiniteFuture());
    if (result->status != statusOk)
        return notRun(ErrorCode::UpstreamFailed,
                      concat(m_impl->description(), " responded to the load request with status ",
                             result->status));
    return outcomeOf([&]() -> Result<ServiceLoadReport> {
        BOOST_LEAF_AUTO(json, parseJson(result->body, "load report"));
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

std::uint64_t ServiceClient::droppedResponses() const
{
    return m_impl->dropped;
}

} // namespace rattanrill::service
