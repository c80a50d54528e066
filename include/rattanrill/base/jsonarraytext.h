#pragma once

#include "rattanrill/base/result.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill {

/// An array that is a member of a JSON object, as text.
struct JsonArrayText
{
    /// Texts of the elements, which are part of the text that was split. They may be no valid JSON.
    std::vector<std::string_view> elements;
    /// The object with an empty array in place of this one.
    std::string rest;
};

/// Splits the array that is the member \a key of the object \a text, so that the other elements can
/// be read when one cannot. Fails with InvalidRequest when there is no such array, or when the text
/// ends inside it; the detail of the failure names \a what.
Result<JsonArrayText> splitJsonArray(std::string_view text, std::string_view key,
                                     std::string_view what);

} // namespace rattanrill
