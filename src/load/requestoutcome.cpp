#include "requestoutcome.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::load {
namespace {

constexpr std::array<EnumName<Ending>, 7> endingNames = {{
        {Ending::Completed, "completed"},
        {Ending::Refused, "refused"},
        {Ending::Short, "short"},
        {Ending::Foreign, "foreign"},
        {Ending::Cut, "cut"},
        {Ending::Failed, "failed"},
        {Ending::Unsent, "unsent"},
}};

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", time, absl::UTCTimeZone());
}

} // namespace

std::string_view name(Ending ending)
{
    return nameOf(endingNames, ending);
}

bool isWrong(Ending ending)
{
    return ending == Ending::Short || ending == Ending::Foreign;
}

Json historyLine(const RequestOutcome &outcome)
{
    Json line = {
            {"begin", timeText(outcome.begin)}, {"end", timeText(outcome.end)},
            {"request_id", outcome.requestId},  {"answered_id", outcome.answeredId},
            {"workspace", outcome.workspace},   {"kind", name(outcome.kind)},
            {"target", outcome.target},         {"outcome", name(outcome.ending)},
            {"status", outcome.status},         {"code", outcome.code},
            {"run", outcome.effectState},       {"tokens", outcome.tokens},
            {"sends", outcome.sends},           {"detail", outcome.detail},
    };
    if (outcome.timeToFirstToken)
        line["ttft_ms"] = absl::ToDoubleMilliseconds(*outcome.timeToFirstToken);
    return line;
}

} // namespace rattanrill::load
