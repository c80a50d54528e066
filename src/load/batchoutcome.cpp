#include "batchoutcome.h"

#include "answerclassifier.h"

#include <map>

namespace rattanrill::load {
namespace {

bool isCompleted(const Json &result)
{
    const Json response = result.value("response", Json());
    return response.is_object() && response.value("status_code", 0) == 200;
}

void countResult(const Json &input, const Json &result, BatchOutcome &outcome)
{
    if (!isCompleted(result)) {
        ++outcome.failed;
        return;
    }
    const OutcomeType type =
            classifyBatchBody(input.at("body"), result.at("response").value("body", Json()));
    ++(type == OutcomeType::Completed ? outcome.completed : outcome.wrong);
}

} // namespace

std::int64_t wrongItems(const BatchOutcome &outcome)
{
    return outcome.missing + outcome.duplicate + outcome.wrong;
}

void compareResults(const std::vector<Json> &input, const std::vector<Json> &results,
                    BatchOutcome &outcome)
{
    std::map<std::string, const Json *> pending;
    for (const Json &line : input)
        pending[line.value("custom_id", "")] = &line;
    outcome.items = static_cast<std::int64_t>(input.size());
    for (const Json &result : results) {
        const auto item = pending.find(result.value("custom_id", ""));
        if (item == pending.end())
            // A result whose id is not in the input counts as a wrong item.
            ++outcome.wrong;
        else if (item->second == nullptr)
            ++outcome.duplicate;
        else
            countResult(*item->second, result, outcome);
        if (item != pending.end())
            item->second = nullptr;
    }
    for (const auto &[id, line] : pending)
        outcome.missing += line == nullptr ? 0 : 1;
}

Json toJson(const BatchOutcome &outcome)
{
    return {{"workspace", outcome.workspace}, {"id", outcome.id},
            {"status", outcome.status},       {"detail", outcome.detail},
            {"items", outcome.items},         {"completed", outcome.completed},
            {"failed", outcome.failed},       {"missing", outcome.missing},
            {"duplicate", outcome.duplicate}, {"wrong", outcome.wrong},
            {"seconds", outcome.seconds}};
}

} // namespace rattanrill::load
