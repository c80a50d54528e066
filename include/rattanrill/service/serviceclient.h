#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>

namespace rattanrill::service {

struct ServiceOptions
{
    std::string name;
    std::string host;
    int port = 0;
    absl::Duration connectTimeout = absl::Seconds(1);
    absl::Duration loadTimeout = absl::Seconds(2);
    std::size_t maxResponseBytes = 16u << 20;
};

/// A caller's request as it goes to a plain service. It has no member for credentials, so none can
/// be forwarded.
struct ServiceRequest
{
    std::string method;
    std::string path;
    /// Without "?"; already stripped of credentials.
    std::string query;
    std::string body;
    std::string contentType;
    std::string requestId;
    std::string workspace;
    absl::Time deadline = absl::InfiniteFuture();
};

struct ServiceResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

struct ServiceLoadReport
{
    std::int64_t running = 0;
    std::int64_t capacity = 0;
    absl::Duration ageWhenSent;
};

/// Client of one plain service; the protocol is in docs/upstream-protocol.md. Calls block and may
/// run at the same time. Each uses a connection of its own: a failure to connect then proves that
/// nothing ran.
class ServiceClient
{
public:
    explicit ServiceClient(ServiceOptions options, const Clock &clock = SystemClock::instance());
    ~ServiceClient();
    ServiceClient(const ServiceClient &) = delete;
    ServiceClient &operator=(const ServiceClient &) = delete;

    const ServiceOptions &options() const;

    /// Fails with UpstreamUnavailable, UpstreamBusy (NotRun), Timeout, ConnectionLost or
    /// UpstreamFailed (MayHaveRun; also for the answer to another request). Any other status of
    /// the service is an answer.
    Outcome<ServiceResponse> call(const ServiceRequest &request);
    Outcome<ServiceLoadReport> load();
    /// Whether anything listens at the service's address.
    Outcome<Done> probe();
    /// Answers dropped because they carried the id of another request.
    std::uint64_t droppedAnswers() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::service
