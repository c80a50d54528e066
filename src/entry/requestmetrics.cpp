#include "requestmetrics.h"

namespace rattanrill::entry {
namespace {

/// Whether the caller is responsible for the failure, because it exceeds its rate or because of the
/// content of its request. Such failures do not count against the service-level objective for
/// requests within the rate.
bool isCausedByCaller(ErrorCode code)
{
    switch (code) {
    case ErrorCode::RateLimited:
    case ErrorCode::MissingKey:
    case ErrorCode::InvalidKey:
    case ErrorCode::KeyRevoked:
    case ErrorCode::InvalidRequest:
    case ErrorCode::BodyTooLarge:
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownRoute:
    case ErrorCode::NotFound:
    case ErrorCode::MethodNotAllowed:
    case ErrorCode::RequestQuarantined:
    case ErrorCode::DuplicateRequest:
    case ErrorCode::ClientDisconnected:
        return true;
    default:
        return false;
    }
}

MetricLabels toMetricLabels(const RequestLabels &labels)
{
    return {{"workspace", labels.workspace}, {"model", labels.model}};
}

} // namespace

RequestMetrics::RequestMetrics(Metrics &metrics)
    : m_metrics(metrics)
{}

void RequestMetrics::firstToken(const RequestLabels &labels, absl::Duration sinceArrival)
{
    m_metrics.observe("rattanrill_ttft_seconds", toMetricLabels(labels),
                      absl::ToDoubleSeconds(sinceArrival));
}

void RequestMetrics::nextToken(const RequestLabels &labels, absl::Duration sinceLast)
{
    m_metrics.observe("rattanrill_tbt_seconds", toMetricLabels(labels),
                      absl::ToDoubleSeconds(sinceLast));
}

void RequestMetrics::ended(const RequestLabels &labels, const std::optional<Failure> &failure)
{
    MetricLabels all = toMetricLabels(labels);
    all["code"] = failure ? std::string(name(failure->code)) : "ok";
    m_metrics.count("rattanrill_requests_total", all);
    if (!failure || failure->effect != EffectState::NotRun)
        return;
    m_metrics.count("rattanrill_refused_total",
                    {{"workspace", labels.workspace},
                     {"code", std::string(name(failure->code))},
                     {"inside_rate", isCausedByCaller(failure->code) ? "false" : "true"}});
}

void RequestMetrics::tokens(const RequestLabels &labels, policy::TaskKind kind, std::uint64_t count)
{
    MetricLabels all = toMetricLabels(labels);
    all["class"] = kind == policy::TaskKind::Online ? "online" : "batch";
    m_metrics.count("rattanrill_tokens_total", all, count);
}

void RequestMetrics::itemEnded(const std::string &workspace, bool failed, bool pastDue)
{
    m_metrics.count("rattanrill_batch_items_total",
                    {{"workspace", workspace}, {"state", failed ? "failed" : "completed"}});
    if (pastDue)
        m_metrics.count("rattanrill_batch_past_due_total", {{"workspace", workspace}});
}

} // namespace rattanrill::entry
