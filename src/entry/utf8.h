#pragma once

#include <string_view>

namespace rattanrill::entry {

/// Whether \a text is valid UTF-8 (RFC 3629: no overlong forms, surrogates or values above
/// U+10FFFF).
bool isValidUtf8(std::string_view text);

} // namespace rattanrill::entry
