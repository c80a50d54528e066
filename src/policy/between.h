#pragma once

#include <algorithm>

namespace rattanrill::policy {

/// Value between \a atZero and \a atOne for a weight from 0 to 1.
inline double between(double atZero, double atOne, double weight)
{
    return atZero + (atOne - atZero) * std::clamp(weight, 0.0, 1.0);
}

} // namespace rattanrill::policy
