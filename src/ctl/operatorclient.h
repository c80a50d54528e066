#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace rattanrill::ctl {

/// Sends requests to the operators' interface: tries the servers in turn, follows redirects to the
/// leader, and repeats a request whose answer was lost. A write is safe to repeat because it
/// carries its request id.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> servers, std::string token);

    /// Path after "/operator/v1/". Fails with ConnectionLost when no server was reached, or with
    /// the failure that the server answered.
    Result<Json> send(const std::string &method, const std::string &path, const Json &body);
    /// An answer to the last write was lost before the one that came.
    bool repeated() const { return m_repeated; }

private:
    struct Answer
    {
        /// 0: no answer.
        int status = 0;
        std::string body;
        std::string location;
    };

    Answer sendOnce(const std::string &server, const std::string &method, const std::string &path,
                    const std::string &body) const;
    Answer sendFollowing(std::string server, const std::string &method, const std::string &path,
                         const std::string &body);

    const std::vector<std::string> m_servers;
    const std::string m_token;
    bool m_repeated = false;
};

} // namespace rattanrill::ctl
