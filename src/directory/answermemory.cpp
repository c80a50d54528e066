#include "answermemory.h"

#include <utility>

namespace rattanrill::directory {

const AnswerMemory::Answer *AnswerMemory::find(const std::string &requestId) const
{
    const auto position = m_positions.find(requestId);
    if (position == m_positions.end())
        return nullptr;
    return &m_answers[position->second - m_forgotten];
}

void AnswerMemory::remember(Answer answer)
{
    if (m_answers.size() == m_limit) {
        m_positions.erase(m_answers.front().requestId);
        m_answers.pop_front();
        ++m_forgotten;
    }
    m_positions.emplace(answer.requestId, m_forgotten + m_answers.size());
    m_answers.push_back(std::move(answer));
}

} // namespace rattanrill::directory
