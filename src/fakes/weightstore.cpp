#include "rattanrill/fakes/weightstore.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {

WeightStore::WeightStore(WeightStoreSettings settings, absl::Time now)
    : m_settings(std::move(settings))
    , m_level(m_settings.burstBytes)
    , m_levelTime(now)
{}

Result<std::int64_t> WeightStore::size(const std::string &name) const
{
    const auto weight = m_settings.weights.find(name);
    if (weight == m_settings.weights.end())
        return fail(notRun(ErrorCode::NotFound, concat("unknown weights \"", name, "\"")));
    return weight->second;
}

Result<void> WeightStore::consume(absl::Time now, std::int64_t bytes)
{
    if (timeUntilAvailable(now, bytes) > absl::ZeroDuration())
        return fail(notRun(ErrorCode::RateLimited,
                           "the read rate limit of the weight store is exhausted"));
    m_level = level(now) - static_cast<double>(bytes);
    m_levelTime = now;
    return {};
}

absl::Duration WeightStore::timeUntilAvailable(absl::Time now, std::int64_t bytes) const
{
    const double deficit = requiredLevel(bytes) - level(now);
    return absl::Seconds(std::max(deficit, 0.0) / m_settings.bytesPerSecond);
}

double WeightStore::level(absl::Time now) const
{
    const double refill = absl::ToDoubleSeconds(now - m_levelTime) * m_settings.bytesPerSecond;
    return std::min(m_settings.burstBytes, m_level + refill);
}

double WeightStore::requiredLevel(std::int64_t bytes) const
{
    return std::min(static_cast<double>(bytes), m_settings.burstBytes);
}

} // namespace rattanrill::fakes
