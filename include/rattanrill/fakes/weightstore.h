#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanrill::fakes {

/// Configuration of a WeightStore.
struct WeightStoreSettings
{
    /// Sizes in bytes, by name.
    std::map<std::string, std::int64_t> weights;
    double bytesPerSecond = 50e6;
    double burstBytes = 100e6;
};

/// Simulates a store of model weights that limits the read rate by a token bucket in bytes.
class WeightStore
{
public:
    WeightStore(WeightStoreSettings settings, absl::Time now);

    /// Size of \a name in bytes. Fails with NotFound.
    Result<std::int64_t> size(const std::string &name) const;
    /// Takes \a bytes from the bucket. Fails with RateLimited while the bucket contains fewer. A
    /// read that is larger than the burst requires only a full bucket and makes its level negative.
    Result<void> consume(absl::Time now, std::int64_t bytes);
    /// Time until consume() of \a bytes succeeds; zero when it succeeds now.
    absl::Duration timeUntilAvailable(absl::Time now, std::int64_t bytes) const;

private:
    double level(absl::Time now) const;
    double requiredLevel(std::int64_t bytes) const;

    WeightStoreSettings m_settings;
    double m_level;
    absl::Time m_levelTime;
};

} // namespace rattanrill::fakes
