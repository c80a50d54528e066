#include "serviceserver.h"

#include "rattanrill/fakes/answer.h"
#include "rattanrill/http/serversetup.h"

#include "absl/time/clock.h"

namespace rattanrill::fakes {

ServiceServer::ServiceServer(FakeHttpServer &server, ServiceModel &model, Faults &faults,
                             RequestLog &records, const Clock &clock)
    : m_server(server)
    , m_model(model)
    , m_faults(faults)
    , m_records(records)
    , m_clock(clock)
{
    // httplib uses the first route that matches, and the service routes match every path, so they
    // are added last.
    addManagementRoutes();
    addServiceRoutes();
    m_server.announceLeaving(m_faults);
}

void ServiceServer::addManagementRoutes()
{
    m_server.Get("/records", [this](const httplib::Request &request, httplib::Response &response) {
        sendRecords(m_records, request, response);
    });
    m_server.Post("/faults", [this](const httplib::Request &request, httplib::Response &response) {
        setFaults(request, response);
    });
    m_server.Get("/service/load", [this](const httplib::Request &, httplib::Response &response) {
        m_faults.waitWhileFrozen(m_clock.now());
        load(response);
    });
    m_server.Get("/healthz", [this](const httplib::Request &, httplib::Response &response) {
        m_faults.waitWhileFrozen(m_clock.now());
        sendJson(response, {{"status", "ok"}});
    });
}

void ServiceServer::addServiceRoutes()
{
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        serve(request, response);
    };
    m_server.Get(".*", handler);
    m_server.Post(".*", httplib::Server::Handler(handler));
    m_server.Put(".*", httplib::Server::Handler(handler));
    m_server.Patch(".*", httplib::Server::Handler(handler));
    m_server.Delete(".*", httplib::Server::Handler(handler));
    m_server.Options(".*", handler);
}

void ServiceServer::load(httplib::Response &response)
{
    const LoadSample load = m_model.load();
    sendJson(response, {{"running", load.running + load.waiting},
                        {"capacity", m_model.settings().capacity},
                        {"age_ms", absl::ToInt64Milliseconds(m_model.settings().loadReportLag)}});
}

void ServiceServer::setFaults(const httplib::Request &request, httplib::Response &response)
{
    const auto set = outcomeOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(body, parseJson(request.body, "body"));
        return m_faults.set(body, m_clock.now());
    });
    if (set.ok())
        sendJson(response, {{"set", true}});
    else
        http::sendFailure(response, set.failure(), "");
}

void ServiceServer::serve(const httplib::Request &request, httplib::Response &response)
{
    m_faults.waitWhileFrozen(m_clock.now());
    const auto serviceResponse = outcomeOf([&] { return runRequest(request); });
    m_faults.waitWhileFrozen(m_clock.now());
    if (serviceResponse.ok())
        sendServiceResponse(response, serviceResponse.value());
    else
        http::sendFailure(response, serviceResponse.failure(),
                          request.get_header_value("X-Request-Id"));
}

Result<ServiceResponse> ServiceServer::runRequest(const httplib::Request &request)
{
    const std::string id = request.get_header_value("X-Request-Id");
    const std::int64_t seq = m_records.add(recordOf(request, id));
    const FaultState faults = m_faults.state();
    if (faults.rejectRequests)
        return fail(notRun(ErrorCode::UpstreamBusy, "request refused by an injected fault"));
    const bool crashes =
            !faults.crashOn.empty() && request.body.find(faults.crashOn) != std::string::npos;
    BOOST_LEAF_AUTO(serviceResponse, m_model.serve({request.path, id, hashText(request.body)}, [&] {
        m_records.markStarted(seq);
        if (crashes)
            crashProcess();
    }));
    m_records.markFinished(seq, 0);
    // Delays only the response: the request has already released its slot.
    absl::SleepFor(faults.responseDelay);
    return serviceResponse;
}

void ServiceServer::sendServiceResponse(httplib::Response &response,
                                        const ServiceResponse &serviceResponse)
{
    const Json body = {{"service", m_model.settings().service},
                       {"path", serviceResponse.path},
                       {"request_id", serviceResponse.requestId},
                       {"echo", serviceResponse.echo}};
    if (m_faults.state().cutAfterTokens == 0) {
        sendJson(response, body);
        return;
    }
    // Announces the full length, but closes the connection halfway through the body.
    response.set_content_provider(
            dumpJson(body).size(), "application/json",
            [text = dumpJson(body)](std::size_t, std::size_t length, httplib::DataSink &sink) {
                sink.write(text.data(), length / 2);
                return false;
            });
}

} // namespace rattanrill::fakes
