#include "placement.h"

#include "placementquery.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace rattanrill::gateway {
namespace {

/// Figures that are not whole numbers are rounded to 1 / roundingFactor.
constexpr double roundingFactor = 1000;

double rounded(double figure)
{
    return std::round(figure * roundingFactor) / roundingFactor;
}

Json textOrNull(const std::string &text)
{
    return text.empty() ? Json() : Json(text);
}

Json millisecondsOrNull(const std::optional<absl::Duration> &duration)
{
    const bool isFinite = duration && absl::AbsDuration(*duration) != absl::InfiniteDuration();
    return isFinite ? Json(absl::ToInt64Milliseconds(*duration)) : Json();
}

template <typename Enum>
Json nameOrNull(const std::optional<Enum> &value)
{
    return value ? Json(name(*value)) : Json();
}

Json upstreamJson(const policy::UpstreamExplanation &upstream)
{
    return {
            {"id", upstream.id},
            {"failure_domain", upstream.failureDomain},
            {"version", upstream.version},
            {"slots", upstream.slots},
            {"requests", upstream.requests},
            {"requests_of_others", upstream.requestsOfOthers},
            {"load_report_age_ms", millisecondsOrNull(upstream.loadReportAge)},
            {"pace", rounded(upstream.pace)},
            {"cost", rounded(upstream.cost)},
            {"cold", upstream.coldRemaining.has_value()},
            {"cold_remaining_ms", millisecondsOrNull(upstream.coldRemaining)},
            {"reason", nameOrNull(upstream.reason)},
            {"reason_remaining_ms", millisecondsOrNull(upstream.reasonRemaining)},
    };
}

Json rateJson(const std::optional<policy::WorkspaceRate> &rate)
{
    if (!rate)
        return {};
    return {{"level", rounded(rate->level)},
            {"rate_per_second", rounded(rate->contract.ratePerSecond)},
            {"burst", rounded(rate->contract.burst)}};
}

Json servicesJson(const serving::Route &route)
{
    Json services = Json::array();
    for (const serving::RouteTarget &target : route.targets)
        services.push_back({{"service", target.service}, {"weight", target.weight}});
    return services;
}

Json explanationJson(const PlacementQuery &query, const policy::PlacementExplanation &explanation)
{
    using policy::PlacementOutcome;
    const auto waitFor = [&](PlacementOutcome outcome) {
        return explanation.outcome == outcome ? millisecondsOrNull(explanation.wait) : Json();
    };
    Json upstreams = Json::array();
    for (const policy::UpstreamExplanation &upstream : explanation.upstreams)
        upstreams.push_back(upstreamJson(upstream));
    return {
            {"route", query.route->name},
            {"services", servicesJson(*query.route)},
            {"service", query.request.service},
            {"workspace", query.request.workspace},
            {"kind", name(query.kind)},
            {"outcome", name(explanation.outcome)},
            {"upstream", textOrNull(explanation.upstream)},
            {"preempted_task", textOrNull(explanation.preemptedTask)},
            {"rule", nameOrNull(explanation.rule)},
            {"expected_wait_ms", waitFor(PlacementOutcome::Waits)},
            {"retry_after_ms", waitFor(PlacementOutcome::Rejected)},
            {"rate_wait_ms", waitFor(PlacementOutcome::OverRate)},
            {"version_gone", explanation.isVersionGone},
            {"waiting_tasks", explanation.waitingTasks},
            {"last_decision_age_ms", millisecondsOrNull(explanation.lastDecisionAge)},
            {"rate", rateJson(explanation.rate)},
            {"upstreams", std::move(upstreams)},
    };
}

Result<Json> explain(const PlacementContext &context, const net::Request &request)
{
    if (request.method != "GET")
        return fail(notRun(ErrorCode::MethodNotAllowed,
                           concat("the method is \"", request.method, "\" instead of \"GET\"")));
    if (!context.leads)
        return fail(notRun(ErrorCode::NotLeader,
                           context.leader.empty()
                                   ? "the instance of the slot broker is not known"
                                   : concat("the slot broker is \"", context.leader, "\"")));
    if (!context.deployment)
        return fail(notRun(ErrorCode::NotReady, "no configuration has been received yet"));
    if (!context.hasUpstreams)
        return fail(notRun(ErrorCode::NotReady, "no list of upstreams has been received yet"));
    BOOST_LEAF_AUTO(query, parsePlacementQuery(request.target, *context.deployment, context.self));
    return explanationJson(query, context.broker.explain(query.request, query.kind));
}

} // namespace

net::Response placementResponse(const PlacementContext &context, const net::Request &request)
{
    constexpr std::string_view contentType = "application/json";
    const auto explanation = outcomeOf([&] { return explain(context, request); });
    if (explanation.ok())
        return net::textResponse(200, dumpJson(explanation.value()), contentType);
    const Failure &failure = explanation.failure();
    const Json error = {{"code", name(failure.code)},
                        {"message", describe(failure)},
                        {"run", name(failure.effect)}};
    return net::textResponse(httpStatus(failure.code), dumpJson(Json{{"error", error}}),
                             contentType);
}

std::string instanceOf(const fleet::FleetState &state, const std::string &replica)
{
    const auto found = std::find_if(state.members.begin(), state.members.end(),
                                    [&](const wire::FleetMemberStatus &status) {
                                        return status.member.replica == replica;
                                    });
    return found == state.members.end() ? std::string() : found->member.instance;
}

} // namespace rattanrill::gateway
