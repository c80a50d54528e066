#pragma once

#include "rattanrill/wire/batchmessages.h"

#include <cstdint>
#include <random>
#include <vector>

namespace rattanrill::batch {

/// Commands of several clients that lose answers, resend old commands and use old leases.
class RandomCommands
{
public:
    explicit RandomCommands(unsigned seed)
        : m_random(seed)
    {}

    wire::BatchOperation next();
    /// Remembers the leases that an answer gave.
    void learn(const wire::BatchResult &answer);
    /// Number from 0 to \a end - 1.
    std::size_t below(std::size_t end) { return m_random() % end; }

    /// File of an upload; all have itemsOf() items.
    static std::string fileId(std::size_t file) { return "file-" + std::to_string(file); }
    static std::string workspaceOf(std::size_t file) { return file % 2 == 0 ? "even" : "odd"; }
    static std::size_t itemsOf(std::size_t file) { return 1 + file * 3; }
    static constexpr std::size_t files = 4;

private:
    wire::BatchOperation make();
    std::vector<wire::ItemRef> someItems();
    std::string holder() { return "e-" + std::to_string(below(3)); }
    std::string key() { return "key-" + std::to_string(below(4)); }
    std::string reason() { return below(2) == 0 ? "timeout" : "upstream_failed"; }

    std::mt19937 m_random;
    std::vector<wire::ItemRef> m_items;
    std::vector<wire::BatchOperation> m_sent;
    std::size_t m_jobs = 0;
};

} // namespace rattanrill::batch
