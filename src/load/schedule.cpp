#include "schedule.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/fakes/answer.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace rattanrill::load {
namespace {

constexpr std::array<EnumName<RequestKind>, 3> kindNames = {{
        {RequestKind::NonStreamed, "whole"},
        {RequestKind::Stream, "stream"},
        {RequestKind::Service, "service"},
}};

constexpr std::int64_t defaultMaxTokens = 64;

/// Random numbers that are the same on every platform, which the distributions of the standard
/// library do not guarantee.
class RandomGenerator
{
public:
    RandomGenerator(std::uint64_t seed, std::string_view purpose)
        : m_random(stableHash(purpose, seed))
    {}

    /// Returns a number in [0, 1).
    double uniform() { return static_cast<double>(m_random() >> 11) * 0x1.0p-53; }
    std::size_t uniformBelow(std::size_t size)
    {
        return static_cast<std::size_t>(m_random() % size);
    }

private:
    std::mt19937_64 m_random;
};

double rateAt(const WorkspacePlan &workspace, absl::Duration at)
{
    const auto &surge = workspace.surge;
    const bool inSurge = surge && at >= surge->from && at < surge->to;
    return workspace.ratePerSecond * (inSurge ? surge->factor : 1);
}

absl::Duration arrivalInterval(RandomGenerator &generator, double rate, bool even)
{
    return absl::Seconds(even ? 1 / rate : -std::log(1 - generator.uniform()) / rate);
}

/// Returns the times of the requests, relative to the start of the run; \a rateOf returns the rate
/// at a given time.
template <typename RateOf>
std::vector<absl::Duration> arrivalTimes(const LoadPlan &plan, RandomGenerator &generator,
                                         RateOf rateOf)
{
    // Step by which the time advances while the rate is 0.
    constexpr absl::Duration zeroRateStep = absl::Milliseconds(100);
    std::vector<absl::Duration> times;
    absl::Duration at;
    while (at < plan.duration) {
        const double rate = rateOf(at);
        at += rate > 0 ? arrivalInterval(generator, rate, plan.evenArrivals) : zeroRateStep;
        if (rate > 0 && at <= plan.duration)
            times.push_back(at);
    }
    return times;
}

/// Returns the body of a completion request for a prompt line; \a reference is added to the prompt.
Json bodyOf(const LoadPlan &plan, const Json &line, const std::string &reference, bool stream)
{
    Json body = line;
    body.erase("workspace");
    body["model"] = line.value("model", plan.model);
    body["max_tokens"] = line.value("max_tokens", defaultMaxTokens);
    body["stream"] = stream;
    if (reference.empty())
        return body;
    if (body.contains("messages"))
        body["messages"].push_back({{"role", "user"}, {"content", reference}});
    else
        body["prompt"] = concat(body.value("prompt", ""), "\n", reference);
    return body;
}

Result<PlannedRequest> makeCompletion(const LoadPlan &plan, const WorkspacePlan &workspace,
                                      const Json &line, const std::string &id, bool stream)
{
    const std::string reference = plan.uniquePrompts ? concat("Reference ", id) : std::string();
    const Json body = bodyOf(plan, line, reference, stream);
    PlannedRequest request;
    request.kind = stream ? RequestKind::Stream : RequestKind::NonStreamed;
    request.requestId = id;
    request.workspace = workspace.name;
    request.key = workspace.key;
    request.path = body.contains("messages") ? "/v1/chat/completions" : "/v1/completions";
    BOOST_LEAF_ASSIGN(request.prompt, fakes::promptOf(body));
    BOOST_LEAF_ASSIGN(request.maxTokens, jsonMember<std::int64_t>(body, "max_tokens"));
    request.body = dumpJson(body);
    return request;
}

Result<void> addCompletions(const LoadPlan &plan, const std::vector<Json> &prompts,
                            const WorkspacePlan &workspace, std::vector<PlannedRequest> &requests)
{
    if (workspace.ratePerSecond <= 0)
        return {};
    if (prompts.empty())
        return fail(notRun(ErrorCode::InvalidRequest, "the prompt file is empty"));
    RandomGenerator generator(plan.seed, concat("completions/", workspace.name));
    const auto times =
            arrivalTimes(plan, generator, [&](absl::Duration at) { return rateAt(workspace, at); });
    for (const absl::Duration at : times) {
        const Json &line = prompts[generator.uniformBelow(prompts.size())];
        const bool stream = generator.uniform() < plan.streamShare;
        const std::string id =
                concat("load-", plan.seed, "-", workspace.name, "-", requests.size());
        BOOST_LEAF_AUTO(request, makeCompletion(plan, workspace, line, id, stream));
        request.at = at;
        requests.push_back(std::move(request));
    }
    return {};
}

void addServiceCalls(const LoadPlan &plan, const ServiceCallPlan &call,
                     std::vector<PlannedRequest> &requests)
{
    RandomGenerator generator(plan.seed,
                              concat("service/", call.workspace, call.path, call.idempotent));
    const auto times =
            arrivalTimes(plan, generator, [&](absl::Duration) { return call.ratePerSecond; });
    for (const absl::Duration at : times) {
        PlannedRequest request;
        request.at = at;
        request.kind = RequestKind::Service;
        request.requestId = concat("load-", plan.seed, "-service-", requests.size());
        request.workspace = call.workspace;
        request.key = keyOf(plan, call.workspace);
        request.method = call.method;
        request.path = call.path;
        request.body = dumpJson({{"reference", request.requestId}});
        request.resends = call.resends;
        if (!call.idempotent)
            request.idempotencyKey = request.requestId;
        requests.push_back(std::move(request));
    }
}

} // namespace

std::string_view name(RequestKind kind)
{
    return nameOf(kindNames, kind);
}

Result<std::vector<PlannedRequest>> makeSchedule(const LoadPlan &plan,
                                                 const std::vector<Json> &prompts)
{
    std::vector<PlannedRequest> requests;
    for (const WorkspacePlan &workspace : plan.workspaces)
        BOOST_LEAF_CHECK(addCompletions(plan, prompts, workspace, requests));
    for (const ServiceCallPlan &call : plan.services)
        addServiceCalls(plan, call, requests);
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    for (std::size_t i = 0; i < requests.size(); ++i)
        requests[i].target = i % plan.targets.size();
    return requests;
}

} // namespace rattanrill::load
