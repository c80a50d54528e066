#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::load {

/// Time in which a workspace sends a multiple of its rate.
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
    /// A call that is not idempotent carries an Idempotency-Key.
    bool idempotent = true;
    /// Resends, with the same key, after a failure.
    int resends = 0;
};

struct BatchPlan
{
    std::string workspace;
    std::string file;
    std::string window = "24h";
    absl::Duration at;
    /// How long after the upload the job may take.
    absl::Duration wait = absl::Seconds(120);
};

/// What rattanrill-load sends.
struct LoadPlan
{
    /// Base URLs, used in turn.
    std::vector<std::string> targets;
    std::vector<WorkspacePlan> workspaces;
    std::vector<ServiceCallPlan> services;
    std::vector<BatchPlan> batches;
    std::string model;
    /// JSONL file of prompts; may be empty when no workspace has a rate.
    std::string prompts;
    absl::Duration duration = absl::Seconds(10);
    absl::Duration timeout = absl::Seconds(30);
    /// Share of completions that are streamed.
    double streamShare = 0.7;
    /// Even: equal spacing; otherwise exponential gaps, as of independent callers.
    bool evenArrivals = false;
    /// Adds a reference to each prompt, so that no two answers are alike.
    bool uniquePrompts = true;
    /// A connection for each request, so that a balancer spreads them.
    bool newConnections = false;
    /// A stream that ends early without an error counts as wrong.
    bool cutIsWrong = false;
    std::int64_t maxInFlight = 128;
    std::uint64_t seed = 1;
};

/// JSON schema of the plan file.
std::string_view loadPlanSchema();

/// Plan from JSON that the schema allows. Fails with InvalidSetting, naming \a source, on a
/// workspace that services or batches name and that is not in the plan.
Result<LoadPlan> loadPlanOf(const Json &json, const std::string &source);

/// Key of \a workspace.
std::string keyOf(const LoadPlan &plan, const std::string &workspace);

} // namespace rattanrill::load
