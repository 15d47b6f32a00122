#pragma once
// Sends the replicated state that a node holds: as the steps from the receiver's version on where they are
// kept and shorter, otherwise whole.
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

class StatePublisher {
  public:
    /// `context` outlives this object.
    explicit StatePublisher(NodeContext& context) : context_(context) {}

    /// Notes the entry that made the state's version. To be called before the state is sent.
    auto noteEntry(const wire::Entry& entry) -> void;
    /// The same, of steps that another node sent.
    auto noteSteps(const wire::StateChange& change) -> void;

    /// Sends a state that was just taken to a node of which `record` is known, from the version on that it
    /// holds or has been sent. If a message is lost the receiver sees a gap and asks.
    auto push(const wire::NodeRecord& record) -> void;
    /// Sends what is newer than its record says to a node that asks for all.
    auto answer(const wire::NodeRecord& record) -> void;
    /// Answers a node that says which version it holds.
    auto answer(const std::string& address, const wire::ReplicatedStateRequest& request) -> void;
    /// Forgets what nodes other than these were sent.
    auto keepOnly(const std::vector<std::string>& nodes) -> void;

  private:
    /// The life of a node, and the version that it was sent last.
    struct Sent {
        std::int64_t boot = 0;
        StateVersion version;
    };

    /// Sends what is newer than `held`.
    auto send(const std::string& address, StateVersion held, bool readsChanges) -> void;
    auto changeSince(StateVersion held) -> std::optional<wire::StateChange>;
    auto sendWhole(const std::string& address, bool readsCompressed) -> void;
    auto compressedDocument() -> const std::string&;
    auto digest() -> std::int64_t;
    /// Drops what was worked out for an earlier version.
    auto followState() -> void;

    NodeContext& context_;
    StateHistory history_;
    std::map<std::string, Sent> sent_;  // by node
    // Worked out once for each version.
    StateVersion workedOutFor_;
    std::string compressedDocument_;
    std::optional<std::int64_t> digest_;
};

}  // namespace duneturn
