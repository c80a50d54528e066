#include "rattanrill/base/metrics.h"

#include "rattanrill/base/concat.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <utility>

namespace rattanrill {
namespace {

namespace bh = boost::histogram;

using BucketAxis = bh::axis::variable<double>;
using Histogram = decltype(bh::make_histogram(std::declval<BucketAxis>()));

constexpr int bucketsPerDecade = 10;
constexpr int decades = 6;
constexpr double firstBoundSeconds = 0.001;

std::vector<double> makeBounds()
{
    std::vector<double> bounds;
    for (int i = 0; i <= bucketsPerDecade * decades; ++i)
        bounds.push_back(firstBoundSeconds
                         * std::pow(10.0, static_cast<double>(i) / bucketsPerDecade));
    return bounds;
}

Histogram makeHistogram()
{
    return bh::make_histogram(BucketAxis(histogramBounds()));
}

struct HistogramSeries
{
    Histogram histogram = makeHistogram();
    double sum = 0;
    std::uint64_t count = 0;
};

std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

std::string renderLabels(const MetricLabels &labels, std::string_view extraLabel = {})
{
    std::string text;
    for (const auto &[key, value] : labels)
        text += concat(text.empty() ? "" : ",", key, "=\"", escapeLabel(value), "\"");
    if (!extraLabel.empty())
        text += concat(text.empty() ? "" : ",", extraLabel);
    return text.empty() ? text : "{" + text + "}";
}

void renderHistogram(std::string &text, const std::string &name, const MetricLabels &labels,
                     const HistogramSeries &series)
{
    const std::vector<double> &bounds = histogramBounds();
    // Buckets are cumulative, so the first one includes the values below the lowest bound (the
    // underflow bin). The bins are doubles, which represent counts exactly up to 2^53.
    auto cumulative = static_cast<std::uint64_t>(series.histogram.at(-1));
    text += concat(name, "_bucket", renderLabels(labels, concat("le=\"", bounds[0], "\"")), " ",
                   cumulative, "\n");
    for (std::size_t i = 1; i < bounds.size(); ++i) {
        cumulative += static_cast<std::uint64_t>(series.histogram.at(static_cast<int>(i) - 1));
        text += concat(name, "_bucket", renderLabels(labels, concat("le=\"", bounds[i], "\"")), " ",
                       cumulative, "\n");
    }
    text += concat(name, "_bucket", renderLabels(labels, "le=\"+Inf\""), " ", series.count, "\n");
    text += concat(name, "_sum", renderLabels(labels), " ", series.sum, "\n");
    text += concat(name, "_count", renderLabels(labels), " ", series.count, "\n");
}

} // namespace

const std::vector<double> &histogramBounds()
{
    static const std::vector<double> bounds = makeBounds();
    return bounds;
}

struct Metrics::State
{
    template <typename Value>
    using Family = std::map<std::string, std::map<MetricLabels, Value>, std::less<>>;

    mutable absl::Mutex mutex;
    Family<std::uint64_t> counters ABSL_GUARDED_BY(mutex);
    Family<double> gauges ABSL_GUARDED_BY(mutex);
    Family<HistogramSeries> histograms ABSL_GUARDED_BY(mutex);
};

Metrics::Metrics()
    : m_state(new State)
{}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const MetricLabels &labels, std::uint64_t amount)
{
    absl::MutexLock lock(&m_state->mutex);
    m_state->counters[std::string(name)][labels] += amount;
}

void Metrics::set(std::string_view name, const MetricLabels &labels, double value)
{
    absl::MutexLock lock(&m_state->mutex);
    m_state->gauges[std::string(name)][labels] = value;
}

void Metrics::removeGauge(std::string_view name, const MetricLabels &labels)
{
    absl::MutexLock lock(&m_state->mutex);
    const auto family = m_state->gauges.find(name);
    if (family == m_state->gauges.end())
        return;
    family->second.erase(labels);
    if (family->second.empty())
        m_state->gauges.erase(family);
}

void Metrics::observe(std::string_view name, const MetricLabels &labels, double seconds)
{
    absl::MutexLock lock(&m_state->mutex);
    HistogramSeries &series = m_state->histograms[std::string(name)][labels];
    series.histogram(seconds);
    series.sum += seconds;
    ++series.count;
}

std::uint64_t Metrics::counter(std::string_view name, const MetricLabels &labels) const
{
    absl::MutexLock lock(&m_state->mutex);
    const auto family = m_state->counters.find(name);
    if (family == m_state->counters.end())
        return 0;
    const auto series = family->second.find(labels);
    return series == family->second.end() ? 0 : series->second;
}

std::string Metrics::exposition() const
{
    absl::MutexLock lock(&m_state->mutex);
    std::string text;
    for (const auto &[name, family] : m_state->counters) {
        text += concat("# TYPE ", name, " counter\n");
        for (const auto &[labels, value] : family)
            text += concat(name, renderLabels(labels), " ", value, "\n");
    }
    for (const auto &[name, family] : m_state->gauges) {
        text += concat("# TYPE ", name, " gauge\n");
        for (const auto &[labels, value] : family)
            text += concat(name, renderLabels(labels), " ", value, "\n");
    }
    for (const auto &[name, family] : m_state->histograms) {
        text += concat("# TYPE ", name, " histogram\n");
        for (const auto &[labels, series] : family)
            renderHistogram(text, name, labels, series);
    }
    return text;
}

} // namespace rattanrill
