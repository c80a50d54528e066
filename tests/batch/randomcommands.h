#pragma once

#include "rattanrill/wire/batchmessages.h"

#include <cstdint>
#include <random>
#include <vector>

namespace rattanrill::batch {

/// Generates the commands of several clients that lose responses, send earlier commands again and
/// use outdated leases.
class RandomCommands
{
public:
    explicit RandomCommands(unsigned seed)
        : m_random(seed)
    {}

    wire::BatchOperation next();
    /// Records the leases in a response, so that later commands use them.
    void recordLeases(const wire::BatchResult &response);
    /// Returns a random number from 0 to \a end - 1.
    std::size_t randomBelow(std::size_t end) { return m_random() % end; }

    /// Id of an uploaded file, which has itemsOf() items.
    static std::string fileId(std::size_t file) { return "file-" + std::to_string(file); }
    static std::string workspaceOf(std::size_t file) { return file % 2 == 0 ? "even" : "odd"; }
    static std::size_t itemsOf(std::size_t file) { return 1 + file * 3; }
    static constexpr std::size_t files = 4;

private:
    wire::BatchOperation makeCommand();
    std::vector<wire::ItemRef> randomItems();
    std::string holder() { return "e-" + std::to_string(randomBelow(3)); }
    std::string key() { return "key-" + std::to_string(randomBelow(4)); }
    std::string reason() { return randomBelow(2) == 0 ? "timeout" : "upstream_failed"; }

    std::mt19937 m_random;
    std::vector<wire::ItemRef> m_items;
    std::vector<wire::BatchOperation> m_sent;
    std::size_t m_jobs = 0;
};

} // namespace rattanrill::batch
