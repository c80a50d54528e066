#pragma once

#include "fakehttpserver.h"
#include "rattanrill/fakes/tcprelay.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::fakes {

/// HTTP control of the links of rattanrill-fake-link. Links are added before the server listens.
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
    /// Sets faults on one link, or on all.
    void setFaults(const httplib::Request &request, httplib::Response &response);
    Result<void> applyFaults(const std::string &name, const std::string &body);

    Links m_links;
};

/// Faults after \a body is applied to \a current: members that are missing keep their values.
/// Fails with InvalidRequest.
Result<LinkFaults> changedFaults(LinkFaults current, const Json &body);

} // namespace rattanrill::fakes
