#include "loadplan.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/settings/settingsfile.h"

#include <algorithm>

namespace rattanrill::load {
namespace {

constexpr std::string_view schema = R"json({
  "type": "object", "additionalProperties": false, "required": ["targets", "workspaces"],
  "properties": {
    "targets": { "type": "array", "minItems": 1,
                 "items": { "type": "string", "pattern": "^http://" } },
    "workspaces": { "type": "array", "minItems": 1, "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "key"],
        "properties": {
          "name": { "type": "string", "minLength": 1 },
          "key": { "type": "string" },
          "ratePerSecond": { "type": "number", "minimum": 0 },
          "surge": { "type": "object", "additionalProperties": false,
                     "required": ["fromSeconds", "toSeconds", "factor"],
                     "properties": { "fromSeconds": { "type": "number", "minimum": 0 },
                                     "toSeconds": { "type": "number", "minimum": 0 },
                                     "factor": { "type": "number", "minimum": 0 } } } } } },
    "services": { "type": "array", "items": {
        "type": "object", "additionalProperties": false,
        "required": ["workspace", "path", "ratePerSecond"],
        "properties": {
          "workspace": { "type": "string" },
          "method": { "enum": ["POST", "PUT", "PATCH"] },
          "path": { "type": "string", "pattern": "^/" },
          "ratePerSecond": { "type": "number", "minimum": 0 },
          "idempotent": { "type": "boolean" },
          "resends": { "type": "integer", "minimum": 0, "maximum": 10 } } } },
    "batches": { "type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["workspace", "file"],
        "properties": {
          "workspace": { "type": "string" },
          "file": { "type": "string" },
          "window": { "type": "string" },
          "atSeconds": { "type": "number", "minimum": 0 },
          "waitSeconds": { "type": "number", "minimum": 0 } } } },
    "model": { "type": "string" },
    "prompts": { "type": "string" },
    "durationSeconds": { "type": "number", "minimum": 0 },
    "timeoutSeconds": { "type": "number", "minimum": 0.1 },
    "streamShare": { "type": "number", "minimum": 0, "maximum": 1 },
    "evenArrivals": { "type": "boolean" },
    "uniquePrompts": { "type": "boolean" },
    "newConnections": { "type": "boolean" },
    "cutIsWrong": { "type": "boolean" },
    "maxInFlight": { "type": "integer", "minimum": 1, "maximum": 2048 },
    "seed": { "type": "integer", "minimum": 0 }
  }
})json";

absl::Duration seconds(const Json &json, const char *key, absl::Duration fallback)
{
    return json.contains(key) ? absl::Seconds(json.at(key).get<double>()) : fallback;
}

WorkspacePlan workspaceOf(const Json &json)
{
    WorkspacePlan workspace;
    workspace.name = json.at("name");
    workspace.key = json.at("key");
    workspace.ratePerSecond = json.value("ratePerSecond", 0.0);
    if (!json.contains("surge"))
        return workspace;
    const Json &surge = json.at("surge");
    workspace.surge = Surge{seconds(surge, "fromSeconds", {}), seconds(surge, "toSeconds", {}),
                            surge.at("factor")};
    return workspace;
}

ServiceCallPlan serviceOf(const Json &json)
{
    ServiceCallPlan call;
    call.workspace = json.at("workspace");
    call.path = json.at("path");
    call.ratePerSecond = json.at("ratePerSecond");
    call.method = json.value("method", call.method);
    call.idempotent = json.value("idempotent", call.idempotent);
    call.resends = json.value("resends", call.resends);
    return call;
}

BatchPlan batchOf(const Json &json)
{
    BatchPlan batch;
    batch.workspace = json.at("workspace");
    batch.file = json.at("file");
    batch.window = json.value("window", batch.window);
    batch.at = seconds(json, "atSeconds", batch.at);
    batch.timeout = seconds(json, "waitSeconds", batch.timeout);
    return batch;
}

void readScalars(const Json &json, LoadPlan &plan)
{
    plan.targets = json.at("targets").get<std::vector<std::string>>();
    plan.model = json.value("model", plan.model);
    plan.prompts = json.value("prompts", plan.prompts);
    plan.duration = seconds(json, "durationSeconds", plan.duration);
    plan.timeout = seconds(json, "timeoutSeconds", plan.timeout);
    plan.streamShare = json.value("streamShare", plan.streamShare);
    plan.evenArrivals = json.value("evenArrivals", plan.evenArrivals);
    plan.uniquePrompts = json.value("uniquePrompts", plan.uniquePrompts);
    plan.newConnections = json.value("newConnections", plan.newConnections);
    plan.cutIsWrong = json.value("cutIsWrong", plan.cutIsWrong);
    plan.maxInFlight = json.value("maxInFlight", plan.maxInFlight);
    plan.seed = json.value("seed", plan.seed);
}

const WorkspacePlan *findWorkspace(const LoadPlan &plan, const std::string &workspace)
{
    const auto found = std::find_if(plan.workspaces.begin(), plan.workspaces.end(),
                                    [&](const auto &entry) { return entry.name == workspace; });
    return found == plan.workspaces.end() ? nullptr : &*found;
}

Result<void> checkWorkspaces(const LoadPlan &plan, const std::string &source)
{
    for (const ServiceCallPlan &call : plan.services) {
        if (findWorkspace(plan, call.workspace) == nullptr)
            return fail(settingFailure(source, "services.workspace",
                                       "a name listed in \"workspaces\""));
    }
    for (const BatchPlan &batch : plan.batches) {
        if (findWorkspace(plan, batch.workspace) == nullptr)
            return fail(
                    settingFailure(source, "batches.workspace", "a name listed in \"workspaces\""));
    }
    const bool sendsPrompts =
            std::any_of(plan.workspaces.begin(), plan.workspaces.end(),
                        [](const auto &workspace) { return workspace.ratePerSecond > 0; });
    if (sendsPrompts && (plan.prompts.empty() || plan.model.empty()))
        return fail(settingFailure(source, "prompts",
                                   "a file, and a \"model\", when a workspace has a rate"));
    return {};
}

} // namespace

std::string_view loadPlanSchema()
{
    return schema;
}

Result<LoadPlan> loadPlanOf(const Json &json, const std::string &source)
{
    LoadPlan plan;
    readScalars(json, plan);
    for (const Json &workspace : json.at("workspaces"))
        plan.workspaces.push_back(workspaceOf(workspace));
    for (const Json &call : json.value("services", Json::array()))
        plan.services.push_back(serviceOf(call));
    for (const Json &batch : json.value("batches", Json::array()))
        plan.batches.push_back(batchOf(batch));
    BOOST_LEAF_CHECK(checkWorkspaces(plan, source));
    return plan;
}

std::string keyOf(const LoadPlan &plan, const std::string &workspace)
{
    const WorkspacePlan *found = findWorkspace(plan, workspace);
    return found == nullptr ? std::string() : found->key;
}

} // namespace rattanrill::load
