#pragma once

#include "fakehttpserver.h"
#include "rattanrill/fakes/servicemodel.h"

namespace rattanrill::fakes {

/// HTTP interface of the fake plain service (docs/upstream-protocol.md).
class ServiceServer
{
public:
    ServiceServer(FakeHttpServer &server, ServiceModel &model, Faults &faults, RequestLog &records,
                  const Clock &clock = SystemClock::instance());

private:
    void addManagementRoutes();
    void addServiceRoutes();
    void load(httplib::Response &response);
    void setFaults(const httplib::Request &request, httplib::Response &response);
    void serve(const httplib::Request &request, httplib::Response &response);
    Result<ServiceResponse> runRequest(const httplib::Request &request);
    void sendServiceResponse(httplib::Response &response, const ServiceResponse &serviceResponse);

    FakeHttpServer &m_server;
    ServiceModel &m_model;
    Faults &m_faults;
    RequestLog &m_records;
    const Clock &m_clock;
};

} // namespace rattanrill::fakes
