#include "fakehttpserver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/base/upstreamprotocol.h"
#include "rattanrill/http/serversetup.h"
#include "rattanrill/settings/program.h"
#include "recordjson.h"

#include <sys/socket.h>
#include <unistd.h>

#include <iostream>
#include <thread>
#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr int listenBacklog = 1024;

/// Whether httplib added \a header: it adds the addresses of the connection to the headers of a
/// request.
bool isAddedByLibrary(const std::string &header)
{
    return header == "REMOTE_ADDR" || header == "REMOTE_PORT" || header == "LOCAL_ADDR"
           || header == "LOCAL_PORT";
}

} // namespace

HttpSettings httpSettings(const Json &settings)
{
    HttpSettings http;
    http.host = settings.at("http").at("host");
    http.port = settings.at("http").at("port");
    const Json limits = settings.value("limits", Json::object());
    http.maxConnections = limits.value("maxConnections", http.maxConnections);
    return http;
}

RequestLogSettings recordSettings(const Json &settings)
{
    RequestLogSettings records;
    const Json member = settings.value("records", Json::object());
    records.limit = member.value("limit", records.limit);
    records.file = member.value("file", records.file);
    return records;
}

FakeHttpServer::FakeHttpServer(const HttpSettings &settings)
    : m_settings(settings)
{
    http::ServerOptions options;
    options.maxConnections = settings.maxConnections;
    http::configureServer(*this, options);
}

Result<int> FakeHttpServer::bind()
{
    int port = m_settings.port;
    if (port == 0)
        port = bind_to_any_port(m_settings.host);
    else if (!bind_to_port(m_settings.host, port))
        port = -1;
    if (port <= 0)
        return fail(notRun(ErrorCode::AddressInUse,
                           concat("cannot listen on ", m_settings.host, ":", m_settings.port)));
    ::listen(svr_sock_, listenBacklog);
    return port;
}

int FakeHttpServer::serveUntil(ShutdownSignal &signal, Json startLine)
{
    const auto port = outcomeOf([this] { return bind(); });
    if (!port.ok()) {
        log(LogLevel::Error, "listen-failed", {{"detail", port.failure().detail}});
        return exitFailure;
    }
    startLine["listening"] = concat(m_settings.host, ":", port.value());
    std::cout << dumpJson(startLine) << std::endl;
    std::thread listener([this] { listen_after_bind(); });
    signal.wait();
    log(LogLevel::Info, "stopped");
    _exit(exitOk);
}

void FakeHttpServer::announceLeaving(const Faults &faults)
{
    set_post_routing_handler([&faults](const httplib::Request &, httplib::Response &response) {
        if (faults.state().leaving)
            response.set_header(std::string(leavingHeader), std::string(leavingValue));
    });
}

RequestRecord recordOf(const httplib::Request &request, std::string requestId)
{
    RequestRecord record;
    record.requestId = std::move(requestId);
    record.path = request.target;
    for (const auto &[key, value] : request.headers) {
        if (isAddedByLibrary(key))
            continue;
        std::string &joined = record.headers[key];
        joined += (joined.empty() ? "" : ", ") + value;
    }
    return record;
}

void sendRecords(const RequestLog &records, const httplib::Request &request,
                 httplib::Response &response)
{
    const std::int64_t after = numberParam(request, "after");
    Json list = Json::array();
    std::int64_t next = after;
    for (const RequestRecord &record : records.recordsAfter(after)) {
        list.push_back(toJson(record));
        next = record.seq;
    }
    sendJson(response, {{"records", list}, {"next", next}});
}

void sendJson(httplib::Response &response, const Json &body)
{
    response.set_content(dumpJson(body), "application/json");
}

std::int64_t numberParam(const httplib::Request &request, const char *key)
{
    return std::atoll(request.get_param_value(key).c_str());
}

} // namespace rattanrill::fakes
