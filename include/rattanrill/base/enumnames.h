#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace rattanrill {

/// Row of a name table: an enumerator and its name in files, messages and logs.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Name of \a value in \a table, or "unknown" if the table does not contain the value.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const EnumName<Enum> &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Enumerator with the name \a name in \a table, or nullopt if there is none.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, Size> &table,
                                      std::string_view name)
{
    for (const EnumName<Enum> &row : table) {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace rattanrill
