#include "randomcommands.h"

#include <algorithm>

namespace rattanrill::batch {

wire::BatchOperation RandomCommands::next()
{
    const bool resend = !m_sent.empty() && randomBelow(8) == 0;
    if (resend) {
        const std::size_t recent = std::min<std::size_t>(m_sent.size(), 20);
        return m_sent[m_sent.size() - 1 - randomBelow(recent)];
    }
    m_sent.push_back(makeCommand());
    return m_sent.back();
}

void RandomCommands::recordLeases(const wire::BatchResult &response)
{
    for (const wire::LeasedItem &leased : response.leased)
        m_items.push_back(leased.item);
}

std::vector<wire::ItemRef> RandomCommands::randomItems()
{
    std::vector<wire::ItemRef> items;
    const std::size_t count = m_items.empty() ? 0 : 1 + randomBelow(4);
    const std::size_t recent = std::min<std::size_t>(m_items.size(), 16);
    for (std::size_t item = 0; item < count; ++item)
        items.push_back(m_items[m_items.size() - 1 - randomBelow(recent)]);
    return items;
}

wire::BatchOperation RandomCommands::makeCommand()
{
    const std::size_t choice = randomBelow(100);
    if (choice < 8) {
        const std::size_t file = randomBelow(files);
        const std::string jobId = "job-" + std::to_string(m_jobs++);
        const std::int64_t dueAtMs = 100 + 100 * static_cast<std::int64_t>(randomBelow(3));
        // The keys repeat, so that some commands use an earlier key with another job id and some
        // with another file.
        const std::string jobKey = "job-key-" + std::to_string(randomBelow(40));
        return wire::CreateJob{jobId, workspaceOf(file), fileId(file), jobKey, dueAtMs, 1000000000,
                               ""};
    }
    if (choice < 11) {
        const std::string jobId = "job-" + std::to_string(randomBelow(m_jobs + 1));
        return wire::CancelJob{jobId, ""};
    }
    if (choice < 40)
        return wire::LeaseItems{holder(), static_cast<std::int64_t>(1 + randomBelow(6)),
                                static_cast<std::int64_t>(200 + randomBelow(2000))};
    if (choice < 52)
        return wire::RenewLeases{holder(), 1000, randomItems()};
    if (choice < 66)
        return wire::ReleaseItems{randomItems(), randomBelow(2) == 0, reason(),
                                  static_cast<std::int64_t>(randomBelow(3) * 100)};
    if (choice < 85) {
        wire::CompleteItems complete;
        for (const wire::ItemRef &item : randomItems()) {
            const bool failed = randomBelow(6) == 0;
            complete.results.push_back({item, failed, 200,
                                        "body-" + std::to_string(randomBelow(1000)),
                                        failed ? reason() : ""});
        }
        return complete;
    }
    if (choice < 92)
        return wire::ClaimRequest{"w", key(), "hash", holder(), 5000};
    if (choice < 95)
        return wire::FinishClaim{"w", key(),  holder(),
                                 200, "text", std::to_string(randomBelow(1000))};
    if (choice < 97)
        return wire::AbandonClaim{"w", key(), holder()};
    return wire::AdvanceTime{};
}

} // namespace rattanrill::batch
