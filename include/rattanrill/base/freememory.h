#pragma once

#include <string>

namespace rattanrill {

/// Empties \a text and frees its memory. With the standard library of GCC, the assignment of an
/// empty string keeps it.
inline void freeMemory(std::string &text)
{
    std::string().swap(text);
}

} // namespace rattanrill
