#include "callerroutes.h"

#include "viewqueries.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <optional>
#include <vector>

namespace rattanrill::entry {
namespace {

constexpr std::string_view anyPath = ".*";

/// Matches \a path against \a pattern. Returns the segment at the position of "*" (empty when the
/// pattern has none), or nothing when \a path does not match.
std::optional<std::string> matchPattern(std::string_view pattern, std::string_view path)
{
    const std::size_t star = pattern.find('*');
    if (star == std::string_view::npos)
        return pattern == path ? std::optional<std::string>("") : std::nullopt;
    const std::string_view before = pattern.substr(0, star);
    const std::string_view after = pattern.substr(star + 1);
    const bool longEnough = path.size() > before.size() + after.size();
    if (!longEnough || path.substr(0, before.size()) != before
        || path.substr(path.size() - after.size()) != after)
        return std::nullopt;
    const std::string_view segment =
            path.substr(before.size(), path.size() - before.size() - after.size());
    if (segment.find('/') != std::string_view::npos)
        return std::nullopt;
    return std::string(segment);
}

} // namespace

CallerRoutes::CallerRoutes(Context context)
    : m_context(std::move(context))
{}

const std::vector<CallerRoutes::Row> &CallerRoutes::rows()
{
    static const std::vector<Row> table = {
            {"POST", completionsPath, &CallerRoutes::complete},
            {"POST", chatPath, &CallerRoutes::complete},
            {"GET", "/v1/models", &CallerRoutes::listModels},
            {"POST", "/v1/files", &CallerRoutes::upload},
            {"GET", "/v1/files/*", &CallerRoutes::describeFile},
            {"GET", "/v1/files/*/content", &CallerRoutes::fileContent},
            {"POST", "/v1/batches", &CallerRoutes::createBatch},
            {"GET", "/v1/batches", &CallerRoutes::listBatches},
            {"GET", "/v1/batches/*", &CallerRoutes::describeBatch},
            {"POST", "/v1/batches/*/cancel", &CallerRoutes::cancelBatch},
            {"GET", "/healthz", &CallerRoutes::health},
            {"GET", "/readyz", &CallerRoutes::ready},
            {"GET", "/metrics", &CallerRoutes::metrics},
    };
    return table;
}

void CallerRoutes::install(httplib::Server &server)
{
    const auto withoutBody = [this](const httplib::Request &request, httplib::Response &response) {
        handle(request, response, nullptr);
    };
    const auto withBody = [this](const httplib::Request &request, httplib::Response &response,
                                 const httplib::ContentReader &reader) {
        handle(request, response, &reader);
    };
    const std::string pattern(anyPath);
    server.Get(pattern, withoutBody);
    server.Options(pattern, withoutBody);
    server.Post(pattern, withBody);
    server.Put(pattern, withBody);
    server.Patch(pattern, withBody);
    server.Delete(pattern, withBody);
}

void CallerRoutes::handle(const httplib::Request &request, httplib::Response &response,
                          const httplib::ContentReader *reader)
{
    Exchange exchange(request, response, reader);
    dispatch(exchange);
    exchange.closeUnlessRead();
    // Successful requests without a workspace, such as health checks and scrapes of the metrics,
    // are not counted.
    const bool isCounted = exchange.failure() || !exchange.labels().workspace.empty();
    if (isCounted && !exchange.isStreamed())
        m_context.requestMetrics.ended(exchange.labels(), exchange.failure());
    m_context.metrics.count("rattanrill_http_responses_total",
                            {{"status", std::to_string(response.status)}});
    log(LogLevel::Debug, "request",
        {{"requestId", exchange.requestId()},
         {"method", request.method},
         {"path", request.path},
         {"status", response.status}});
}

void CallerRoutes::dispatch(Exchange &exchange)
{
    if (m_context.shutdown.hasPassed()) {
        exchange.sendFailure(notRun(ErrorCode::Draining, "this instance is stopping"));
        return;
    }
    bool knownPath = false;
    for (const Row &row : rows()) {
        const std::optional<std::string> id = matchPattern(row.pattern, exchange.path());
        if (!id)
            continue;
        knownPath = true;
        if (row.method != exchange.request().method)
            continue;
        (this->*row.handler)(exchange, *id);
        return;
    }
    if (knownPath)
        exchange.sendFailure(
                notRun(ErrorCode::MethodNotAllowed,
                       concat(exchange.request().method, " is not served at ", exchange.path())));
    else if (!m_context.services.handle(exchange))
        exchange.sendFailure(
                notRun(ErrorCode::UnknownRoute, concat("no route for ", exchange.path())));
}

void CallerRoutes::complete(Exchange &exchange, const std::string &)
{
    m_context.completions.handle(exchange);
}

void CallerRoutes::listModels(Exchange &exchange, const std::string &)
{
    if (!m_context.admission.authenticate(exchange))
        return;
    Json data = Json::array();
    for (const std::string &model : models(*m_context.directory.view()))
        data.push_back(
                {{"id", model}, {"object", "model"}, {"created", 0}, {"owned_by", "rattanrill"}});
    exchange.sendJson(dumpJson({{"object", "list"}, {"data", data}}));
}

void CallerRoutes::upload(Exchange &exchange, const std::string &)
{
    m_context.files.upload(exchange);
}

void CallerRoutes::describeFile(Exchange &exchange, const std::string &id)
{
    m_context.files.describe(exchange, id);
}

void CallerRoutes::fileContent(Exchange &exchange, const std::string &id)
{
    m_context.files.content(exchange, id);
}

void CallerRoutes::createBatch(Exchange &exchange, const std::string &)
{
    m_context.batches.create(exchange);
}

void CallerRoutes::listBatches(Exchange &exchange, const std::string &)
{
    m_context.batches.list(exchange);
}

void CallerRoutes::describeBatch(Exchange &exchange, const std::string &id)
{
    m_context.batches.describe(exchange, id);
}

void CallerRoutes::cancelBatch(Exchange &exchange, const std::string &id)
{
    m_context.batches.cancel(exchange, id);
}

void CallerRoutes::health(Exchange &exchange, const std::string &)
{
    exchange.sendJson(R"({"status":"ok"})");
}

void CallerRoutes::ready(Exchange &exchange, const std::string &)
{
    const std::string reason = m_context.unreadyReason();
    if (reason.empty())
        exchange.sendJson(R"({"status":"ready"})");
    else
        exchange.sendFailure(notRun(ErrorCode::Draining, reason));
}

void CallerRoutes::metrics(Exchange &exchange, const std::string &)
{
    m_context.refreshMetrics();
    exchange.response().set_content(m_context.metrics.exposition(), "text/plain; version=0.0.4");
}

} // namespace rattanrill::entry
