#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rattanrill::directory {

/// First answers by request id, for resends. Bounded: the oldest answer is forgotten first.
class AnswerMemory
{
public:
    struct Answer
    {
        std::string requestId;
        /// Of the write without time and base revision.
        std::uint64_t contentHash = 0;
        /// Encoded wire::CommandResult.
        std::string bytes;
    };

    explicit AnswerMemory(std::size_t limit)
        : m_limit(limit)
    {}

    /// Null when \a requestId is empty or not remembered.
    const Answer *find(const std::string &requestId) const;
    /// Requires an id that is not remembered.
    void remember(Answer answer);
    /// From the oldest to the newest.
    const std::deque<Answer> &answers() const { return m_answers; }

private:
    std::size_t m_limit;
    std::deque<Answer> m_answers;
    /// Position of an answer, counted from the first one ever remembered.
    std::map<std::string, std::uint64_t> m_positions;
    std::uint64_t m_forgotten = 0;
};

} // namespace rattanrill::directory
