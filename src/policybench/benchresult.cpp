#include "benchresult.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy::bench {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto rank =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    const std::size_t position = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(position);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

} // namespace rattanrill::policy::bench
