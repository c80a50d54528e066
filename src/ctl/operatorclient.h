#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace rattanrill::ctl {

/// Sends requests to the operators' interface. It tries the servers in turn, follows redirects to
/// the leader, and repeats a request whose answer was lost. A write is safe to repeat because it
/// carries its request id.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> servers, std::string token);

    /// Sends a request; \a path is the part after "/operator/v1/". Fails with ConnectionLost when
    /// no server was reached, or with the failure that the server returned.
    Result<Json> send(const std::string &method, const std::string &path, const Json &body);
    /// Whether an unsuccessful attempt of the last request may have taken effect: its answer was
    /// lost, or a transient failure left open whether it ran.
    bool anyAttemptMayHaveRun() const { return m_anyAttemptMayHaveRun; }

private:
    struct Answer
    {
        /// HTTP status; 0 when there was no answer. \a body is then "sent" if the request may have
        /// reached the server, else empty.
        int status = 0;
        std::string body;
        std::string location;
    };

    Answer sendOnce(const std::string &server, const std::string &method, const std::string &path,
                    const std::string &body) const;
    Answer sendFollowingRedirects(std::string server, const std::string &method,
                                  const std::string &path, const std::string &body);

    const std::vector<std::string> m_servers;
    const std::string m_token;
    bool m_anyAttemptMayHaveRun = false;
};

} // namespace rattanrill::ctl
