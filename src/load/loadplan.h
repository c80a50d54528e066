#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::load {

/// Period, relative to the start of the run, in which the rate of a workspace is multiplied by a
/// factor.
struct Surge
{
    absl::Duration from;
    absl::Duration to;
    double factor = 1;
};

struct WorkspacePlan
{
    std::string name;
    std::string key;
    double ratePerSecond = 0;
    std::optional<Surge> surge;
};

struct ServiceCallPlan
{
    std::string workspace;
    std::string method = "POST";
    std::string path;
    double ratePerSecond = 0;
    /// A call that is not idempotent is sent with an Idempotency-Key.
    bool idempotent = true;
    /// Maximum number of resends after a failure. A resend has the same Idempotency-Key.
    int resends = 0;
};

struct BatchPlan
{
    std::string workspace;
    std::string file;
    std::string window = "24h";
    /// Time of the upload, relative to the start of the run.
    absl::Duration at;
    /// Time limit of the job, counted from its creation.
    absl::Duration timeout = absl::Seconds(120);
};

/// Requests and batch jobs that rattanrill-load sends.
struct LoadPlan
{
    /// Base URLs, to which requests are distributed in turn.
    std::vector<std::string> targets;
    std::vector<WorkspacePlan> workspaces;
    std::vector<ServiceCallPlan> services;
    std::vector<BatchPlan> batches;
    std::string model;
    /// JSONL file of prompts; may be empty when no workspace has a rate.
    std::string prompts;
    absl::Duration duration = absl::Seconds(10);
    /// Timeout for connecting, reading and writing.
    absl::Duration timeout = absl::Seconds(30);
    /// Fraction of completions that are streamed, from 0 to 1.
    double streamShare = 0.7;
    /// Whether requests are evenly spaced. Otherwise the intervals are exponentially distributed,
    /// as with independent callers.
    bool evenArrivals = false;
    /// Whether a unique reference is added to each prompt, so that no two expected texts are equal.
    bool uniquePrompts = true;
    /// Whether each request uses a new connection, so that a load balancer distributes the
    /// requests.
    bool newConnections = false;
    /// Whether a response that is cut off without a typed error counts as wrong.
    bool cutIsWrong = false;
    std::int64_t maxInFlight = 128;
    std::uint64_t seed = 1;
};

/// JSON schema of the plan file.
std::string_view loadPlanSchema();

/// Reads the plan from JSON that conforms to the schema. Fails with InvalidSetting, naming
/// \a source, when services or batches name a workspace that is not in the plan, or when a
/// workspace has a rate and the plan has no prompts or model.
Result<LoadPlan> loadPlanOf(const Json &json, const std::string &source);

/// Returns the key of \a workspace; empty when the plan does not contain it.
std::string keyOf(const LoadPlan &plan, const std::string &workspace);

} // namespace rattanrill::load
