#pragma once

#include "fakehttpserver.h"
#include "rattanrill/fakes/tcprelay.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::fakes {

/// HTTP interface to the links of rattanrill-fake-link. All links must be added before the server
/// starts to listen.
class LinkServer
{
public:
    explicit LinkServer(FakeHttpServer &server);

    /// Starts a relay; returns its port. Fails with AddressInUse or InvalidArgument.
    Result<int> addLink(const std::string &name, const RelayAddress &listen,
                        const RelayAddress &target);

private:
    using Links = std::map<std::string, std::unique_ptr<TcpRelay>>;

    void sendLinks(httplib::Response &response) const;
    /// Sets the faults of the link in the path of \a request, or of all links when the path has
    /// none.
    void setFaults(const httplib::Request &request, httplib::Response &response);
    Result<void> applyFaults(const std::string &name, const std::string &body);

    Links m_links;
};

/// Returns \a current with the changes in \a body; members that \a body lacks keep their values.
/// Fails with InvalidRequest.
Result<LinkFaults> changedFaults(LinkFaults current, const Json &body);

} // namespace rattanrill::fakes
