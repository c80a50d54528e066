#pragma once

#include "controlnode.h"

#include "rattanrill/base/json.h"

#include <memory>
#include <string>
#include <vector>

namespace rattanrill::control {

/// Control instances in the test process, with real Raft groups, data folders and loopback sockets.
class ControlCluster
{
public:
    explicit ControlCluster(int count);
    ~ControlCluster();

    void start(int i);
    void stop(int i);
    /// Waits for a directory leader and returns its index.
    int leader();
    std::vector<std::string> peerAddresses() const;
    const ListenAddress &operatorAddress(int i) const;
    peer::TransportOptions transport(const std::string &secret = clusterSecret) const;

    struct Response
    {
        int status = 0;
        Json body;
        std::string location;
    };

    Response request(int i, const std::string &method, const std::string &path,
                     const Json &body = Json::object(), const std::string &token = operatorToken);
    /// Writes the contract of workspace "w1" with \a rate at the leader.
    Response putContract(double rate, std::uint64_t baseRevision, const std::string &requestId);

    static constexpr const char *clusterSecret = "secret-of-the-cluster";
    static constexpr const char *operatorToken = "token-of-the-operators";

private:
    std::string m_folder;
    std::vector<ControlSettings> m_settings;
    std::vector<std::unique_ptr<ControlNode>> m_nodes;
};

} // namespace rattanrill::control
