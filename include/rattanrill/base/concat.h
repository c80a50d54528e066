#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace rattanrill {

/// Formats \a value as the shortest text with up to six significant digits.
std::string formatNumber(double value);

/// Concatenates strings, characters and numbers. absl::StrCat is not used because Debian's Abseil
/// defines its own string_view, to which std::string_view does not convert.
template <typename... Parts>
std::string concat(const Parts &...parts)
{
    std::string text;
    const auto append = [&text](const auto &part) {
        using Part = std::decay_t<decltype(part)>;
        if constexpr (std::is_same_v<Part, char>)
            text += part;
        else if constexpr (std::is_floating_point_v<Part>)
            text += formatNumber(part);
        else if constexpr (std::is_arithmetic_v<Part>)
            text += std::to_string(part);
        else
            text += std::string_view(part);
    };
    (append(parts), ...);
    return text;
}

} // namespace rattanrill
