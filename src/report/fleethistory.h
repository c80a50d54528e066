#pragma once

#include "exposition.h"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::report {

/// Metrics of all instances at one time.
struct Snapshot
{
    absl::Time at;
    std::map<std::string, std::vector<Sample>> instances;
};

/// Counters of the fleet over time: the sum over all instances, corrected for restarts. A counter
/// whose value decreased was reset, so its whole value is an increase. The counters of an instance
/// that appears later are assumed to start at 0. The counts of an instance that disappears stay in
/// the sum.
class FleetHistory
{
public:
    /// \a snapshots must be ordered by time and not empty.
    explicit FleetHistory(const std::vector<Snapshot> &snapshots);

    const std::vector<absl::Time> &times() const { return m_times; }
    std::size_t lastIndex() const { return m_times.size() - 1; }
    /// Index of the newest snapshot that is at least \a window older than the last one, or of the
    /// oldest snapshot when none is.
    std::size_t windowStart(absl::Duration window) const;

    /// Increase between the snapshots \a from and \a to of the series \a name whose labels include
    /// \a match, summed for each combination of values of the labels \a by.
    std::map<std::vector<std::string>, double> increase(const std::string &name,
                                                        const Labels &match,
                                                        const std::vector<std::string> &by,
                                                        std::size_t from, std::size_t to) const;
    /// Like the overload above, summed over all matching series.
    double increase(const std::string &name, const Labels &match, std::size_t from,
                    std::size_t to) const;

private:
    using SeriesKey = std::pair<std::string, Labels>;

    void add(std::size_t index, const std::string &instance, const std::vector<Sample> &samples);

    std::vector<absl::Time> m_times;
    /// Total of each series at each snapshot, relative to the first one.
    std::map<SeriesKey, std::vector<double>> m_totals;
    /// Last value of each series by instance.
    std::map<std::pair<std::string, SeriesKey>, double> m_lastValues;
};

} // namespace rattanrill::report
