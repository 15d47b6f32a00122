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

// The configuration in force is the newest in the log, committed or not.
auto Voter::refreshConfiguration() -> void {
    auto entry = log_.newestConfigurationEntry();
    configuration_ = entry ? Configuration::ofEntry(*entry) : Configuration(snapshot_.voters);
    configurationIndex_ = entry ? entry->index : snapshot_.index;
}

auto Voter::applyEntry(const wire::Entry& e) -> void {
    if (e.kind == ENTRY_ORDER) {
        auto d = rapidjson::Document();
        auto outcome = replicatedState_.apply(e.body);
        auto key = jsParse(e.body, d) ? jsStr(d, "key") : std::string();
        counters_.add("orders_applied_total");
        port_.voterApplied(replicatedState_, key, outcome);
    } else if (e.kind == ENTRY_JOINT) {
        appliedJoint_ = true;
    } else if (e.kind == ENTRY_VOTERS) {
        appliedJoint_ = false;
        replicatedState_.applyVoters(Configuration::ofEntry(e).voters());
        port_.voterApplied(replicatedState_, "", {});
    }
}

auto Voter::bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void {
    // A disk of an earlier cluster leaves it with the same write.
    if (leads()) follow(now);
    if (!blank()) role_->process(Erased{}, counters_);
    if (!role_->process(Initialized{}, counters_)) return;
    writes_.dropDeferred();
    leader_.clear();
    epoch_ = state.epoch;
    term_ = term;
    vote_.clear();
    commit_ = applied_ = 1;
    snapshot_ = {1, term, std::make_shared<const std::string>(state.text()), state.voters()};
    log_.reset(snapshot_.index, snapshot_.term);
    snapshotSenders_.clear();
    replicatedState_ = latestState_ = state;
    appliedJoint_ = false;
    synced_ = 1;
    auto w = DiskWrite();
    w.reset = w.hasSnapshot = true;
    w.document = *snapshot_.document;
    installSeq_ = write(w, now);
    refreshConfiguration();
    electionDue_ = now + ELECTION_TIMEOUT;
    logf("core: reign {} begins on disk {} at generation {}", epoch_, disk_, state.version);
    counters_.add("reigns_begun_total");
}

auto Voter::leaveCluster(bool force, Microseconds now) -> bool {
    if (leads() && force) follow(now);
    if (blank() || leads() || (!force && !vote_.empty())) return false;
    if (!role_->process(Erased{}, counters_)) return false;
    epoch_ = term_ = commit_ = applied_ = synced_ = 0;
    snapshot_ = {};
    log_.reset(0, 0);
    snapshotSenders_.clear();
    assembly_ = {};
    leader_.clear();
    configuration_ = {};
    configurationIndex_ = 0;
    appliedJoint_ = false;
    writes_.dropDeferred();
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
    auto progress = progress_.find(disk);
    return progress == progress_.end() ? 0 : progress->second.lastContact();
}

// One change at a time, and none before an entry of this term is committed (the erratum of
// single-server changes; it holds for joint ones too). A change that an earlier leader began
// is ended first.
auto Voter::changeVoters(Microseconds now) -> void {
    auto mayChange = broken.changeBeforeNoop ? leads() : ready();
    if (!mayChange || diskBad() || configurationIndex_ > commit_) return;
    if (joint()) {
        auto final = Configuration(configuration_.voters());
        logf("core: the change of voters ends: {}", final.entryBody());
        append(final.entryKind(), final.entryBody(), now);
        return;
    }
    if (!removeReplaced(now)) addLearner(now);
}

// Two disks of one seat: the former procedure added the newer one behind the one it replaces.
auto Voter::removeReplaced(Microseconds now) -> bool {
    auto voters = configuration_.voters();
    for (auto i = std::size_t(0); i < voters.size(); i++)
        for (auto j = i + 1; j < voters.size(); j++) {
            if (voters[i].node != voters[j].node) continue;
            voters.erase(voters.begin() + std::ptrdiff_t(i));
            return beginChange(voters, now);
        }
    return false;
}

// A disk that may take a seat is sent the log without a vote, and votes once it has caught up.
auto Voter::addLearner(Microseconds now) -> void {
    for (auto& [seat, disk] : spares_) {
        if (isVoter(disk)) continue;
        auto voters = configuration_.voters();
        auto held = std::find_if(voters.begin(), voters.end(), [s = seat](auto& v) { return v.node == s; });
        if (held == voters.end() && voters.size() >= MIN_VOTERS) continue;
        auto& progress = progress_[disk];
        if (progress.catchUp().isPaused(now)) continue;
        progress.start(1);
        if (now - progress.lastSent() >= HEARTBEAT_INTERVAL) sendAppend(disk, now);
        if (!caughtUp(progress, now)) continue;
        if (held == voters.end()) voters.push_back({seat, disk});
        else held->disk = disk;
        if (beginChange(voters, now)) return;
    }
}

// Whether a learner keeps up, so that it may vote.
auto Voter::caughtUp(ReplicaProgress& progress, Microseconds now) -> bool {
    auto verdict = progress.catchUp().update(progress.match(), last(), now);
    if (verdict == CatchUp::Verdict::TooSlow) counters_.add("learner_too_slow_total");
    return verdict == CatchUp::Verdict::CaughtUp;
}

// False if a member or newcomer that is heard runs a program without joint configurations.
auto Voter::beginChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool {
    auto unfit = [&](const std::string& disk) {
        return disk != disk_ && progress_[disk].lastContact() && !progress_[disk].knowsJoint();
    };
    auto disks = configuration_.disks();
    for (auto& v : voters) disks.push_back(v.disk);
    if (std::any_of(disks.begin(), disks.end(), unfit)) {
        counters_.add("change_waits_for_upgrade_total");
        return false;
    }
    logf("core: the voters change: from {} to {}", votersText(configuration_.voters()), votersText(voters));
    auto joint = Configuration::joint(configuration_.voters(), std::move(voters));
    append(joint.entryKind(), joint.entryBody(), now);
    return true;
}

}  // namespace duneturn
