#include "modelcheck/model.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

namespace duneturn::modelcheck {

namespace {

struct ActionName {
    ActionKind kind;
    std::string_view name;
};
constexpr auto ACTION_NAMES =
    std::array{ActionName{ActionKind::Deliver, "deliver"}, ActionName{ActionKind::Lose, "lose"},
        ActionName{ActionKind::Sync, "sync"}, ActionName{ActionKind::FailWrite, "fail-write"},
        ActionName{ActionKind::Timeout, "timeout"}, ActionName{ActionKind::Heartbeat, "heartbeat"},
        ActionName{ActionKind::Propose, "propose"}, ActionName{ActionKind::Read, "read"},
        ActionName{ActionKind::TransferLeadership, "hand-over"}, ActionName{ActionKind::OfferSpare, "offer"},
        ActionName{ActionKind::Restart, "restart"}, ActionName{ActionKind::Wipe, "wipe"},
        ActionName{ActionKind::Retire, "retire"}, ActionName{ActionKind::Delay, "delay"}};

auto boundOf(ActionKind kind) -> std::optional<Bounded> {
    switch (kind) {
    case ActionKind::Deliver:
    case ActionKind::Sync: return std::nullopt;
    case ActionKind::Lose: return Bounded::Loss;
    case ActionKind::FailWrite: return Bounded::FailedWrite;
    case ActionKind::Timeout: return Bounded::Timeout;
    case ActionKind::Heartbeat: return Bounded::Heartbeat;
    case ActionKind::Propose: return Bounded::Proposal;
    case ActionKind::Read: return Bounded::Read;
    case ActionKind::TransferLeadership: return Bounded::TransferLeadership;
    case ActionKind::OfferSpare: return Bounded::OfferSpare;
    case ActionKind::Restart: return Bounded::Restart;
    case ActionKind::Wipe: return Bounded::Wipe;
    case ActionKind::Retire: return Bounded::Retire;
    case ActionKind::Delay: return Bounded::Delay;
    }
    return std::nullopt;
}

auto nodeName(std::size_t node) -> std::string { return fmt::format("seat-{}", node); }
auto diskName(std::size_t replica) -> std::string { return fmt::format("d{}", replica); }

auto linkIndex(std::size_t from, std::size_t to) -> std::size_t { return from * REPLICAS + to; }

auto contains(const std::vector<std::string>& list, const std::string& item) -> bool {
    return std::find(list.begin(), list.end(), item) != list.end();
}

auto roleName(Voter::Role role) -> std::string_view {
    switch (role) {
    case Voter::Role::Uninitialized: return "blank";
    case Voter::Role::Follower: return "follower";
    case Voter::Role::PreCandidate: return "pre-candidate";
    case Voter::Role::Candidate: return "candidate";
    case Voter::Role::Leader: return "leader";
    }
    return "";
}

auto brokenOf(const std::string& name) -> Voter::Broken {
    auto broken = Voter::Broken();
    setBroken(broken, name);
    return broken;
}

}  // namespace

auto boundedNames() -> const std::array<std::string_view, BOUNDED_KINDS>& {
    static constexpr auto NAMES =
        std::array<std::string_view, BOUNDED_KINDS>{"timeouts", "heartbeats", "proposals", "reads",
            "handovers", "offers", "losses", "failed-writes", "restarts", "wipes", "retires", "delays"};
    return NAMES;
}

auto actionText(const Action& action) -> std::string {
    for (auto& known : ACTION_NAMES)
        if (known.kind == action.kind)
            return fmt::format("{} {} {} {}", known.name, action.replica, action.peer, action.position);
    return "";
}

auto actionParse(const std::string& line) -> tl::expected<Action, std::string> {
    auto fields = std::istringstream(line);
    auto name = std::string();
    auto replica = 0, peer = 0, position = 0;
    fields >> name >> replica >> peer >> position;
    auto inRange = replica >= 0 && replica < int(REPLICAS) && peer >= 0 && peer < int(REPLICAS)
        && position >= 0 && position < 256;
    for (auto& known : ACTION_NAMES)
        if (fields && inRange && known.name == name)
            return Action{known.kind, std::uint8_t(replica), std::uint8_t(peer), std::uint8_t(position)};
    return tl::make_unexpected("not an action: " + line);
}

auto encode(const ClusterState& state) -> std::vector<std::uint32_t> {
    auto encoded = std::vector<std::uint32_t>(state.replicas.begin(), state.replicas.end());
    encoded.push_back(state.history);
    for (auto i = std::size_t(0); i < BOUNDED_KINDS; i += 4)
        encoded.push_back(std::uint32_t(state.left[i]) | std::uint32_t(state.left[i + 1]) << 8
            | std::uint32_t(state.left[i + 2]) << 16 | std::uint32_t(state.left[i + 3]) << 24);
    auto lagging = std::uint32_t(0);
    for (auto i = std::size_t(0); i < REPLICAS; i++) lagging |= std::uint32_t(state.lagging[i]) << i;
    encoded.push_back(lagging);
    for (auto i = std::size_t(0); i < state.links.size(); i++) {
        if (state.links[i].empty()) continue;
        encoded.push_back(std::uint32_t(i << 8 | state.links[i].size()));
        encoded.insert(encoded.end(), state.links[i].begin(), state.links[i].end());
    }
    return encoded;
}

auto decode(const std::vector<std::uint32_t>& encoded) -> ClusterState {
    auto state = ClusterState();
    auto at = std::size_t(0);
    for (auto& replica : state.replicas) replica = encoded[at++];
    state.history = encoded[at++];
    for (auto i = std::size_t(0); i < BOUNDED_KINDS; i++)
        state.left[i] = std::uint8_t(encoded[at + i / 4] >> (i % 4 * 8));
    at += BOUNDED_KINDS / 4;
    for (auto i = std::size_t(0); i < REPLICAS; i++) state.lagging[i] = encoded[at] >> i & 1;
    at++;
    while (at < encoded.size()) {
        auto link = encoded[at] >> 8;
        auto length = encoded[at] & 255;
        at++;
        auto begin = encoded.begin() + std::ptrdiff_t(at);
        state.links[link].assign(begin, begin + std::ptrdiff_t(length));
        at += length;
    }
    return state;
}

Model::Model(const ModelOptions& options) : options_(options), graph_(brokenOf(options.broken)) {
    limit_.fill(SCENARIO_LIMIT);
}

auto Model::initial() -> ClusterState {
    auto state = ClusterState();
    state.left = limit_;
    auto voters = std::vector<VoterIdentity>();
    for (auto i = std::size_t(0); i < VOTERS; i++) voters.push_back({nodeName(i), diskName(i)});
    for (auto i = std::size_t(0); i < VOTERS; i++)
        state.replicas[i] = graph_.boot(bootstrappedDisk(voters, diskName(i)), "");
    auto spare = graph_.boot(DiskState(), diskName(VOTERS));
    state.replicas[VOTERS] = graph_.step(spare, {InputKind::WriteSynced, 0, "", ""});
    return state;
}

auto Model::beginSearch(ClusterState& state) -> void {
    for (auto i = std::size_t(0); i < BOUNDED_KINDS; i++)
        spentInScenario_[i] = std::uint8_t(limit_[i] - state.left[i]);
    limit_ = options_.budget;
    state.left = limit_;
}

auto Model::spent(const ClusterState& state, Bounded kind) const -> std::uint32_t {
    auto i = std::size_t(kind);
    return std::uint32_t(spentInScenario_[i] + limit_[i] - state.left[i]);
}

auto Model::seen(const ClusterState& state, std::size_t replica) const -> const Observation& {
    return graph_.node(state.replicas[replica]).seen;
}

auto Model::enabled(const ClusterState& state) -> std::vector<Action> {
    auto actions = std::vector<Action>();
    addDeliveries(state, actions);
    for (auto i = std::uint8_t(0); i < REPLICAS; i++) addLocal(state, i, actions);
    for (auto i = std::uint8_t(0); i < REPLICAS; i++) addFaults(state, i, actions);
    auto spent = [&](const Action& action) {
        auto bound = boundOf(action.kind);
        return bound && state.left[std::size_t(*bound)] == 0;
    };
    actions.erase(std::remove_if(actions.begin(), actions.end(), spent), actions.end());
    return actions;
}

auto Model::addDeliveries(const ClusterState& state, std::vector<Action>& actions) const -> void {
    for (auto to = std::uint8_t(0); to < REPLICAS; to++)
        for (auto from = std::uint8_t(0); from < REPLICAS; from++) {
            auto& link = state.links[linkIndex(from, to)];
            auto reachable = options_.reorder ? link.size() : std::min<std::size_t>(link.size(), 1);
            for (auto place = std::size_t(0); place < reachable; place++) {
                auto position = std::uint8_t(place);
                actions.push_back({ActionKind::Deliver, to, from, position});
                actions.push_back({ActionKind::Lose, to, from, position});
            }
        }
}

auto Model::addLocal(const ClusterState& state, std::uint8_t replica, std::vector<Action>& actions) const
    -> void {
    auto& observed = seen(state, replica);
    if (observed.pendingWrites > 0) {
        actions.push_back({ActionKind::Sync, replica, 0, 0});
        actions.push_back({ActionKind::FailWrite, replica, 0, 0});
    }
    if (observed.role == Voter::Role::Uninitialized) return;
    auto leads = observed.role == Voter::Role::Leader;
    if (leads || contains(observed.newestVoters, observed.disk))
        actions.push_back({ActionKind::Timeout, replica, 0, 0});
    if (retireVersion(state, replica) > 0) actions.push_back({ActionKind::Retire, replica, 0, 0});
    if (!leads) return;
    actions.push_back({ActionKind::Heartbeat, replica, 0, 0});
    actions.push_back({ActionKind::Propose, replica, 0, 0});
    actions.push_back({ActionKind::Read, replica, 0, 0});
    actions.push_back({ActionKind::TransferLeadership, replica, 0, 0});
    for (auto node = std::uint8_t(0); node < VOTERS; node++)
        for (auto spare = std::uint8_t(0); spare < REPLICAS; spare++)
            if (seen(state, spare).role == Voter::Role::Uninitialized)
                actions.push_back({ActionKind::OfferSpare, replica, node, spare});
}

auto Model::addFaults(const ClusterState& state, std::uint8_t replica, std::vector<Action>& actions) const
    -> void {
    auto& observed = seen(state, replica);
    for (auto kept = std::uint8_t(0); kept <= observed.pendingWrites; kept++)
        actions.push_back({ActionKind::Restart, replica, 0, kept});
    if (observed.role != Voter::Role::Uninitialized) actions.push_back({ActionKind::Wipe, replica, 0, 0});
    if (options_.eagerDisks && !state.lagging[replica]) actions.push_back({ActionKind::Delay, replica, 0, 0});
}

// The version of a state that another replica has applied and that leaves this disk out.
auto Model::retireVersion(const ClusterState& state, std::size_t replica) const -> std::int64_t {
    auto newest = std::int64_t(0);
    for (auto i = std::size_t(0); i < REPLICAS; i++) {
        auto& other = seen(state, i);
        if (i == replica || other.role == Voter::Role::Uninitialized) continue;
        if (!contains(other.appliedVoters, seen(state, replica).disk))
            newest = std::max(newest, other.version);
    }
    return newest;
}

auto Model::apply(ClusterState& state, const Action& action) -> std::string {
    auto bound = boundOf(action.kind);
    auto violation = perform(state, action);
    if (bound) state.left[std::size_t(*bound)]--;
    if (violation.empty() && options_.eagerDisks && !state.lagging[action.replica])
        violation = syncAll(state, action.replica);
    return violation;
}

auto Model::perform(ClusterState& state, const Action& action) -> std::string {
    auto i = std::size_t(action.replica);
    auto newDiskId = [&] {
        auto lives = 1 + spent(state, Bounded::Wipe) + spent(state, Bounded::Retire);
        return fmt::format("d{}-{}", i, lives);
    };
    auto& link = state.links[linkIndex(action.peer, i)];
    switch (action.kind) {
    case ActionKind::Deliver: {
        auto message = link[action.position];
        link.erase(link.begin() + action.position);
        return run(state, i, {InputKind::Deliver, message, "", ""});
    }
    case ActionKind::Lose: link.erase(link.begin() + action.position); return "";
    case ActionKind::Sync: return run(state, i, {InputKind::WriteSynced, 0, "", ""});
    case ActionKind::FailWrite: return run(state, i, {InputKind::WriteFailed, 0, "", ""});
    case ActionKind::Timeout: {
        auto leads = seen(state, i).role == Voter::Role::Leader;
        return run(state, i, {leads ? InputKind::QuorumTimeout : InputKind::ElectionTimeout, 0, "", ""});
    }
    case ActionKind::Heartbeat: return run(state, i, {InputKind::Heartbeat, 0, "", ""});
    case ActionKind::Propose:
        return run(state, i, {InputKind::Propose, spent(state, Bounded::Proposal), "", ""});
    case ActionKind::Read: {
        auto read = spent(state, Bounded::Read);
        state.history = monitor_.readBegins(state.history, read);
        return run(state, i, {InputKind::Read, read, "", ""});
    }
    case ActionKind::TransferLeadership: return run(state, i, {InputKind::TransferLeadership, 0, "", ""});
    case ActionKind::OfferSpare:
        return run(
            state, i, {InputKind::OfferSpare, 0, nodeName(action.peer), seen(state, action.position).disk});
    case ActionKind::Restart:
        state.lagging[i] = false;
        return reboot(state, i, graph_.restart(state.replicas[i], action.position));
    case ActionKind::Wipe:
        state.history = monitor_.diskLost(state.history, seen(state, i));
        state.lagging[i] = false;
        return reboot(state, i, graph_.boot(DiskState(), newDiskId()));
    case ActionKind::Retire:
        return run(state, i, {InputKind::Retire, std::uint32_t(retireVersion(state, i)), "", newDiskId()});
    case ActionKind::Delay: state.lagging[i] = true; return "";
    }
    return "";
}

auto Model::syncAll(ClusterState& state, std::size_t replica) -> std::string {
    auto violation = std::string();
    while (violation.empty() && seen(state, replica).pendingWrites > 0)
        violation = run(state, replica, {InputKind::WriteSynced, 0, "", ""});
    return violation;
}

auto Model::run(ClusterState& state, std::size_t replica, const InputKey& input) -> std::string {
    auto before = state.replicas[replica];
    state.replicas[replica] = graph_.step(before, input);
    auto violation = arrived(state, replica, before, true);
    route(state, replica);
    return violation;
}

auto Model::reboot(ClusterState& state, std::size_t replica, ReplicaId started) -> std::string {
    auto before = state.replicas[replica];
    state.replicas[replica] = started;
    auto violation = arrived(state, replica, before, false);
    route(state, replica);
    return violation;
}

auto Model::arrived(ClusterState& state, std::size_t replica, ReplicaId before, bool sameLife)
    -> std::string {
    auto violation = std::string();
    auto after = state.replicas[replica];
    auto cluster = std::vector<ReplicaId>(state.replicas.begin(), state.replicas.end());
    auto failed = sameLife && graph_.node(after).input.kind == InputKind::WriteFailed;
    state.history = monitor_.observe(
        state.history, {graph_, std::move(cluster), before, after, sameLife, failed}, violation);
    return violation;
}

// Puts what the replica's last step sent onto the links. A full link loses what comes next.
auto Model::route(ClusterState& state, std::size_t replica) -> void {
    for (auto& sent : graph_.node(state.replicas[replica]).sent)
        for (auto to = std::size_t(0); to < REPLICAS; to++) {
            auto& link = state.links[linkIndex(replica, to)];
            if (to != replica && seen(state, to).disk == sent.toDisk && link.size() < options_.linkCapacity)
                link.push_back(sent.message);
        }
}

auto Model::messageText(MessageId id) const -> std::string {
    auto& message = graph_.message(id);
    if (message.__isset.requestVote)
        return fmt::format("{}(term {}, last {}/{})", message.requestVote.preVote ? "PreVote" : "RequestVote",
            message.requestVote.term, message.requestVote.lastLogIndex, message.requestVote.lastLogTerm);
    if (message.__isset.requestVoteReply)
        return fmt::format("{}Reply(term {}, {})",
            message.requestVoteReply.preVote ? "PreVote" : "RequestVote", message.requestVoteReply.term,
            message.requestVoteReply.granted ? "granted" : "denied");
    if (message.__isset.appendEntries)
        return fmt::format("AppendEntries(term {}, after {}/{}, {} entries, commit {}, round {})",
            message.appendEntries.term, message.appendEntries.prevLogIndex, message.appendEntries.prevLogTerm,
            message.appendEntries.entries.size(), message.appendEntries.commit, message.appendEntries.round);
    if (message.__isset.appendEntriesReply)
        return fmt::format("AppendEntriesReply(term {}, {}, match {}, round {})",
            message.appendEntriesReply.term, message.appendEntriesReply.ok ? "ok" : "refused",
            message.appendEntriesReply.match, message.appendEntriesReply.round);
    if (message.__isset.installSnapshot)
        return fmt::format("InstallSnapshot(term {}, last {}/{})", message.installSnapshot.term,
            message.installSnapshot.lastIncludedIndex, message.installSnapshot.lastIncludedTerm);
    if (message.__isset.timeoutNow) return fmt::format("TimeoutNow(term {})", message.timeoutNow.term);
    return "message";
}

auto Model::describe(const ClusterState& state) const -> std::string {
    auto text = std::string();
    for (auto i = std::size_t(0); i < REPLICAS; i++) {
        auto& replica = seen(state, i);
        text += fmt::format("  {} {} {}: term {}, commit {}, written {}, durable {}, {} writes pending\n", i,
            replica.disk, roleName(replica.role), replica.term, replica.commit, replica.written.last(),
            replica.durable.last(), replica.pendingWrites);
    }
    for (auto from = std::size_t(0); from < REPLICAS; from++)
        for (auto to = std::size_t(0); to < REPLICAS; to++)
            for (auto message : state.links[linkIndex(from, to)])
                text += fmt::format("  {} -> {}: {}\n", from, to, messageText(message));
    return text;
}

}  // namespace duneturn::modelcheck
