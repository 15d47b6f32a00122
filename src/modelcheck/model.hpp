#pragma once
// The cluster that the model checker explores: replicas, messages in flight and what is left of
// the budget of each kind of event, with the transitions between such states.
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "modelcheck/invariants.hpp"
#include "modelcheck/replica_graph.hpp"

namespace duneturn::modelcheck {

constexpr std::size_t VOTERS = 3;
constexpr std::size_t REPLICAS = 4;  // three voters and a spare disk

/// The events that a bound is set on. Deliveries and synced writes are free.
enum class Bounded : std::uint8_t {
    Timeout,
    Heartbeat,
    Proposal,
    Read,
    TransferLeadership,
    OfferSpare,
    Loss,
    FailedWrite,
    Restart,
    Wipe,
    Retire,
    Delay,  // only with eager disks: a disk that begins to lag
};
constexpr std::size_t BOUNDED_KINDS = 12;
using Budget = std::array<std::uint8_t, BOUNDED_KINDS>;
constexpr std::uint8_t SCENARIO_LIMIT = 200;  // of each kind, within a scenario

/// The names of the bounded events, in the order of the enumeration.
auto boundedNames() -> const std::array<std::string_view, BOUNDED_KINDS>&;

enum class ActionKind : std::uint8_t {
    Deliver,
    Lose,
    Sync,
    FailWrite,
    Timeout,
    Heartbeat,
    Propose,
    Read,
    TransferLeadership,
    OfferSpare,
    Restart,
    Wipe,
    Retire,
    Delay,
};

/// One transition. `replica` is who it happens to; `peer` and `position` depend on the kind:
/// sender and place in the link's queue; node and spare replica; pending writes that survive.
struct Action {
    ActionKind kind = ActionKind::Deliver;
    std::uint8_t replica = 0, peer = 0, position = 0;
    auto operator==(const Action&) const -> bool = default;
};

auto actionText(const Action& action) -> std::string;
auto actionParse(const std::string& line) -> tl::expected<Action, std::string>;

/// What is explored.
struct ModelOptions {
    Budget budget = {};
    bool reorder = false;          // any message of a link may be next, not only the oldest
    bool eagerDisks = false;       // writes are done at once unless a delay is spent on the disk
    std::size_t linkCapacity = 6;  // further messages on a link are lost
    std::string broken;
};

struct ClusterState {
    std::array<ReplicaId, REPLICAS> replicas = {};
    std::array<std::vector<MessageId>, REPLICAS * REPLICAS> links;  // [from * REPLICAS + to]
    Budget left = {};
    std::array<bool, REPLICAS> lagging = {};
    HistoryId history = 0;
};

/// A state as a flat sequence, for hashing and for the frontier of the search.
auto encode(const ClusterState& state) -> std::vector<std::uint32_t>;
auto decode(const std::vector<std::uint32_t>& encoded) -> ClusterState;

class Model {
  public:
    explicit Model(const ModelOptions& options);

    /// Three voters that hold a bootstrapped cluster and a blank spare.
    auto initial() -> ClusterState;
    /// Ends a scenario: what it spent is counted, and the search has the whole budget.
    auto beginSearch(ClusterState& state) -> void;
    /// The actions possible in a state, in a fixed order.
    auto enabled(const ClusterState& state) -> std::vector<Action>;
    /// Performs an action; the violation that it brought about, or empty.
    auto apply(ClusterState& state, const Action& action) -> std::string;
    auto graph() const -> const ReplicaGraph& { return graph_; }
    auto seen(const ClusterState& state, std::size_t replica) const -> const Observation&;
    /// One line on each replica and the messages in flight.
    auto describe(const ClusterState& state) const -> std::string;
    auto messageText(MessageId id) const -> std::string;
    auto histories() const -> std::size_t { return monitor_.size(); }

  private:
    auto spent(const ClusterState& state, Bounded kind) const -> std::uint32_t;
    auto run(ClusterState& state, std::size_t replica, const InputKey& input) -> std::string;
    auto reboot(ClusterState& state, std::size_t replica, ReplicaId started) -> std::string;
    auto arrived(ClusterState& state, std::size_t replica, ReplicaId before, bool sameLife) -> std::string;
    auto route(ClusterState& state, std::size_t replica) -> void;
    auto perform(ClusterState& state, const Action& action) -> std::string;
    auto syncAll(ClusterState& state, std::size_t replica) -> std::string;
    auto retireVersion(const ClusterState& state, std::size_t replica) const -> std::int64_t;
    auto addDeliveries(const ClusterState& state, std::vector<Action>& actions) const -> void;
    auto addLocal(const ClusterState& state, std::uint8_t replica, std::vector<Action>& actions) const
        -> void;
    auto addFaults(const ClusterState& state, std::uint8_t replica, std::vector<Action>& actions) const
        -> void;

    ModelOptions options_;
    Budget limit_ = {};            // what the phase under way may spend
    Budget spentInScenario_ = {};  // what the phase before it spent
    ReplicaGraph graph_;
    Monitor monitor_;
};

}  // namespace duneturn::modelcheck
