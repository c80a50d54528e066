#include "rattanrill/serving/bufferbudget.h"

#include <utility>

namespace rattanrill::serving {

BufferBudget::BufferBudget(std::size_t limitBytes)
    : BufferBudget(std::make_shared<net::MemoryBudget>(net::MemoryLimits{0, limitBytes}))
{}

BufferBudget::BufferBudget(std::shared_ptr<net::MemoryBudget> memory)
    : m_memory(std::move(memory))
{}

BufferShare::BufferShare(const std::shared_ptr<BufferBudget> &budget, std::function<void()> giveUp)
    : m_share(budget->m_memory, net::MemoryUse::Buffered, std::move(giveUp))
{}

bool BufferShare::resize(std::size_t bytes)
{
    return m_share.resize(bytes);
}

} // namespace rattanrill::serving
