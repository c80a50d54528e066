#include "fleethistory.h"

#include <algorithm>
#include <utility>

namespace rattanrill::report {
namespace {

bool matches(const Labels &labels, const Labels &match)
{
    return std::all_of(match.begin(), match.end(), [&](const auto &required) {
        const auto label = labels.find(required.first);
        return label != labels.end() && label->second == required.second;
    });
}

std::vector<std::string> labelValues(const Labels &labels, const std::vector<std::string> &by)
{
    std::vector<std::string> group;
    group.reserve(by.size());
    for (const std::string &key : by) {
        const auto label = labels.find(key);
        group.push_back(label == labels.end() ? std::string() : label->second);
    }
    return group;
}

} // namespace

FleetHistory::FleetHistory(const std::vector<Snapshot> &snapshots)
{
    for (std::size_t i = 0; i < snapshots.size(); ++i) {
        m_times.push_back(snapshots[i].at);
        for (auto &[key, totals] : m_totals)
            totals.push_back(totals.back());
        for (const auto &[instance, samples] : snapshots[i].instances)
            add(i, instance, samples);
    }
    // A single snapshot has no earlier one to compare with, so its counters since the process start
    // are reported.
    if (m_times.size() != 1)
        return;
    m_times.push_back(m_times.front());
    for (const auto &[instanceAndKey, value] : m_lastValues)
        m_totals[instanceAndKey.second].resize(2, 0.0);
    for (const auto &[instanceAndKey, value] : m_lastValues)
        m_totals[instanceAndKey.second][1] += value;
}

void FleetHistory::add(std::size_t index, const std::string &instance,
                       const std::vector<Sample> &samples)
{
    for (const Sample &sample : samples) {
        const SeriesKey key = {sample.name, sample.labels};
        std::vector<double> &totals = m_totals[key];
        totals.resize(index + 1, totals.empty() ? 0.0 : totals.back());
        const auto [lastValue, isNew] = m_lastValues.try_emplace({instance, key}, 0.0);
        const double previousValue = sample.value < lastValue->second ? 0 : lastValue->second;
        if (index > 0)
            totals.back() += sample.value - previousValue;
        lastValue->second = sample.value;
    }
}

std::size_t FleetHistory::windowStart(absl::Duration window) const
{
    std::size_t start = 0;
    for (std::size_t i = 0; i < lastIndex(); ++i) {
        if (m_times[i] <= m_times.back() - window)
            start = i;
    }
    return start;
}

std::map<std::vector<std::string>, double>
FleetHistory::increase(const std::string &name, const Labels &match,
                       const std::vector<std::string> &by, std::size_t from, std::size_t to) const
{
    std::map<std::vector<std::string>, double> sums;
    for (auto series = m_totals.lower_bound({name, {}});
         series != m_totals.end() && series->first.first == name; ++series) {
        const auto &[key, totals] = *series;
        if (matches(key.second, match))
            sums[labelValues(key.second, by)] += totals[to] - totals[from];
    }
    return sums;
}

double FleetHistory::increase(const std::string &name, const Labels &match, std::size_t from,
                              std::size_t to) const
{
    double sum = 0;
    for (const auto &[group, value] : increase(name, match, {}, from, to))
        sum += value;
    return sum;
}

} // namespace rattanrill::report
