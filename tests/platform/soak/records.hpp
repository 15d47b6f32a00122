#pragma once
// What the soak's clients and servers have seen of each request, and what was found wrong.
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "platform/soak/loss_rule.hpp"

namespace duneturn::soak {

/// How many requests of one kind ended how.
struct Tally {
    int answered = 0, refused = 0, cut = 0, unsent = 0, notReached = 0;
    int brokenOff = 0;  ///< Whose servers broke off.
    int inStops = 0;    ///< Answered with success by a node that was stopping.
    int notJudged = 0;  ///< Faults that count for nothing, as the machine was in trouble of its own.
};

/// Used by one thread.
class Records {
  public:
    explicit Records(std::size_t nodes) : stops_(nodes) {}

    /// A request that a client begins to send.
    auto begin(const std::string& name, Microseconds timeLimit) -> RequestRecord&;
    /// The record of a request; null if no client has sent it.
    auto find(const std::string& name) -> RequestRecord*;
    /// Judges a request that has ended, and forgets it.
    auto finish(const std::string& name, const std::string& kind, std::size_t node) -> void;
    auto recordStop(std::size_t node, const PlannedStopRecord& stop) -> void { stops_[node] = stop; }
    /// The soak itself was held up: its machine is in trouble, which no node is to blame for.
    auto recordTrouble() -> void;
    auto recordFault(const std::string& fault) -> void;

    [[nodiscard]] auto tallies() const -> const std::map<std::string, Tally>& { return tallies_; }
    [[nodiscard]] auto faults() const -> int { return faults_; }

  private:
    std::map<std::string, RequestRecord> requests_;
    std::vector<std::optional<PlannedStopRecord>> stops_;  // the last of each node
    std::map<std::string, Tally> tallies_;
    Microseconds lastTroubleAt_ = 0;
    int faults_ = 0;
};

}  // namespace duneturn::soak
