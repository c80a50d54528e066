#include "requestoutcome.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::load {
namespace {

constexpr std::array<EnumName<OutcomeType>, 7> outcomeTypeNames = {{
        {OutcomeType::Completed, "completed"},
        {OutcomeType::Refused, "refused"},
        {OutcomeType::Truncated, "short"},
        {OutcomeType::Mismatched, "foreign"},
        {OutcomeType::Disconnected, "cut"},
        {OutcomeType::Failed, "failed"},
        {OutcomeType::Unsent, "unsent"},
}};

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", time, absl::UTCTimeZone());
}

} // namespace

std::string_view name(OutcomeType type)
{
    return nameOf(outcomeTypeNames, type);
}

bool isWrong(OutcomeType type)
{
    return type == OutcomeType::Truncated || type == OutcomeType::Mismatched;
}

Json historyLine(const RequestOutcome &outcome)
{
    Json line = {
            {"begin", timeText(outcome.begin)}, {"end", timeText(outcome.end)},
            {"request_id", outcome.requestId},  {"answered_id", outcome.responseRequestId},
            {"workspace", outcome.workspace},   {"kind", name(outcome.kind)},
            {"target", outcome.target},         {"outcome", name(outcome.type)},
            {"status", outcome.status},         {"code", outcome.code},
            {"run", outcome.effectState},       {"tokens", outcome.tokens},
            {"sends", outcome.sends},           {"detail", outcome.detail},
    };
    if (outcome.timeToFirstToken)
        line["ttft_ms"] = absl::ToDoubleMilliseconds(*outcome.timeToFirstToken);
    return line;
}

} // namespace rattanrill::load
