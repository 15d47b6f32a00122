#pragma once
// The platform's listing of servers, gossip membership. The listing is replicated as a unit with one number.
// The node that holds the singleton duty assigns the next number when something changes. The other nodes take
// either the complete listing or the changes since exactly the number that they hold.
#include <cstdint>
#include <deque>

#include "base/time.hpp"
#include "membership/node_context.hpp"
#include "membership/server_directory.hpp"

namespace duneturn {

/// The value of `listingBase` in a heartbeat that carries no listing.
constexpr std::int64_t NO_LISTING = -1;

/// The numbered listing; the servers themselves are in NodeContext::directory.
class GossipListing {
  public:
    /// `context` must outlive this object.
    explicit GossipListing(NodeContext& context) : context_(context) {}

    /// The number of the listing held by this node; 0 if it holds none.
    [[nodiscard]] auto number() const -> std::int64_t { return number_; }
    /// The term of the leader that assigned the number.
    [[nodiscard]] auto term() const -> std::int64_t;
    /// Assigns the next number to the listing and returns it.
    auto assignNextNumber() -> std::int64_t;
    /// Applies a listing received from the platform. Returns whether something changed.
    auto applyPlatformListing(const PlatformListing& listing, Microseconds now) -> bool;
    /// Applies the listing in another node's heartbeat if it is newer and complete, or if it is a change of
    /// exactly the listing held. Returns whether it was applied.
    [[nodiscard]] auto merge(const wire::Heartbeat& heartbeat, Microseconds now) -> bool;
    /// Adds the changes since the number `base` to a heartbeat, or the complete listing if that number is not
    /// among the recent ones.
    auto addChanges(wire::Heartbeat& heartbeat, std::int64_t base, Microseconds now) const -> void;
    /// Handles the expiry of a server whose listing had this revision. Nodes that hold an older listing do
    /// not know that the server left, so they are sent the complete listing from now on.
    auto serverExpired(std::int64_t revision) -> void;

  private:
    auto applyEntry(const PlatformListing::Entry& entry, std::int64_t& assignedNumber, Microseconds now)
        -> void;
    auto mergeEntry(const wire::ServerListing& listing, Microseconds now) -> void;
    auto setNumber(std::int64_t number) -> void;

    NodeContext& context_;
    std::int64_t number_ = 0;
    std::deque<std::int64_t> recentNumbers_;  // numbers held so far, without a gap between them
};

}  // namespace duneturn
