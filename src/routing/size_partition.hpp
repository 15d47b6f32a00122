#pragma once
// Size interval task assignment (Harchol-Balter, Crovella, Murta 1999): an engine reads prompts one after the
// other, so a short one behind a long one waits for it. The engines of a service are therefore divided: long
// prompts are read by some of each region's engines, short ones by the others. Where the border lies and how
// many engines read long prompts follows from the observed demand.
//
// Each group of requests g is taken as an M/G/1 queue on its engines. With L the engines' worth of reading
// that it brings and c = (arrivals a second)^2 E[S^2] / 2, its requests wait c / (n - L) in sum on n engines
// (Pollaczek and Khinchine), so that the sum over the groups is least where each has L + its share of the
// spare engines, in proportion to sqrt(c).
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "routing/fleet_demand.hpp"

namespace duneturn {

/// What a division is made from.
struct PartitionInputs {
    const FleetDemand& demand;
    std::map<std::string, int> servers;  ///< Of each region, that may be given requests.
    int slots = 1;                       ///< Requests that one engine runs at once.
    double sample = 0;                   ///< Requests that the demand was observed from, roughly.
};

/// The division of a service's engines.
struct SizePartition {
    std::int64_t longPromptTokens = 0;          ///< From which on a prompt is long; 0: there is no division.
    std::map<std::string, int> readingServers;  ///< In each region those that read long prompts.

    [[nodiscard]] auto isDivided() const -> bool { return longPromptTokens > 0; }
    [[nodiscard]] auto isLong(std::int64_t promptTokens) const -> bool {
        return isDivided() && promptTokens >= longPromptTokens;
    }
};

/// The division that makes requests wait least; none where it would not clearly pay. Before enough requests
/// were seen, long prompts only keep to the regions that clearly fewer requests are bound to. `previous` is
/// kept to unless another one is clearly better, so that servers keep what their caches hold.
[[nodiscard]] auto planPartition(const PartitionInputs& inputs, const SizePartition& previous)
    -> SizePartition;

}  // namespace duneturn
