#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace rattanrill {

/// Shortest text of \a value with up to six significant digits.
std::string formatNumber(double value);

/// Joins texts and numbers. absl::StrCat is not used because Debian's Abseil has a string_view of
/// its own that std::string_view does not convert to.
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
