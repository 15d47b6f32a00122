#include "membership/node.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "base/version.hpp"
#include "membership/disaster_recovery.hpp"
#include "membership/gossip_membership.hpp"
#include "membership/operator_views.hpp"
#include "membership/roster_membership.hpp"
#include "membership/voter_placement.hpp"

// Messages are handled in node_messages.cpp.
namespace duneturn {

static constexpr std::size_t MAX_PEER_HINTS = 64;  // far more than are asked before a leader is found
static constexpr Microseconds TRANSFER_RETRY = 2 * SECOND;  // of a stopping leader, to transfer leadership
static constexpr Microseconds HINTS_INTERVAL = 2 * SECOND;  // between two looks at whether the peers changed
static constexpr Microseconds PROBE_INTERVAL = 500 * MILLISECOND;
static constexpr int WATCHERS_PER_SERVER = 2;  // nodes that probe a server

/// The numbers of orders begin elsewhere in each life.
static auto firstOrderNumber(std::int64_t boot, std::uint64_t seed) -> std::int64_t {
    return std::int64_t(hash64(fmt::to_string(boot), seed) >> 2);
}

static auto makeProtocol(NodeContext& context) -> std::unique_ptr<MembershipProtocol> {
    if (context.settings.gossip) return std::make_unique<GossipMembership>(context);
    return std::make_unique<RosterMembership>(context);
}

Node::Node(
    const Settings& settings, NodePort& port, Counters& counters, std::int64_t boot, std::uint64_t seed)
    : context_(settings, port, counters, boot, seed),
      protocol_(makeProtocol(context_)),
      stateReceiver_(context_, *protocol_,
          [this](const ReplicatedState& state, const wire::StateChange* change) {
              adoptReceived(state, change);
          }),
      orderService_(*this, counters),
      orderClient_(*this, orderRetry(settings), firstOrderNumber(boot, seed)),
      quota_(context_, seed) {
    quota_.onAnswer = [this] {
        if (onQuotaAnswer) onQuotaAnswer(context_.now);
    };
}

Node::~Node() = default;

auto Node::startCore(DiskState disk, const std::string& newDiskId, Microseconds now) -> void {
    context_.now = now;
    context_.voter = std::make_unique<Voter>(*this, context_.counters, context_.random.next());
    context_.voter->start(std::move(disk), newDiskId, now);
    protocol_->refreshOwnRecord();
}

auto Node::addPeerHints(const std::vector<std::string>& addresses) -> void {
    auto& hints = context_.peerHints;
    for (auto& address : addresses)
        if (std::find(hints.begin(), hints.end(), address) == hints.end() && hints.size() < MAX_PEER_HINTS)
            hints.push_back(address);
}

// ---- time

/// A gap in its own time shows a process that it was stopped.
auto Node::noticeFreeze(Microseconds now) -> void {
    if (context_.now && now - context_.now > FREEZE_GAP) {
        context_.resumedAt = now;
        context_.counters.add("woke_total");
    }
    context_.now = now;
}

auto Node::wasFrozenSince(Microseconds arrived, Microseconds now) const -> bool {
    if (context_.now && now - context_.now > FREEZE_GAP) return true;  // and it has not been noticed yet
    return context_.resumedAt && context_.resumedAt + RESUME_GRACE > arrived;
}

auto Node::tick(Microseconds now, Microseconds wall) -> void {
    noticeFreeze(now);
    context_.wall = wall;
    if (!context_.startedAt) context_.startedAt = now;
    if (context_.voter) context_.voter->tick(now);
    retryTransfer(now);
    protocol_->refreshOwnRecord();
    sendDueHeartbeats(now);
    auto scan = protocol_->scanDue(now);
    if (scan) dropSilentAndLapsed(now);
    protocol_->tick(now, scan);
    savePeerHints(now);
    context_.members.own().ready = ready(now);
    noteLease(now);
    probeServers(now);
    protocol_->answerPlatform(now);
    orderClient_.tick(context_.members.own().boot, now);
    if (context_.voter) tickVoter(now, wall);
    quota_.tick();
    if (scan) publishCounters(now);
}

auto Node::retryTransfer(Microseconds now) -> void {
    auto& voter = context_.voter;
    if (!context_.members.own().stopping || !voter || !voter->leads()) return;
    if (now - transferTriedAt_ < TRANSFER_RETRY) return;
    transferTriedAt_ = now;
    voter->transferLeadership(now);
}

auto Node::sendDueHeartbeats(Microseconds now) -> void {
    if (now < context_.nextHeartbeatAt) return;
    context_.nextHeartbeatAt = now + protocol_->heartbeatInterval(now);
    protocol_->sendHeartbeats(now);
}

auto Node::dropSilentAndLapsed(Microseconds now) -> void {
    context_.members.dropSilent(now);
    for (auto& listing : context_.directory.dropLapsed(protocol_->listingTimeout(), now)) {
        context_.counters.add("listings_lapsed_total");
        protocol_->serverLapsed(listing);
    }
}

auto Node::savePeerHints(Microseconds now) -> void {
    if (!context_.voter || now - hintsCheckedAt_ <= HINTS_INTERVAL) return;
    hintsCheckedAt_ = now;
    auto addresses = std::vector<std::string>();
    for (auto& [name, known] : context_.members.others()) addresses.push_back(known.record.peer);
    if (addresses.empty() || addresses == savedHints_) return;
    savedHints_ = addresses;
    context_.port.savePeerHints(addresses);
}

auto Node::noteLease(Microseconds now) -> void {
    auto within = withinLease(now);
    if (within == wasWithinLease_) return;
    wasWithinLease_ = within;
    auto& state = context_.state;
    if (within) logEvent("lease_gained", "epoch={} version={}", state.epoch, state.version);
    else logEvent("lease_lost", "epoch={} version={}", state.epoch, state.version);
    context_.counters.add(within ? "fresh_gained_total" : "fresh_lost_total");
}

/// Each server is probed by the nodes that rendezvous hashing names for it.
auto Node::probeServers(Microseconds now) -> void {
    if (!context_.settings.probes || now < nextProbeAt_) return;
    nextProbeAt_ = now + PROBE_INTERVAL;
    auto names = context_.members.aliveNodes(now);
    for (auto& [server, known] : context_.directory.servers()) {
        if (known.listing.state == GONE || known.listing.address.empty()) continue;
        auto ownRank = rendezvousRank(server, context_.members.own().node);
        auto before = std::count_if(names.begin(), names.end(),
            [&, &key = server](auto& name) { return rendezvousRank(key, name) > ownRank; });
        if (before < WATCHERS_PER_SERVER) context_.port.probe(server, known.listing.address);
    }
}

auto Node::tickVoter(Microseconds now, Microseconds wall) -> void {
    auto& voter = *context_.voter;
    protocol_->placeVoters(now);
    voter.setUninitializedVoters(blankVoterDisks(context_, now));
    scheduler_.tick(context_, wall, now);
    protocol_->beginEpochIfDue(now);
    orderService_.tick(voter, context_.wall, now);
    context_.counters.set("core_leader", voter.leads());
    context_.counters.set("core_term", voter.term());
    context_.counters.set("core_commit", voter.commit());
    context_.counters.set("disk_bad", voter.isDiskFaulty());
}

auto Node::publishCounters(Microseconds now) -> void {
    auto& counters = context_.counters;
    counters.set("nodes_alive", std::int64_t(context_.members.aliveNodes(now).size()));
    counters.set("servers_listed", std::int64_t(servers().size()));
    counters.set("fresh", wasWithinLease_);
    counters.set("ready", context_.members.own().ready);
}

auto Node::leave(Microseconds now) -> void {
    context_.members.own().stopping = true;
    transferTriedAt_ = now;
    if (context_.voter) context_.voter->transferLeadership(now);
    protocol_->sendHeartbeats(now);
}

// ---- orders of operators

auto Node::order(std::int64_t id, const std::string& operation, const std::string& key,
    const std::string& body, Microseconds now) -> void {
    orderClient_.order(id, operation, key, body, now);
    context_.counters.add("orders_taken_total");
}

auto Node::read(std::int64_t id, const StateQuery& query, Microseconds now) -> void {
    orderClient_.read(id, query, now);
}

auto Node::cancelOrder(std::int64_t id) -> void {
    context_.counters.add("orders_cancelled_total");
    orderClient_.cancel(id);
}

auto Node::rescue(std::int64_t epoch, std::int64_t version, Microseconds now) -> Outcome {
    auto majorityStands = !leaderNode(now).empty() || protocol_->majorityStands(now);
    return recoverFromSurvivor(context_, {epoch, version}, majorityStands, now);
}

// ---- the platform

auto Node::list(std::int64_t id, const std::string& body, Microseconds now) -> void {
    auto listing = parsePlatformListing(body);
    if (!listing) return context_.port.done(id, listing.error());
    protocol_->takeListing(id, *listing, now);
}

auto Node::mark(std::int64_t id, const std::string& server, std::int64_t revision, Microseconds now) -> void {
    if (context_.directory.find(server)) return protocol_->takeDrainMark(id, server, revision, now);
    context_.port.done(id, {404, errorBody({{"/server", "not listed: " + server}})});
}

auto Node::probeFinished(const std::string& server, bool ok, bool refused, const wire::ServerLoad& load,
    Microseconds now) -> void {
    auto result = refused ? ProbeResult::Refused : ProbeResult::Silent;
    if (ok) result = ProbeResult::Answered;
    context_.directory.probeFinished(server, context_.members.own().node, result, load, now);
}

// ---- what an operator reads

auto Node::beliefs(Microseconds now) const -> std::string { return beliefsText(context_, *protocol_, now); }
auto Node::status(Microseconds now) const -> std::string { return statusText(context_, *protocol_, now); }
auto Node::planText(Microseconds) const -> std::string { return duneturn::planText(context_); }
auto Node::where(const std::string& region, const std::string& zone, Microseconds now) const -> std::string {
    return nearestNodesText(context_, region, zone, now);
}

}  // namespace duneturn
