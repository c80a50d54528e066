#include "svgplot.h"

#include "rattanrill/base/concat.h"

#include <algorithm>

namespace rattanrill::report {
namespace {

// All sizes in pixels.
constexpr double plotWidth = 640;
constexpr double plotHeight = 160;
constexpr double margin = 44;
constexpr double barHeight = 18;
constexpr double labelWidth = 280;
constexpr double valueWidth = 70;

std::string openSvg(double width, double height)
{
    return concat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"", width, "\" height=\"",
                  height, "\" viewBox=\"0 0 ", width, " ", height, "\" role=\"img\">\n");
}

std::string textAt(double x, double y, std::string_view anchor, const std::string &text)
{
    return concat("<text x=\"", x, "\" y=\"", y, "\" text-anchor=\"", anchor, "\">",
                  escapeHtml(text), "</text>\n");
}

std::string line(double x1, double y1, double x2, double y2, std::string_view cssClass)
{
    return concat("<line x1=\"", x1, "\" y1=\"", y1, "\" x2=\"", x2, "\" y2=\"", y2, "\" class=\"",
                  cssClass, "\"/>\n");
}

/// Maps a range of values to a range of pixels.
struct Scale
{
    double from = 0;
    double to = 1;
    double firstPixel = 0;
    double lastPixel = 1;

    double operator()(double value) const
    {
        const double range = to > from ? to - from : 1;
        return firstPixel + (value - from) / range * (lastPixel - firstPixel);
    }
};

std::string polyline(const std::vector<PlotPoint> &points, const Scale &x, const Scale &y)
{
    std::string text = "<polyline class=\"course\" points=\"";
    for (const PlotPoint &point : points)
        text += concat(x(point.x), ",", y(point.y), " ");
    return text + "\"/>\n";
}

double largestValue(const std::vector<Bar> &bars, double limit)
{
    double value = limit;
    for (const Bar &bar : bars)
        value = std::max(value, bar.value);
    return value;
}

} // namespace

std::string escapeHtml(const std::string &text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '<')
            escaped += "&lt;";
        else if (c == '>')
            escaped += "&gt;";
        else if (c == '&')
            escaped += "&amp;";
        else if (c == '"')
            escaped += "&quot;";
        else
            escaped += c;
    }
    return escaped;
}

std::string linePlot(const std::vector<PlotPoint> &points, double limit,
                     const std::string &leftLabel, const std::string &rightLabel)
{
    double top = limit * 1.25;
    for (const PlotPoint &point : points)
        top = std::max(top, point.y);
    const double left = points.empty() ? 0 : points.front().x;
    const double right = points.empty() ? 1 : points.back().x;
    const Scale x{left, right, margin, plotWidth - margin / 4};
    const Scale y{0, top, plotHeight - margin / 2, margin / 4};
    std::string svg = openSvg(plotWidth, plotHeight);
    svg += line(margin, y(0), plotWidth, y(0), "axis");
    svg += line(margin, y(0), margin, y(top), "axis");
    svg += line(margin, y(limit), plotWidth, y(limit), "limit");
    svg += polyline(points, x, y);
    svg += textAt(margin - 4, y(limit) + 4, "end", formatNumber(limit));
    svg += textAt(margin - 4, y(top) + 10, "end", formatNumber(top));
    svg += textAt(margin, plotHeight - 4, "start", leftLabel);
    svg += textAt(plotWidth - 4, plotHeight - 4, "end", rightLabel);
    return svg + "</svg>\n";
}

std::string barPlot(const std::vector<Bar> &bars, double limit)
{
    const Scale x{0, largestValue(bars, limit), labelWidth, plotWidth - valueWidth};
    const double height = barHeight * static_cast<double>(bars.size()) + 4;
    std::string svg = openSvg(plotWidth, height);
    double y = 2;
    for (const Bar &bar : bars) {
        svg += textAt(labelWidth - 6, y + barHeight - 5, "end", bar.label);
        svg += concat("<rect x=\"", labelWidth, "\" y=\"", y, "\" width=\"",
                      x(bar.value) - labelWidth, "\" height=\"", barHeight - 4, "\" class=\"",
                      bar.highlighted ? "alert" : "bar", "\"/>\n");
        svg += textAt(x(bar.value) + 4, y + barHeight - 5, "start", formatNumber(bar.value));
        y += barHeight;
    }
    svg += line(x(limit), 0, x(limit), height, "limit");
    return svg + "</svg>\n";
}

} // namespace rattanrill::report
