#include "rattanrill/base/concat.h"

#include <array>
#include <cstdio>

namespace rattanrill {

std::string formatNumber(double value)
{
    std::array<char, 32> buffer{};
    const int size = std::snprintf(buffer.data(), buffer.size(), "%.6g", value);
    return std::string(buffer.data(), static_cast<std::size_t>(size));
}

} // namespace rattanrill
