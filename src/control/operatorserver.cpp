#include "operatorserver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/http/serversetup.h"

#include <httplib.h>

#include <sys/socket.h>

#include <utility>

namespace rattanrill::control {
namespace {

constexpr std::string_view apiPrefix = "/operator/v1/";
constexpr int temporaryRedirect = 307;
/// An idle connection occupies a thread until this timeout, and stop() waits for that thread.
constexpr absl::Duration keepAliveTimeout = absl::Seconds(2);

struct ListRoute
{
    std::string_view collection;
    wire::RecordKind kind;
};

constexpr ListRoute listRoutes[] = {
        {"contracts", wire::RecordKind::Contract},      {"keys", wire::RecordKind::ApiKey},
        {"configs", wire::RecordKind::Config},          {"routes", wire::RecordKind::Route},
        {"upstreams", wire::RecordKind::Upstream},      {"members", wire::RecordKind::Member},
        {"held", wire::RecordKind::QuarantinedRequest},
};

/// Reads request_id and base_revision, the members that the bodies of all writes have.
Result<void> readCommonWriteMembers(OperatorRequest &request)
{
    BOOST_LEAF_ASSIGN(request.requestId, jsonMember<std::string>(request.body, "request_id"));
    if (request.requestId.empty())
        return fail(notRun(ErrorCode::InvalidRequest, "\"request_id\" is empty"));
    BOOST_LEAF_AUTO(base, jsonMemberOr<std::int64_t>(request.body, "base_revision", 0));
    if (base < 0)
        return fail(notRun(ErrorCode::InvalidRequest, "\"base_revision\" is negative"));
    request.baseRevision = static_cast<std::uint64_t>(base);
    return {};
}

Result<OperatorRequest> parseRequest(const httplib::Request &request, bool isWrite)
{
    OperatorRequest parsed;
    if (request.matches.size() > 1)
        parsed.id = request.matches[1];
    for (const auto &[key, value] : request.params)
        parsed.parameters[key] = value;
    if (!isWrite)
        return parsed;
    BOOST_LEAF_ASSIGN(parsed.body, parseJson(request.body, "request body"));
    BOOST_LEAF_CHECK(readCommonWriteMembers(parsed));
    return parsed;
}

} // namespace

/// httplib's stop() also ends a connection whose last response promised to keep it, with a request
/// on its way. This class closes the listener and ends the connections separately.
class OperatorServer::HttpServer : public httplib::Server
{
public:
    void closeListener() { ::shutdown(svr_sock_, SHUT_RDWR); }
    /// Makes each connection end after its current request.
    void endConnections() { svr_sock_ = INVALID_SOCKET; }
};

OperatorServer::OperatorServer(const ControlSettings &settings, const GroupHost &groups,
                               OperatorApi &api, Metrics &metrics)
    : m_settings(settings)
    , m_groups(groups)
    , m_api(api)
    , m_metrics(metrics)
    , m_server(new HttpServer)
{
    http::ServerOptions options;
    options.maxConnections = settings.maxOperatorConnections;
    options.keepAliveTimeout = keepAliveTimeout;
    http::configureServer(*m_server, options);
    m_server->set_post_routing_handler(
            [this](const httplib::Request &, httplib::Response &response) {
                if (!m_closing)
                    return;
                response.headers.erase("Keep-Alive");
                response.headers.erase("Connection");
                response.set_header("Connection", "close");
            });
    addRoutes();
}

OperatorServer::~OperatorServer()
{
    stop();
}

Result<void> OperatorServer::start()
{
    const ListenAddress &address = m_settings.operatorHttp;
    bool bound = false;
    if (address.port == 0) {
        m_port = m_server->bind_to_any_port(address.host);
        bound = m_port > 0;
    } else {
        m_port = address.port;
        bound = m_server->bind_to_port(address.host, address.port);
    }
    if (!bound)
        return fail(notRun(ErrorCode::AddressInUse,
                           concat("cannot listen on ", address.host, " port ", address.port)));
    m_thread = std::thread([this] {
        m_server->listen_after_bind();
        m_ended.Notify();
    });
    return {};
}

void OperatorServer::stop()
{
    if (!m_thread.joinable())
        return;
    closeAfterResponses();
    // Before listen_after_bind() runs, the connections of the listener would not be accepted.
    while (!m_server->is_running())
        std::this_thread::yield();
    m_server->closeListener();
    if (!m_ended.WaitForNotificationWithTimeout(keepAliveTimeout))
        m_server->endConnections();
    m_thread.join();
}

OperatorServer::Handler OperatorServer::handlerFor(ApiCall function)
{
    return [this, function](const OperatorRequest &request) { return (m_api.*function)(request); };
}

void OperatorServer::addRoutes()
{
    addDirectoryRoutes();
    addRoute("POST", "keys", true, handlerFor(&OperatorApi::addKey));
    addRoute("GET", "in_force", false, handlerFor(&OperatorApi::inForce));
    addRoute("GET", "status", false, handlerFor(&OperatorApi::status));
    addRoute("GET", "batches", false, handlerFor(&OperatorApi::batches));
    addRoute("POST", "batches/([^/]+)/cancel", true, handlerFor(&OperatorApi::cancelBatch));
    addRoute("POST", "replicas", true, handlerFor(&OperatorApi::addReplica));
    addRoute("DELETE", "replicas/(.+)", true, handlerFor(&OperatorApi::removeReplica));
    addProbeRoutes();
}

void OperatorServer::addDirectoryRoutes()
{
    for (const DirectoryWrite &write : directoryWrites())
        addRoute(std::string(write.method), concat(write.collection, "/(.+)"), true,
                 [this, &write](const OperatorRequest &request) {
                     return m_api.write(write, request);
                 });
    for (const ListRoute &route : listRoutes)
        addRoute("GET", std::string(route.collection), false,
                 [this, kind = route.kind](const OperatorRequest &) { return m_api.list(kind); });
}

void OperatorServer::addProbeRoutes()
{
    m_server->Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"status":"ok"})", "application/json");
    });
    m_server->Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        if (m_api.ready())
            response.set_content(R"({"status":"ready"})", "application/json");
        else
            http::sendFailure(response,
                              notRun(ErrorCode::NoQuorum,
                                     "no leader has confirmed the directory view recently"),
                              "");
    });
    m_server->Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(renderMetrics(), "text/plain; version=0.0.4");
    });
    m_server->set_error_handler([](const httplib::Request &, httplib::Response &response) {
        if (!response.body.empty())
            return;
        const bool tooLarge = response.status == httpStatus(ErrorCode::BodyTooLarge);
        const int status = response.status;
        http::sendFailure(response,
                          notRun(tooLarge ? ErrorCode::BodyTooLarge : ErrorCode::NotFound, ""), "");
        response.status = status;
    });
}

void OperatorServer::addRoute(const std::string &method, const std::string &path, bool isWrite,
                              Handler handler)
{
    using RegisterFunction =
            httplib::Server &(httplib::Server::*)(const std::string &, httplib::Server::Handler);
    static const std::map<std::string, RegisterFunction> registerFunctions = {
            {"GET", &httplib::Server::Get},
            {"PUT", &httplib::Server::Put},
            {"POST", &httplib::Server::Post},
            {"DELETE", &httplib::Server::Delete},
    };
    const RegisterFunction registerHandler = registerFunctions.at(method);
    (m_server.get()->*registerHandler)(
            concat(apiPrefix, path),
            [this, isWrite, handler = std::move(handler)](const httplib::Request &request,
                                                          httplib::Response &response) {
                serve(request, response, isWrite, handler);
            });
}

void OperatorServer::serve(const httplib::Request &request, httplib::Response &response,
                           bool isWrite, const Handler &handler)
{
    if (!authorized(request)) {
        log(LogLevel::Warning, "operator-refused",
            {{"peer", request.remote_addr}, {"path", request.path}});
        return sendResponse(
                request, response, "",
                notRun(ErrorCode::AuthenticationFailed, "the operator token is missing or wrong"));
    }
    const auto parsed = outcomeOf([&] { return parseRequest(request, isWrite); });
    if (!parsed.ok())
        return sendResponse(request, response, "", parsed.failure());
    sendResponse(request, response, parsed.value().requestId, handler(parsed.value()));
}

bool OperatorServer::authorized(const httplib::Request &request) const
{
    return constantTimeEquals(request.get_header_value("Authorization"),
                              concat("Bearer ", m_settings.operatorToken));
}

void OperatorServer::sendResponse(const httplib::Request &request, httplib::Response &response,
                                  const std::string &requestId, const Outcome<Json> &outcome)
{
    const std::string code = outcome.ok() ? "ok" : std::string(name(outcome.failure().code));
    m_metrics.count("rattanrill_control_operator_requests_total",
                    {{"method", request.method}, {"code", code}});
    if (outcome.ok())
        return response.set_content(dumpJson(outcome.value()), "application/json");
    Failure failure = outcome.failure();
    const Replica *leader =
            failure.code == ErrorCode::NotLeader ? m_groups.replica(failure.detail) : nullptr;
    http::sendFailure(response, failure, requestId);
    if (leader == nullptr || leader->id == m_settings.instance)
        return;
    response.status = temporaryRedirect;
    response.set_header("Location", concat("http://", leader->operatorAddress, request.target));
}

std::string OperatorServer::renderMetrics()
{
    for (const std::string &group : m_groups.names()) {
        const replication::RaftNodeStatus status = m_groups.find(group)->status();
        const MetricLabels labels = {{"group", group}};
        const bool isLeader = status.role == replication::Role::Leader;
        m_metrics.set("rattanrill_control_group_leader", labels, isLeader ? 1 : 0);
        m_metrics.set("rattanrill_control_group_term", labels, static_cast<double>(status.term));
        m_metrics.set("rattanrill_control_group_commit_index", labels,
                      static_cast<double>(status.commitIndex));
        m_metrics.set("rattanrill_control_group_applied_index", labels,
                      static_cast<double>(status.appliedIndex));
        m_metrics.set("rattanrill_control_group_stopped", labels, status.stopped ? 1 : 0);
    }
    return m_metrics.exposition();
}

} // namespace rattanrill::control
