#include "sim/scale_plot.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"

namespace duneturn {

namespace {

// Measures of the page in pixels.
constexpr auto PANEL_WIDTH = 430.;
constexpr auto PANEL_HEIGHT = 320.;
constexpr auto MARGIN_LEFT = 58.;
constexpr auto MARGIN_TOP = 34.;
constexpr auto AREA_WIDTH = 350.;
constexpr auto AREA_HEIGHT = 220.;
constexpr auto FOOTER_HEIGHT = 24.;
constexpr auto LEGEND_MARK = 16.;
constexpr auto LEGEND_GAP = 34.;
constexpr auto LETTER_WIDTH = 6.2;

constexpr auto BLUE = "#1f5fa8";
constexpr auto RED = "#b3312c";
constexpr auto GREEN = "#2c7a3f";
constexpr auto GREY = "#777";

/// One curve: a figure of the points, divided by its unit.
struct Curve {
    std::string label, part, key, colour;
    double unit;
};

struct Panel {
    std::string title;
    double budget;
    std::string budgetText;
    std::vector<Curve> curves;
};

/// One run's figures at one number of nodes.
struct Point {
    rapidjson::Document figures;
    bool earlier = false;

    auto nodes() const -> double { return jsonNumber(figures["counts"], "nodes"); }
    /// Negative if the run has no such figure.
    auto value(const Curve& curve) const -> double {
        return jsonNumber(figures[curve.part.c_str()], curve.key.c_str(), -1) / curve.unit;
    }
};

struct Range {
    double low, high;
};

auto panels() -> std::vector<Panel> {
    return {
        {"bytes a second a node, steady state, sent and received", 2000, "2 KB",
            {{"mean", "counts", "all.bytesMean", BLUE, 1}, {"busiest", "counts", "all.bytesMax", RED, 1}}},
        {"processor, in hundredths of a core, steady state", 2.5, "2.5%",
            {{"mean", "costs", "all.cpuUs", BLUE, 1e4}, {"busiest", "costs", "all.cpuUsMax", RED, 1e4}}},
        {"heap of a node, MB", 64, "64 MB",
            {{"edge", "costs", "edge.heapBytes", BLUE, 1e6},
                {"leader", "costs", "leader.heapBytes", RED, 1e6}}},
        {"times, s", 19, "19 s",
            {{"change at the last node", "counts", "change.convergenceUs", BLUE, 1e6},
                {"dead node dropped", "counts", "failureDetection.allUs", RED, 1e6},
                {"without a leader", "counts", "leaderLoss.electionUs", GREEN, 1e6}}},
    };
}

auto parsePoints(const std::vector<std::string>& now, const std::vector<std::string>& earlier)
    -> std::vector<Point> {
    auto points = std::vector<Point>();
    for (auto* lines : {&now, &earlier})
        for (auto& line : *lines) {
            points.emplace_back();
            points.back().earlier = lines == &earlier;
            parseJson(line, points.back().figures);
        }
    return points;
}

/// The numbers of nodes that a panel spans; never an empty range.
auto nodeRange(const std::vector<Point>& points) -> Range {
    auto range = Range{1e9, 0};
    for (auto& point : points)
        if (auto nodes = point.nodes(); nodes > 0) {
            range.low = std::min(range.low, nodes);
            range.high = std::max(range.high, nodes);
        }
    if (range.high <= range.low) {
        range.low = std::max(1., range.high / 2);
        range.high = range.high * 2 + 2;
    }
    return range;
}

auto valueRange(const Panel& panel, const std::vector<Point>& points) -> Range {
    auto range = Range{panel.budget / 1.5, panel.budget * 1.5};
    for (auto& point : points)
        for (auto& curve : panel.curves)
            if (auto value = point.value(curve); value > 0) {
                range.low = std::min(range.low, value / 1.2);
                range.high = std::max(range.high, value * 1.2);
            }
    return range;
}

auto axisText(double value) -> std::string {
    if (value >= 1e6) return fmt::format("{:g}M", value / 1e6);
    if (value >= 1e3) return fmt::format("{:g}k", value / 1e3);
    return fmt::format("{:g}", value);
}

/// Draws one panel at a place of the page.
class PanelDrawing {
  public:
    PanelDrawing(
        std::string& svg, const Panel& panel, const std::vector<Point>& points, double left, double top)
        : svg_(svg),
          panel_(panel),
          points_(points),
          left_(left),
          top_(top),
          nodes_(nodeRange(points)),
          values_(valueRange(panel, points)) {}

    auto draw() -> void {
        drawAxes();
        drawBudget();
        auto legendLeft = left_;
        for (auto& curve : panel_.curves) {
            drawCurve(curve, false);
            drawCurve(curve, true);
            drawLegend(curve, legendLeft);
            legendLeft += LEGEND_GAP + LETTER_WIDTH * double(curve.label.size());
        }
    }

  private:
    auto x(double nodes) const -> double {
        return left_ + AREA_WIDTH * std::log(nodes / nodes_.low) / std::log(nodes_.high / nodes_.low);
    }
    auto y(double value) const -> double {
        return top_
            + AREA_HEIGHT * (1 - std::log(value / values_.low) / std::log(values_.high / values_.low));
    }
    auto text(double atX, double atY, const std::string& content, const std::string& attributes = "")
        -> void {
        svg_ += fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" {}>{}</text>\n", atX, atY, attributes, content);
    }
    auto line(double fromX, double fromY, double toX, double toY, const std::string& attributes) -> void {
        svg_ += fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" y2=\"{:.1f}\" {}/>\n", fromX,
            fromY, toX, toY, attributes);
    }

    auto drawAxes() -> void {
        auto right = left_ + AREA_WIDTH, bottom = top_ + AREA_HEIGHT;
        text(left_, top_ - 12, panel_.title, "font-weight=\"bold\"");
        line(left_, top_, left_, bottom, "stroke=\"#333\"");
        line(left_, bottom, right, bottom, "stroke=\"#333\"");
        drawDecades();
        drawNodeNumbers();
        text(right, bottom + 28, "nodes", "text-anchor=\"end\"");
    }
    auto drawDecades() -> void {
        auto first = std::floor(std::log10(values_.low)), last = std::ceil(std::log10(values_.high));
        for (auto exponent = int(first); exponent <= int(last); exponent++) {
            auto value = std::pow(10, exponent);
            if (value < values_.low || value > values_.high) continue;
            line(left_, y(value), left_ + AREA_WIDTH, y(value), "stroke=\"#ddd\"");
            text(left_ - 6, y(value) + 4, axisText(value), "text-anchor=\"end\"");
        }
    }
    auto drawNodeNumbers() -> void {
        auto seen = std::set<double>();
        for (auto& point : points_)
            if (auto nodes = point.nodes(); nodes > 0 && seen.insert(nodes).second)
                text(x(nodes), top_ + AREA_HEIGHT + 14, fmt::format("{:g}", nodes), "text-anchor=\"middle\"");
    }
    auto drawBudget() -> void {
        auto right = left_ + AREA_WIDTH, height = y(panel_.budget);
        line(left_, height, right, height, fmt::format("stroke=\"{}\" stroke-dasharray=\"2 3\"", GREY));
        text(right, height - 4, "budget " + panel_.budgetText,
            fmt::format("text-anchor=\"end\" fill=\"{}\"", GREY));
    }
    auto drawCurve(const Curve& curve, bool earlier) -> void {
        auto path = std::string(), dots = std::string();
        for (auto& point : points_) {
            auto nodes = point.nodes(), value = point.value(curve);
            if (point.earlier != earlier || nodes <= 0 || value <= 0) continue;
            path += fmt::format("{}{:.1f} {:.1f} ", path.empty() ? "M" : "L", x(nodes), y(value));
            dots += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"2.5\" fill=\"{}\"/>", x(nodes),
                y(value), curve.colour);
        }
        if (path.empty()) return;
        svg_ += fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\"{}/>{}\n", path, curve.colour,
            earlier ? " stroke-dasharray=\"5 4\"" : "", dots);
    }
    auto drawLegend(const Curve& curve, double left) -> void {
        auto bottom = top_ + AREA_HEIGHT;
        line(left, bottom + 25, left + LEGEND_MARK, bottom + 25,
            "stroke=\"" + curve.colour + "\" stroke-width=\"2\"");
        text(left + LEGEND_MARK + 4, bottom + 29, curve.label);
    }

    std::string& svg_;
    const Panel& panel_;
    const std::vector<Point>& points_;
    double left_, top_;
    Range nodes_, values_;
};

/// The membership mode of a run; empty if there are no lines.
auto membershipOf(const std::vector<std::string>& lines) -> std::string {
    auto figures = rapidjson::Document();
    return !lines.empty() && parseJson(lines[0], figures) ? jsonString(figures, "membership") : std::string();
}

}  // namespace

auto scalePlot(const std::vector<std::string>& now, const std::vector<std::string>& earlier) -> std::string {
    auto points = parsePoints(now, earlier);
    auto svg = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
        "font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" "
        "fill=\"#fff\"/>\n",
        2 * PANEL_WIDTH, 2 * PANEL_HEIGHT + FOOTER_HEIGHT);
    auto index = 0;
    for (auto& panel : panels()) {
        auto column = index % 2, line = index / 2;
        auto left = column * PANEL_WIDTH + MARGIN_LEFT;
        auto top = line * PANEL_HEIGHT + MARGIN_TOP;
        PanelDrawing(svg, panel, points, left, top).draw();
        index++;
    }
    svg += fmt::format(
        "<text x=\"{}\" y=\"{}\">whole lines: membership {}{}; logarithmic scales; duneturn "
        "scale</text>\n</svg>\n",
        MARGIN_LEFT, 2 * PANEL_HEIGHT + 14, membershipOf(now),
        earlier.empty() ? "" : ", dashed: " + membershipOf(earlier));
    return svg;
}

}  // namespace duneturn
