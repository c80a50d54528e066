#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace rattanrill {

/// One row of a name table: an enumerator and the word that files, messages and logs use for it.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

/// Name of \a value in \a table; "unknown" for a value outside the table.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const EnumName<Enum> &row : table) {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// Enumerator that \a table lists under \a name.
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
