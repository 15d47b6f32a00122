#pragma once
// Sends the replicated state that a node holds to others: as the steps since the receiver's version if those
// are kept and shorter, otherwise as the complete state.
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership_table.hpp"
#include "membership/state_history.hpp"
#include "wire_types.h"

namespace duneturn {

struct NodeContext;

/// The sending side of the dissemination of the replicated state.
class StatePublisher {
  public:
    /// `context` must outlive this object.
    explicit StatePublisher(NodeContext& context) : context_(context) {}

    /// Records the log entry that produced the version held. Must be called before that version is sent.
    auto recordEntry(const wire::Entry& entry) -> void;
    /// Records the steps of a change that another node sent. Must be called before that version is sent.
    auto recordSteps(const wire::StateChange& change) -> void;

    /// Sends a newly adopted state to the node with this record, starting from the version that it holds or
    /// has been sent. If a message is lost, the receiver detects the gap and requests the missing steps.
    auto push(const wire::NodeRecord& record) -> void;
    /// Answers a node that asked for all that is known: sends what is newer than its record.
    auto answer(const wire::NodeRecord& record) -> void;
    /// Answers a request that states which version the requesting node holds.
    auto answer(const std::string& address, const wire::ReplicatedStateRequest& request) -> void;
    /// Forgets what was sent to nodes other than these.
    auto retainOnly(const std::vector<std::string>& nodes) -> void;

  private:
    /// The incarnation of a node and the version that it was sent last.
    struct Sent {
        std::int64_t boot = 0;
        StateVersion version;
    };

    /// Sends what is newer than `held`.
    auto send(const std::string& address, StateVersion held, bool readsChanges) -> void;
    auto changeSince(StateVersion held) -> std::optional<wire::StateChange>;
    auto sendFullState(const std::string& address, bool readsCompressed) -> void;
    auto compressedDocument() -> const std::string&;
    auto digest() -> std::int64_t;
    /// Drops the cached document and digest if they belong to an earlier version.
    auto dropOutdatedCache() -> void;

    NodeContext& context_;
    StateHistory history_;
    std::map<std::string, Sent> sent_;  // by node
    // Computed once per version.
    StateVersion cachedVersion_;
    std::string compressedDocument_;
    std::optional<std::int64_t> digest_;
};

}  // namespace duneturn
