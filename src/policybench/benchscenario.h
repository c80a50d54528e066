#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy::bench {

enum class Scenario {
    Nominal,
    Surge,
    OnlineBurst,
    LostDomain,
    LostUpstream,
    Poison,
};

std::string_view name(Scenario scenario);

/// Parameters of an engine model. A step decodes one token of every request whose prefill is
/// complete and prefills up to prefillChunk tokens. Its duration is stepBase plus the sum of the
/// per-unit times.
struct EngineModel
{
    absl::Duration stepBase = absl::Milliseconds(20);
    absl::Duration perDecodingRequest = absl::Microseconds(80);
    absl::Duration perContextToken = absl::Nanoseconds(20);
    absl::Duration perPrefillToken = absl::Microseconds(60);
    std::int64_t prefillChunk = 512;
    std::int64_t maxBatch = 64;
    std::int64_t kvCapacityTokens = 96000;
    std::int64_t prefixCacheTokens = 24000;
    /// Number of tokens that a KV import loads in the time in which one token is prefilled.
    std::int64_t importSpeed = 16;
    absl::Duration reportInterval = absl::Milliseconds(100);
    /// Age of the values of a load report when the engine sends it.
    absl::Duration reportLag = absl::Milliseconds(150);
    absl::Duration cacheEventDelay = absl::Seconds(1);
    /// Probability that a cache event is lost.
    double cacheEventLoss = 0.1;
    /// Time from a crash that a request causes until the engine is up again.
    absl::Duration restartTime = absl::Seconds(20);
};

/// A simulated deployment with its load and the bounds of its figures.
struct Deployment
{
    std::string name;
    int engines = 9;
    int domains = 3;
    int entries = 6;
    absl::Duration interDomainDelay;
    absl::Duration clientDelay;
    /// Online requests per second of all workspaces at nominal load.
    double onlineRate = 0;
    /// Share of each workspace in the load. A few workspaces have large shares.
    std::vector<double> shares;
    /// Mean lengths of online prompts and of their outputs, in tokens, before they are clamped.
    double promptTokens = 0;
    double outputTokens = 0;
    double onlineTailWeight = 0;
    EngineModel engine;
    /// Upper bound of the 99th percentile of the time to first token, relative to the same run
    /// without batch tasks.
    double ttftRatioBound = 0;
    /// Lower bound of the share of the idle capacity that batch tasks use.
    double idleShareBound = 0;
};

std::vector<Deployment> deployments();

/// One online request of the load, which is the same for every policy.
struct PlannedRequest
{
    absl::Time at;
    int workspace = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    int prefixGroup = 0;
    /// Selects the entry: relative position, 0 to 1, in the list of live entries.
    double entryChoice = 0;
    /// Whether the request crashes each engine that has prefilled it.
    bool poison = false;
};

struct LoadPlan
{
    std::vector<RateContract> contracts;
    std::vector<PlannedRequest> online;
};

/// Phases of a run.
struct RunTimes
{
    absl::Duration warmup;
    absl::Duration measured;

    absl::Time start() const { return absl::UnixEpoch() + warmup; }
    absl::Time end() const { return start() + measured; }
    /// Time at which the scenario's fault or additional load begins.
    absl::Time disturbance() const { return start() + measured / 4; }
};

LoadPlan makePlan(const Deployment &deployment, Scenario scenario, const RunTimes &times,
                  std::uint64_t seed);

} // namespace rattanrill::policy::bench
