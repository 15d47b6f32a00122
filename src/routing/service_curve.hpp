#pragma once
// How long a service's engines take to begin an answer, learnt from the answers that this node gets. Medians
// of the newest samples of each class of prompt length: what few answers show, slow or fast, moves them
// little, and old samples are forgotten as new ones come.
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/prompt_demand.hpp"

namespace duneturn {

/// The newest samples of a figure; their median stands for it.
class RecentSamples {
  public:
    explicit RecentSamples(std::size_t capacity = 16) : capacity_(capacity) {}

    auto record(double sample) -> void;
    [[nodiscard]] auto size() const -> std::size_t { return samples_.size(); }
    /// The sample below which a share of all lies; 0 if there are none.
    [[nodiscard]] auto quantile(double share) const -> double;

  private:
    std::size_t capacity_, next_ = 0;
    std::vector<double> samples_;
};

/// The service curve of one service's engines.
class ServiceCurve {
  public:
    /// An answer's first byte came so long after its request was sent, the network's time left out.
    auto recordFirstByte(std::int64_t promptTokens, Microseconds taken) -> void;
    /// How long an engine is busy with a prompt of a class, in microseconds: what its quicker answers take
    /// beyond the least that any answer took, but never less than FASTEST_FACTOR nor more than SLOWEST_FACTOR
    /// times configuredReadingTime. 0 where too few were seen.
    [[nodiscard]] auto learntReadingTime(std::size_t promptClass) const -> double;

  private:
    std::map<std::size_t, RecentSamples> byClass_;
    RecentSamples all_ = RecentSamples(64);
};

/// What reading a prompt of a class takes before anything is learnt, in microseconds.
[[nodiscard]] auto configuredReadingTime(std::size_t promptClass) -> double;

/// The time of a round trip to servers of each region, learnt from how long connections take to open.
class RegionLatency {
  public:
    auto recordConnect(const std::string& region, Microseconds taken) -> void;
    /// A round trip in microseconds; 0 until enough is known.
    [[nodiscard]] auto roundTrip(const std::string& region) const -> double;

  private:
    std::map<std::string, RecentSamples> byRegion_;
};

}  // namespace duneturn
