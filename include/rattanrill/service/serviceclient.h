#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rattanrill::service {

/// Address and limits of a plain service, an HTTP upstream that is not a model engine.
struct ServiceOptions
{
    /// Name of the upstream.
    std::string name;
    std::string host;
    int port = 0;
    absl::Duration connectTimeout = absl::Seconds(1);
    /// Timeout of fetchLoadReport() and probe() for each request.
    absl::Duration auxiliaryCallTimeout = absl::Seconds(2);
    std::size_t maxResponseBytes = 16u << 20;
    /// Called for each response by which the service announces that it leaves, on the thread of the
    /// call. May be null.
    std::function<void()> onLeaving;
};

/// A caller's request as it is forwarded to a plain service. It has no member for credentials, so
/// that none can be forwarded.
struct ServiceRequest
{
    std::string method;
    std::string path;
    /// Query without "?", from which the credentials have already been removed.
    std::string query;
    std::string body;
    std::string contentType;
    std::string requestId;
    std::string workspace;
    absl::Time deadline = absl::InfiniteFuture();
};

/// Response of a plain service.
struct ServiceResponse
{
    /// HTTP status code.
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Load that a plain service reports.
struct ServiceLoadReport
{
    /// Number of running requests.
    std::int64_t running = 0;
    /// Maximum number of running requests.
    std::int64_t capacity = 0;
    /// Age of the figures at the time when the service sent them.
    absl::Duration ageWhenSent;
};

/// Client of one plain service; docs/upstream-protocol.md describes the protocol. Calls block and
/// may be made from several threads at the same time. Each call opens its own connection: a failure
/// to connect then proves that nothing ran.
class ServiceClient
{
public:
    explicit ServiceClient(ServiceOptions options, const Clock &clock = SystemClock::instance());
    ~ServiceClient();
    ServiceClient(const ServiceClient &) = delete;
    ServiceClient &operator=(const ServiceClient &) = delete;

    const ServiceOptions &options() const;

    /// Sends \a request and returns the response, whatever its HTTP status, except for a 503 that
    /// reports that the request did not run. Failures:
    /// - UpstreamUnavailable (NotRun): the connection could not be opened.
    /// - UpstreamBusy (NotRun): the service reported 503 and that the request did not run.
    /// - Timeout: the deadline passed; NotRun when it passed before the request was sent,
    ///   MayHaveRun otherwise.
    /// - ConnectionLost (MayHaveRun): the connection was lost after the request was sent.
    /// - UpstreamFailed (MayHaveRun): the response exceeds maxResponseBytes, carries the id of
    ///   another request, or has neither a length nor chunks.
    /// - Draining: abortCalls() was called; NotRun when that was before the request was sent,
    ///   MayHaveRun otherwise.
    Outcome<ServiceResponse> call(const ServiceRequest &request);
    /// Ends the running calls and makes later ones fail.
    void abortCalls();
    Outcome<ServiceLoadReport> fetchLoadReport();
    /// Checks that the service responds to fetchLoadReport(). Fails with UpstreamUnavailable when
    /// nothing listens at its address.
    Outcome<Done> probe();
    /// Number of responses that were dropped because they carried the id of another request.
    std::uint64_t droppedResponses() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::service
