#include "linesplitter.h"

#include "rattanrill/base/concat.h"

namespace rattanrill::entry {

LineSplitter::LineSplitter(std::size_t maxLineBytes, Handler handler)
    : m_maxLineBytes(maxLineBytes)
    , m_handler(std::move(handler))
{}

Outcome<Done> LineSplitter::checkLength(std::size_t size) const
{
    if (size <= m_maxLineBytes)
        return Done{};
    return notRun(ErrorCode::InvalidItem,
                  concat("line ", m_number + 1, " is longer than ", m_maxLineBytes, " bytes"));
}

Outcome<Done> LineSplitter::emit(std::string_view line)
{
    Outcome<Done> checked = checkLength(line.size());
    if (!checked.ok())
        return checked;
    ++m_number;
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return m_handler(m_number, line);
}

Outcome<Done> LineSplitter::feed(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        if (end == std::string_view::npos) {
            m_partial += bytes;
            return checkLength(m_partial.size());
        }
        Outcome<Done> outcome = Done{};
        if (m_partial.empty()) {
            outcome = emit(bytes.substr(0, end));
        } else {
            m_partial += bytes.substr(0, end);
            outcome = emit(m_partial);
            m_partial.clear();
        }
        if (!outcome.ok())
            return outcome;
        bytes.remove_prefix(end + 1);
    }
    return Done{};
}

Outcome<Done> LineSplitter::finish()
{
    if (m_partial.empty())
        return Done{};
    const std::string last = std::move(m_partial);
    m_partial.clear();
    return emit(last);
}

} // namespace rattanrill::entry
