#pragma once
// What a node's own clients ask of one service's engines, by the length of the prompt and by the region
// that it is bound to. Older requests count less and less.
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// The demand of one class of requests at one node.
struct PromptLoad {
    double requests = 0;  ///< A second.
    double running = 0;   ///< Requests that servers hold at a time, on average.
};

/// Counts requests in classes of prompt length, each half an octave wide.
class PromptDemand {
  public:
    /// The number of classes; the last holds all prompts beyond.
    static constexpr std::size_t CLASSES = 36;

    /// The class of a prompt of so many tokens.
    [[nodiscard]] static auto classOf(std::int64_t tokens) -> std::size_t;
    /// The least number of tokens in a class.
    [[nodiscard]] static auto leastTokens(std::size_t promptClass) -> std::int64_t;

    /// A request was accepted. `region`: the only one that may serve it; empty: several may.
    auto recordRequest(const std::string& region, std::int64_t tokens, Microseconds now) -> void;
    /// A server held a request for so long.
    auto recordHold(const std::string& region, std::int64_t tokens, Microseconds taken) -> void;

    /// The load of the requests of a class that are bound to `region` (empty: that several may serve).
    [[nodiscard]] auto load(const std::string& region, std::size_t promptClass, Microseconds now) const
        -> PromptLoad;
    /// The regions that requests were bound to, with "" for those that several may serve.
    [[nodiscard]] auto regions() const -> std::vector<std::string>;

  private:
    using ClassLoads = std::array<PromptLoad, CLASSES>;

    auto decayTo(Microseconds now) -> void;
    [[nodiscard]] auto decayFactor(Microseconds now) const -> double;

    std::map<std::string, ClassLoads> loads_;  // sums, each weighted by its age at decayedAt_
    Microseconds startedAt_ = 0, decayedAt_ = 0;
};

}  // namespace duneturn
