#pragma once

#include <string>
#include <vector>

namespace rattanrill::report {

struct PlotPoint
{
    double x = 0;
    double y = 0;
};

struct Bar
{
    std::string label;
    double value = 0;
    bool highlighted = false;
};

/// Replaces the characters that are reserved in HTML by entities.
std::string escapeHtml(const std::string &text);

/// Line plot as an SVG element; \a limit is drawn as a dashed line. The labels name the ends of the
/// x axis.
std::string linePlot(const std::vector<PlotPoint> &points, double limit,
                     const std::string &leftLabel, const std::string &rightLabel);

/// Horizontal bars as an SVG element, in the given order, with \a limit as a dashed line.
std::string barPlot(const std::vector<Bar> &bars, double limit);

} // namespace rattanrill::report
