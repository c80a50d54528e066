#pragma once

#include "benchresult.h"
#include "benchscenario.h"

#include <optional>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

enum class BoundKind {
    None,
    AtMost,
    AtLeast,
};

/// One figure of a run with its bound. The bounds are the stated targets of the deployments.
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
    BoundKind kind = BoundKind::None;
    double bound = 0;

    bool passes() const;
};

/// Result of a run and the conditions it ran under.
struct FigureInput
{
    const Deployment &deployment;
    Scenario scenario;
    const LoadPlan &plan;
    const BenchResult &result;
    /// Result of the same run without batch tasks. Filled in for the nominal scenario only.
    const BenchResult *withoutBatch = nullptr;
    /// Longest possible step of an engine according to the model.
    absl::Duration longestStep;
};

std::vector<Figure> figuresOf(const FigureInput &input);

/// Returns \a figure as one line of JSON, without a line break.
std::string jsonLine(const std::string &deployment, std::string_view scenario,
                     std::string_view policy, const Figure &figure);

} // namespace rattanrill::policy::bench
