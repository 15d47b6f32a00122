#pragma once
// The invariants, judged from what replicas say and write. The monitor keeps what has to be
// remembered of a run (votes, leaders, committed entries, acknowledged orders, open reads) as an
// interned value, so that it is part of a state of the search.
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "modelcheck/replica_graph.hpp"

namespace duneturn::modelcheck {

using HistoryId = std::uint32_t;

/// What is remembered of a run.
struct History {
    std::map<std::int64_t, std::string> leaders;                        // term -> disk
    std::map<std::pair<std::string, std::int64_t>, std::string> votes;  // (disk, term) -> candidate
    std::map<std::int64_t, EntryView> committed;                        // index -> entry
    std::map<std::int64_t, std::uint64_t> applied;                      // version -> digest of the state
    std::map<std::uint32_t, std::uint32_t> reads;                       // open read -> orders it must show
    std::map<std::string, std::uint32_t> wiped;                         // lost disk -> orders it held
    std::uint32_t acknowledged = 0;                                     // bit set of order numbers
    // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes the 0 of the generated code for a pointer
    auto operator<=>(const History&) const = default;
};

/// One step of one replica within the cluster.
struct StepView {
    const ReplicaGraph& graph;
    std::vector<ReplicaId> cluster;  // all replicas, after the step
    ReplicaId before = 0, after = 0;
    bool sameLife = true;  // false when the step was a start
    bool writeFailed = false;
};

class Monitor {
  public:
    Monitor();
    /// The history after a step; `violation` is set if an invariant broke.
    auto observe(HistoryId history, const StepView& step, std::string& violation) -> HistoryId;
    /// A read begins: it must show every order acknowledged by now.
    auto readBegins(HistoryId history, std::uint32_t read) -> HistoryId;
    /// A disk is lost with what it held.
    auto diskLost(HistoryId history, const Observation& lost) -> HistoryId;
    auto history(HistoryId id) const -> const History& { return *histories_[id]; }
    auto size() const -> std::size_t { return histories_.size(); }

  private:
    auto intern(History history) -> HistoryId;
    std::map<History, HistoryId> ids_;
    std::vector<const History*> histories_;
};

}  // namespace duneturn::modelcheck
