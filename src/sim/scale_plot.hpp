#pragma once
// The plot of the `scale` subcommand: cost and convergence by the number of nodes.
#include <string>
#include <vector>

namespace duneturn {

/// Returns an SVG page of four panels on logarithmic scales. Each point is a line of JSON from
/// ScalePoint::json; the curves of `earlier` runs are dashed.
auto scalePlot(const std::vector<std::string>& now, const std::vector<std::string>& earlier) -> std::string;

}  // namespace duneturn
