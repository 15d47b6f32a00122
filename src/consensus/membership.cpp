// Who votes: the voters that the log names, their replacement, founding and retiring.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/role.hpp"
#include "consensus/voter.hpp"

namespace duneturn {

// A round that has not ended by then shows that the learner is too slow.
constexpr Microseconds CATCH_UP_ROUND_LIMIT = 10 * SECOND;

static auto votersParse(const std::string& body) -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    auto d = rapidjson::Document();
    if (!parseJson(body, d) || !d.IsArray()) return voters;
    for (auto& v : d.GetArray()) voters.push_back({jsonString(v, "seat"), jsonString(v, "disk")});
    return voters;
}

static auto votersText(const std::vector<VoterIdentity>& voters) -> std::string {
    auto list = std::string();
    for (auto& v : voters)
        list +=
            (list.empty() ? "" : ",") + bodyOf({{"seat", jsonQuote(v.node)}, {"disk", jsonQuote(v.disk)}});
    return "[" + list + "]";
}

// A joint configuration's entry: the voters before and after the change.
struct JointVoters {
    std::vector<VoterIdentity> before, after;
};

static auto jointText(const JointVoters& joint) -> std::string {
    return bodyOf({{"before", votersText(joint.before)}, {"after", votersText(joint.after)}});
}

static auto jointParse(const std::string& body) -> JointVoters {
    auto d = rapidjson::Document();
    if (!parseJson(body, d) || !d.IsObject() || !d.HasMember("before") || !d.HasMember("after")) return {};
    return {votersParse(jsonText(d["before"])), votersParse(jsonText(d["after"]))};
}

auto entryKnown(const wire::Entry& e) -> bool {
    if (e.kind == ENTRY_NOOP || e.kind == ENTRY_ORDER) return true;
    if (e.kind == ENTRY_VOTERS) return !votersParse(e.body).empty();
    if (e.kind != ENTRY_JOINT) return false;
    auto joint = jointParse(e.body);
    return !joint.before.empty() && !joint.after.empty();
}

// The configuration in force is the newest in the log, committed or not.
auto Voter::refreshVoters() -> void {
    voters_ = snapshotVoters_;
    outgoing_.clear();
    configurationIndex_ = snapshotIndex_;
    auto newest = std::find_if(
        log_.rbegin(), log_.rend(), [](auto& e) { return e.kind == ENTRY_VOTERS || e.kind == ENTRY_JOINT; });
    if (newest == log_.rend()) return;
    configurationIndex_ = newest->index;
    if (newest->kind == ENTRY_VOTERS) {
        voters_ = votersParse(newest->body);
        return;
    }
    auto joint = jointParse(newest->body);
    voters_ = joint.after;
    outgoing_ = joint.before;
}

auto Voter::members() const -> std::vector<std::string> {
    auto disks = std::vector<std::string>();
    for (auto set : {&voters_, &outgoing_})
        for (auto& v : *set)
            if (std::find(disks.begin(), disks.end(), v.disk) == disks.end()) disks.push_back(v.disk);
    return disks;
}

auto Voter::isVoter(const std::string& disk) const -> bool {
    auto is = [&](auto& v) { return v.disk == disk; };
    return std::any_of(voters_.begin(), voters_.end(), is)
        || std::any_of(outgoing_.begin(), outgoing_.end(), is);
}

// Of a joint configuration both majorities are needed, for votes, commit, reads and check-quorum.
auto Voter::majority(const std::function<bool(const std::string&)>& has) const -> bool {
    auto count = [&](const std::vector<VoterIdentity>& voters) {
        return std::size_t(std::count_if(voters.begin(), voters.end(), [&](auto& v) { return has(v.disk); }));
    };
    if (broken.noQuorum) return count(voters_) > 0;
    if (count(voters_) * 2 <= voters_.size()) return false;
    return !joint() || broken.newMajorityOnly || count(outgoing_) * 2 > outgoing_.size();
}

auto Voter::applyEntry(const wire::Entry& e) -> void {
    if (e.kind == ENTRY_ORDER) {
        auto d = rapidjson::Document();
        auto outcome = replicatedState_.apply(e.body);
        auto key = parseJson(e.body, d) ? jsonString(d, "key") : std::string();
        counters_.add("orders_applied_total");
        port_.voterApplied(replicatedState_, key, outcome);
    } else if (e.kind == ENTRY_JOINT) {
        appliedJoint_ = true;
    } else if (e.kind == ENTRY_VOTERS) {
        appliedJoint_ = false;
        replicatedState_.applyVoters(votersParse(e.body));
        port_.voterApplied(replicatedState_, "", {});
    }
}

auto Voter::bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void {
    // A disk of an earlier cluster leaves it with the same write.
    if (leads()) follow(now);
    if (!blank()) role_->process(Erased{}, counters_);
    if (!role_->process(Initialized{}, counters_)) return;
    deferred_.clear();
    leader_.clear();
    epoch_ = state.epoch;
    term_ = term;
    vote_.clear();
    snapshotIndex_ = commit_ = applied_ = 1;
    snapshotTerm_ = term;
    setLogBase(snapshotIndex_, snapshotTerm_);
    snapshotDocument_ = std::make_shared<const std::string>(state.text());
    transfers_.clear();
    replicatedState_ = latestState_ = state;
    snapshotVoters_ = state.voters();
    appliedJoint_ = false;
    synced_ = 1;
    auto w = DiskWrite();
    w.reset = w.hasSnapshot = true;
    w.document = *snapshotDocument_;
    installSeq_ = write(w, now);
    refreshVoters();
    electionDue_ = now + ELECTION_TIMEOUT;
    logf("core: reign {} begins on disk {} at generation {}", epoch_, disk_, state.version);
    counters_.add("reigns_begun_total");
}

auto Voter::leaveCluster(bool force, Microseconds now) -> bool {
    if (leads() && force) follow(now);
    if (blank() || leads() || (!force && !vote_.empty())) return false;
    if (!role_->process(Erased{}, counters_)) return false;
    epoch_ = term_ = commit_ = applied_ = snapshotIndex_ = snapshotTerm_ = synced_ = 0;
    setLogBase(0, 0);
    snapshotDocument_ = std::make_shared<const std::string>();
    transfers_.clear();
    assembly_ = {};
    leader_.clear();
    voters_.clear();
    outgoing_.clear();
    snapshotVoters_.clear();
    configurationIndex_ = 0;
    appliedJoint_ = false;
    deferred_.clear();
    replicatedState_ = latestState_ = ReplicatedState();
    auto w = DiskWrite();
    w.reset = true;
    write(w, now);
    return true;
}

// A generation rises by at most one an entry, so one above what this log could reach is
// behind its end. A disk that this log counts as a voter and a later state does not was removed
// since, and no leader has told it what came after: none can be counting on it. It takes a new
// identity, so that what it once promised is never mixed up with what it promises next.
auto Voter::retire(std::int64_t version, const std::string& newDiskId, Microseconds now) -> bool {
    if (blank() || leads() || !isVoter(disk_) || version <= replicatedState_.version + (last() - applied_))
        return false;
    logf("core: disk {} was replaced; it is blank again, as {}", disk_, newDiskId);
    disk_ = newDiskId;
    counters_.add("retired_total");
    return leaveCluster(true, now);
}

auto Voter::lastContact(const std::string& disk) const -> Microseconds {
    auto i = peers_.find(disk);
    return i == peers_.end() ? 0 : i->second.heard;
}

// One change at a time, and none before an entry of this term is committed (the erratum of
// single-server changes; it holds for joint ones too). A change that an earlier leader began
// is ended first.
auto Voter::changeVoters(Microseconds now) -> void {
    auto mayChange = broken.changeBeforeNoop ? leads() : ready();
    if (!mayChange || diskBad_ || configurationIndex_ > commit_) return;
    if (joint()) {
        logf("core: the change of voters ends: {}", votersText(voters_));
        append(ENTRY_VOTERS, votersText(voters_), now);
        return;
    }
    if (!removeReplaced(now)) addLearner(now);
}

// Two disks of one seat: the former procedure added the newer one behind the one it replaces.
auto Voter::removeReplaced(Microseconds now) -> bool {
    for (auto i = std::size_t(0); i < voters_.size(); i++)
        for (auto j = i + 1; j < voters_.size(); j++) {
            if (voters_[i].node != voters_[j].node) continue;
            auto voters = voters_;
            voters.erase(voters.begin() + std::ptrdiff_t(i));
            return beginChange(voters, now);
        }
    return false;
}

// A disk that may take a seat is sent the log without a vote, and votes once it has caught up.
auto Voter::addLearner(Microseconds now) -> void {
    for (auto& [seat, disk] : spares_) {
        if (isVoter(disk)) continue;
        auto voters = voters_;
        auto held = std::find_if(voters.begin(), voters.end(), [s = seat](auto& v) { return v.node == s; });
        if (held == voters.end() && voters.size() >= MIN_VOTERS) continue;
        auto& peer = peers_[disk];
        if (now < peer.retryAt) continue;
        if (peer.next == 0) peer.next = 1;
        if (now - peer.sent >= HEARTBEAT_INTERVAL) sendAppend(disk, now);
        if (!caughtUp(peer, now)) continue;
        if (held == voters.end()) voters.push_back({seat, disk});
        else held->disk = disk;
        if (beginChange(voters, now)) return;
    }
}

// Raft, 4.2.1: replication to a learner goes in rounds, each of what the log held at its start.
// One that ends within an election timeout shows that the learner keeps up with the changes.
auto Voter::caughtUp(Peer& peer, Microseconds now) -> bool {
    if (peer.match == 0 || peer.roundTarget == 0) {
        if (peer.match > 0) {
            peer.roundTarget = last();
            peer.roundStart = now;
        }
        return false;
    }
    auto duration = now - peer.roundStart;
    auto ended = peer.match >= peer.roundTarget;
    if (ended && duration <= ELECTION_TIMEOUT) return true;
    if (!ended && duration <= CATCH_UP_ROUND_LIMIT) return false;
    peer.roundTarget = last();
    peer.roundStart = now;
    if (ended && ++peer.rounds < MAX_CATCH_UP_ROUNDS) return false;
    counters_.add("learner_too_slow_total");
    peer.roundTarget = peer.rounds = 0;
    peer.retryAt = now + LEARNER_RETRY;
    return false;
}

// False if a member or newcomer that is heard runs a program without joint configurations.
auto Voter::beginChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool {
    auto unfit = [&](const std::string& disk) {
        return disk != disk_ && peers_[disk].heard && !peers_[disk].knowsJoint;
    };
    auto disks = members();
    for (auto& v : voters) disks.push_back(v.disk);
    if (std::any_of(disks.begin(), disks.end(), unfit)) {
        counters_.add("change_waits_for_upgrade_total");
        return false;
    }
    logf("core: the voters change: from {} to {}", votersText(voters_), votersText(voters));
    append(ENTRY_JOINT, jointText({voters_, std::move(voters)}), now);
    return true;
}

}  // namespace duneturn
