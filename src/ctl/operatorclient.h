#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace rattanrill::ctl {

/// Client of the operator interface. Tries the servers in turn, follows redirects to the leader,
/// and resends a request whose response was lost. A resent write takes effect only once because it
/// has the same request id.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> servers, std::string token);

    /// Sends a request; \a path is the part after "/operator/v1/". Fails with ConnectionLost when
    /// no server was reached, or with the failure that the server returned.
    Result<Json> send(const std::string &method, const std::string &path, const Json &body);
    /// Sends a GET request for the explanation of a placement to each server in turn, once, until
    /// one explains it, refuses the query or is the broker and not ready. Fails with ConnectionLost
    /// when no server was reached, or with the failure of the last one that was. A server that
    /// responds with something else than an explanation fails with MalformedMessage.
    Result<Json> readExplanation(const std::string &path) const;
    /// Whether a failed attempt of the last request may have taken effect: its response was lost,
    /// or it failed with a transient failure that does not exclude execution.
    bool anyAttemptMayHaveRun() const { return m_anyAttemptMayHaveRun; }

private:
    struct HttpResponse
    {
        /// HTTP status; 0 when there was no response. \a body is then "sent" if the request may
        /// have reached the server, else empty.
        int status = 0;
        std::string body;
        std::string location;
    };

    HttpResponse sendOnce(const std::string &server, const std::string &method,
                          const std::string &path, const std::string &body,
                          absl::Duration readTimeout) const;
    HttpResponse sendFollowingRedirects(std::string server, const std::string &method,
                                        const std::string &path, const std::string &body);

    const std::vector<std::string> m_servers;
    const std::string m_token;
    bool m_anyAttemptMayHaveRun = false;
};

} // namespace rattanrill::ctl
