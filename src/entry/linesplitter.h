#pragma once

#include "rattanrill/base/result.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace rattanrill::entry {

/// Splits a byte stream into lines; buffers at most one line.
class LineSplitter
{
public:
    /// Receives the number of the line, from 1, and its text without line ending.
    using Handler = std::function<Outcome<Done>(std::size_t number, std::string_view line)>;

    LineSplitter(std::size_t maxLineBytes, Handler handler);

    /// Fails with the handler's failure, or with InvalidItem for a line that is too long.
    Outcome<Done> feed(std::string_view bytes);
    /// Passes the last line to the handler when it has no line ending.
    Outcome<Done> finish();

private:
    Outcome<Done> emit(std::string_view line);
    Outcome<Done> checkLength(std::size_t size) const;

    std::size_t m_maxLineBytes;
    Handler m_handler;
    std::string m_partial;
    std::size_t m_number = 0;
};

} // namespace rattanrill::entry
