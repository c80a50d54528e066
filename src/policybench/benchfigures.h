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

/// One figure of a run with its bound. Bounds come from the stated targets of the deployments.
struct Figure
{
    std::string name;
    double value = 0;
    std::string unit;
    BoundKind kind = BoundKind::None;
    double bound = 0;

    bool passes() const;
};

/// Result of a run, its counterpart without batch work where there is one, and its circumstances.
struct FigureInput
{
    const Deployment &deployment;
    Scenario scenario;
    const LoadPlan &plan;
    const BenchResult &result;
    const BenchResult *withoutBatch = nullptr;
    /// Longest step of any engine in the model's terms.
    absl::Duration longestStep;
};

std::vector<Figure> figuresOf(const FigureInput &input);

/// One JSON line.
std::string jsonLine(const std::string &deployment, std::string_view scenario,
                     std::string_view policy, const Figure &figure);

} // namespace rattanrill::policy::bench
