#pragma once

#include <algorithm>

namespace rattanrill::policy {

/// Linear interpolation from \a atZero, for a weight of 0, to \a atOne, for a weight of 1. Clamps
/// \a weight to this range.
inline double interpolate(double atZero, double atOne, double weight)
{
    return atZero + (atOne - atZero) * std::clamp(weight, 0.0, 1.0);
}

} // namespace rattanrill::policy
