#pragma once

#include "operatorapi.h"

#include "rattanrill/base/metrics.h"

#include "absl/synchronization/notification.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
struct Request;
struct Response;
} // namespace httplib

namespace rattanrill::control {

/// HTTP server of the operators' interface, see docs/operator-http.md.
class OperatorServer
{
public:
    OperatorServer(const ControlSettings &settings, const GroupHost &groups, OperatorApi &api,
                   Metrics &metrics);
    ~OperatorServer();

    /// Starts to listen and to serve on separate threads. Fails with AddressInUse.
    Result<void> start();
    int port() const { return m_port; }
    /// Makes each response announce that its connection is closed; to be called when the shutdown
    /// begins.
    void closeAfterResponses() { m_closing = true; }
    /// Closes the listener, serves requests that arrive on open connections for a short time, and
    /// waits for the running ones.
    void stop();

private:
    class HttpServer;
    using Handler = std::function<Outcome<Json>(const OperatorRequest &)>;
    using ApiCall = Outcome<Json> (OperatorApi::*)(const OperatorRequest &);

    void addRoutes();
    void addDirectoryRoutes();
    void addProbeRoutes();
    void addRoute(const std::string &method, const std::string &path, bool isWrite,
                  Handler handler);
    Handler handlerFor(ApiCall function);
    void serve(const httplib::Request &request, httplib::Response &response, bool isWrite,
               const Handler &handler);
    bool authorized(const httplib::Request &request) const;
    void sendResponse(const httplib::Request &request, httplib::Response &response,
                      const std::string &requestId, const Outcome<Json> &outcome);
    /// Updates the gauges of the groups and returns all metrics as text.
    std::string renderMetrics();

    const ControlSettings &m_settings;
    const GroupHost &m_groups;
    OperatorApi &m_api;
    Metrics &m_metrics;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
    int m_port = 0;
    std::atomic<bool> m_closing{false};
    /// Notified when the listener is closed and all connections have ended.
    absl::Notification m_ended;
};

} // namespace rattanrill::control
