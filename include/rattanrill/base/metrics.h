#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill {

/// Label names and values of one time series, ordered by name.
using MetricLabels = std::map<std::string, std::string>;

/// Registry of counters, gauges and histograms, rendered in the Prometheus text exposition format.
/// All histograms have the same fixed bucket bounds, so that the histograms of several instances
/// can be added up.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds \a amount to a counter; \a name ends in "_total".
    void count(std::string_view name, const MetricLabels &labels = {}, std::uint64_t amount = 1);
    /// Sets a gauge.
    void set(std::string_view name, const MetricLabels &labels, double value);
    /// Removes a gauge, which exposition() then no longer contains.
    void removeGauge(std::string_view name, const MetricLabels &labels);
    /// Adds a duration in seconds to a histogram; \a name ends in "_seconds".
    void observe(std::string_view name, const MetricLabels &labels, double seconds);

    /// Value of a counter; 0 when the counter does not exist.
    std::uint64_t counter(std::string_view name, const MetricLabels &labels = {}) const;
    /// All metrics in the Prometheus text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

/// Upper bounds of the histogram buckets in seconds, in ascending order from 1 ms to 1000 s. Each
/// bound is about 26% larger than the one before.
const std::vector<double> &histogramBounds();

} // namespace rattanrill
