#include "modelcheck/invariants.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace duneturn::modelcheck {

namespace {

// One step, the history it meets, and the first violation found.
struct Check {
    const StepView& step;
    const History& known;
    std::optional<History> changed;  // a copy of `known`, made at the first change
    std::string violation;

    auto history() const -> const History& { return changed ? *changed : known; }
    auto edit() -> History& {
        if (!changed) changed = known;
        return *changed;
    }
    // The value kept under a key; `value` is kept if there is none yet.
    template <class Map>
    auto remember(Map History::*map, const typename Map::key_type& key,
        const typename Map::mapped_type& value) -> typename Map::mapped_type {
        auto place = (history().*map).find(key);
        if (place != (history().*map).end()) return place->second;
        (edit().*map).emplace(key, value);
        return value;
    }

    auto fail(std::string text) -> void {
        if (violation.empty()) violation = std::move(text);
    }
    auto node() const -> const ReplicaNode& { return step.graph.node(step.after); }
    auto seen() const -> const Observation& { return node().seen; }
    auto before() const -> const Observation& { return step.graph.node(step.before).seen; }

    auto votes() -> void;
    auto vote(std::int64_t term, const std::string& candidate) -> void;
    auto leaders() -> void;
    auto completeness(const Observation& leader) -> void;
    auto committed() -> void;
    auto commitIndex() -> void;
    auto committedKept() -> void;
    auto applied() -> void;
    auto acknowledgements() -> void;
    auto acknowledgedOnMajority(std::uint32_t order) -> void;
    auto heldByMajority(std::uint32_t order, const std::vector<std::string>& voters) const -> bool;
    auto nothingLost() -> void;
    auto membership() -> void;
    auto reads() -> void;
    auto logMatching(const Observation& other) -> void;
};

auto isLeader(const Observation& seen) -> bool { return seen.role == Voter::Role::Leader; }

// A voter votes once in a term, also across restarts.
auto Check::vote(std::int64_t term, const std::string& candidate) -> void {
    auto first = remember(&History::votes, std::pair(seen().disk, term), candidate);
    if (first != candidate)
        fail(fmt::format(
            "vote once: {} voted for {} and for {} in term {}", seen().disk, first, candidate, term));
}
auto Check::votes() -> void {
    for (auto& sent : node().sent) {
        auto& message = step.graph.message(sent.message);
        if (message.__isset.requestVoteReply && message.requestVoteReply.granted
            && !message.requestVoteReply.preVote)
            vote(message.requestVoteReply.term, sent.toDisk);
        if (message.__isset.requestVote && !message.requestVote.preVote)
            vote(message.requestVote.term, message.disk);
    }
}

// At most one leader in a term.
auto Check::leaders() -> void {
    if (!isLeader(seen())) return;
    auto isNew = history().leaders.count(seen().term) == 0;
    auto first = remember(&History::leaders, seen().term, seen().disk);
    if (first != seen().disk)
        fail(fmt::format("one leader in a term: {} and {} lead in term {}", first, seen().disk, seen().term));
    if (isNew) completeness(seen());
}

// A leader's log holds every entry that was committed in an earlier term.
auto Check::completeness(const Observation& leader) -> void {
    for (auto& [index, entry] : history().committed) {
        if (entry.term >= leader.term || index <= leader.written.snapshotIndex) continue;
        auto own = leader.written.at(index);
        if (!own || *own != entry)
            fail(fmt::format("leader completeness: {}, leader of term {}, lacks entry {} that was committed",
                leader.disk, leader.term, index));
    }
}

// No two voters hold different entries to be committed at one index.
auto Check::committed() -> void {
    auto isNew = false;
    for (auto index = seen().written.snapshotIndex + 1; index <= seen().commit; index++) {
        auto entry = seen().written.at(index);
        if (!entry) break;
        isNew = isNew || history().committed.count(index) == 0;
        if (remember(&History::committed, index, *entry) != *entry)
            fail(fmt::format(
                "state machine safety: {} holds another entry {} to be committed", seen().disk, index));
    }
    if (!isNew) return;
    for (auto id : step.cluster)
        if (auto& other = step.graph.node(id).seen; isLeader(other)) completeness(other);
}

// A commit index doesn't go back in a life. A failed write may take back entries that this disk
// never held; what was applied stays.
auto Check::commitIndex() -> void {
    if (!step.sameLife || seen().role == Voter::Role::Uninitialized || seen().disk != before().disk) return;
    if (seen().commit < before().commit && !step.writeFailed)
        fail(fmt::format(
            "commit index: {} went from {} back to {}", seen().disk, before().commit, seen().commit));
    if (seen().version < before().version)
        fail(fmt::format("commit index: {} went from applied version {} back to {}", seen().disk,
            before().version, seen().version));
}

// An entry known to be committed is never dropped.
auto Check::committedKept() -> void {
    if (!step.sameLife || seen().disk != before().disk || step.writeFailed) return;
    for (auto cut : node().cuts)
        if (cut <= before().commit)
            fail(fmt::format("committed entries stay: {} drops its log from {} on, having known {} committed",
                seen().disk, cut, before().commit));
}

// All voters go through the same states.
auto Check::applied() -> void {
    for (auto& state : node().applied) {
        if (state.version == 0) continue;
        if (remember(&History::applied, state.version, state.digest) != state.digest)
            fail(fmt::format(
                "state machine safety: {} applied another state as version {}", seen().disk, state.version));
    }
}

auto Check::heldByMajority(std::uint32_t order, const std::vector<std::string>& voters) const -> bool {
    auto holders = std::size_t(0);
    for (auto& disk : voters) {
        auto lost = history().wiped.find(disk);
        auto holds = lost != history().wiped.end() && (lost->second & order);
        for (auto id : step.cluster) {
            auto& other = step.graph.node(id).seen;
            holds = holds || (other.disk == disk && (other.ordersDurable & order));
        }
        holders += holds;
    }
    return holders * 2 > voters.size();
}
// An order that is acknowledged is synced on a majority of the voters' disks.
auto Check::acknowledgedOnMajority(std::uint32_t order) -> void {
    if (heldByMajority(order, seen().appliedVoters) || heldByMajority(order, seen().newestVoters)) return;
    fail(fmt::format("acknowledged is synced: {} acknowledges an order that no majority holds", seen().disk));
}
auto Check::acknowledgements() -> void {
    auto newlyApplied = seen().ordersApplied & ~history().acknowledged;
    for (auto order = std::uint32_t(1); order <= newlyApplied && order != 0; order <<= 1)
        if (newlyApplied & order) acknowledgedOnMajority(order);
    if (newlyApplied != 0) edit().acknowledged |= newlyApplied;
}

// What was acknowledged is on some disk for as long as no more is lost than the budget allows.
auto Check::nothingLost() -> void {
    auto held = std::uint32_t(0);
    for (auto id : step.cluster) held |= step.graph.node(id).seen.ordersDurable;
    if (history().acknowledged & ~held) fail("acknowledged is kept: an acknowledged order is on no disk");
}

// At most one change of the voters is under way, and none before an entry of the own term is
// committed.
auto Check::membership() -> void {
    if (!isLeader(seen())) return;
    auto& log = seen().written;
    auto open = 0;
    auto openOwnTerm = false;
    auto ownTermCommitted = false;
    for (auto index = log.snapshotIndex + 1; index <= log.last(); index++) {
        auto entry = log.at(index);
        if (index <= seen().commit && entry->term == seen().term) ownTermCommitted = true;
        if (index <= seen().commit || !entry->membership) continue;
        open++;
        openOwnTerm = openOwnTerm || entry->term == seen().term;
    }
    if (open > 1) fail(fmt::format("one membership change: {} has {} under way", seen().disk, open));
    if (openOwnTerm && !ownTermCommitted)
        fail(fmt::format("one membership change: {} began one before an entry of its term {} was committed",
            seen().disk, seen().term));
}

// A confirmed read shows every order that had been acknowledged when it was asked.
auto Check::reads() -> void {
    for (auto& answer : node().answers) {
        auto open = history().reads.find(answer.read);
        if (open == history().reads.end()) continue;
        if (answer.confirmed && (open->second & ~answer.ordersVisible))
            fail(
                fmt::format("fresh reads: {} confirms a read that lacks an acknowledged order", seen().disk));
        edit().reads.erase(answer.read);
    }
}

// Two logs that hold an entry of the same index and term are the same up to there.
auto Check::logMatching(const Observation& other) -> void {
    auto& ours = seen().durable;
    auto& theirs = other.durable;
    auto same = false;
    auto newest = std::min(ours.last(), theirs.last());
    for (auto index = newest; index > std::max(ours.snapshotIndex, theirs.snapshotIndex); index--) {
        auto ourEntry = ours.at(index), theirEntry = theirs.at(index);
        same = same || ourEntry->term == theirEntry->term;
        if (same && *ourEntry != *theirEntry)
            fail(fmt::format("log matching: {} and {} differ at {}", seen().disk, other.disk, index));
    }
}

}  // namespace

Monitor::Monitor() { intern({}); }

auto Monitor::intern(History history) -> HistoryId {
    auto [place, isNew] = ids_.emplace(std::move(history), HistoryId(histories_.size()));
    if (isNew) histories_.push_back(&place->first);
    return place->second;
}

auto Monitor::observe(HistoryId id, const StepView& step, std::string& violation) -> HistoryId {
    auto check = Check{step, history(id), std::nullopt, ""};
    check.votes();
    check.leaders();
    check.committed();
    check.commitIndex();
    check.committedKept();
    check.applied();
    check.acknowledgements();
    check.nothingLost();
    check.membership();
    check.reads();
    if (!step.sameLife || check.seen().durable != check.before().durable)
        for (auto other : step.cluster)
            if (other != step.after) check.logMatching(step.graph.node(other).seen);
    violation = check.violation;
    return check.changed ? intern(std::move(*check.changed)) : id;
}

auto Monitor::readBegins(HistoryId id, std::uint32_t read) -> HistoryId {
    auto history = this->history(id);
    history.reads[read] = history.acknowledged;
    return intern(std::move(history));
}

auto Monitor::diskLost(HistoryId id, const Observation& lost) -> HistoryId {
    auto history = this->history(id);
    history.wiped[lost.disk] = lost.ordersDurable;
    return intern(std::move(history));
}

}  // namespace duneturn::modelcheck
