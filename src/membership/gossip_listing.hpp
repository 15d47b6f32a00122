#pragma once
// The platform's listing where membership is by gossip: one thing with one number. The node with the
// singleton duty raises the number when something changed; all others take the listing whole, or take what
// changed since the very number that they hold.
#include <cstdint>
#include <deque>

#include "base/time.hpp"
#include "membership/node_context.hpp"
#include "membership/server_directory.hpp"

namespace duneturn {

/// No listing is sent along.
constexpr std::int64_t NO_LISTING = -1;

class GossipListing {
  public:
    explicit GossipListing(NodeContext& context) : context_(context) {}

    /// The number of the listing held; 0 if there is none.
    [[nodiscard]] auto number() const -> std::int64_t { return number_; }
    /// The term of the leader that gave the number.
    [[nodiscard]] auto term() const -> std::int64_t;
    /// Gives the listing the next number.
    auto raise() -> std::int64_t;
    /// Takes what the platform lists; true if something changed.
    auto take(const PlatformListing& listing, Microseconds now) -> bool;
    /// Takes a listing that another node sent, if it is newer and builds on what is held; true if it did.
    [[nodiscard]] auto merge(const wire::Heartbeat& heartbeat, Microseconds now) -> bool;
    /// Puts what changed since the number `base` into a heartbeat; all of it if that number is not known.
    auto addChanges(wire::Heartbeat& heartbeat, std::int64_t base, Microseconds now) const -> void;
    /// A server lapsed: who holds an older listing does not know that it left, and is sent the whole.
    auto serverLapsed(std::int64_t revision) -> void;

  private:
    auto takeEntry(const PlatformListing::Entry& entry, std::int64_t& raised, Microseconds now) -> void;
    auto mergeEntry(const wire::ServerListing& listing, Microseconds now) -> void;
    auto remember(std::int64_t number) -> void;

    NodeContext& context_;
    std::int64_t number_ = 0;
    std::deque<std::int64_t> recent_;  // numbers of listings held here, of one unbroken series
};

}  // namespace duneturn
