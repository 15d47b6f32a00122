// Who votes: the configuration in force, its changes, the beginning of a cluster, and leaving one.
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
#include "state/command_codec.hpp"

namespace duneturn {

// The configuration in force is the newest in the log, committed or not.
auto Voter::refreshConfiguration() -> void {
    auto entry = log_.newestConfigurationEntry();
    configuration_ = entry ? VoterConfiguration::fromEntry(*entry) : VoterConfiguration(snapshot_.voters);
    configurationIndex_ = entry ? entry->index : snapshot_.index;
}

auto Voter::applyEntry(const wire::Entry& entry) -> void {
    if (isCommandEntry(entry)) {
        auto command = decodeCommand(entry.body);
        auto outcome = command ? replicatedState_.apply(*command) : replicatedState_.apply(entry.body);
        counters_.add("orders_applied_total");
        port_.onStateApplied(replicatedState_, {&entry, command ? command->key : "", outcome});
    } else if (entry.kind == ENTRY_JOINT) {
        appliedJoint_ = true;
    } else if (entry.kind == ENTRY_VOTERS) {
        appliedJoint_ = false;
        replicatedState_.applyVoters(VoterConfiguration::fromEntry(entry).voters());
        port_.onStateApplied(replicatedState_, {&entry, "", {}});
    }
}

auto Voter::bootstrap(const ReplicatedState& state, std::int64_t term, Microseconds now) -> void {
    // A disk of an earlier cluster leaves it with the same write.
    if (leads()) becomeFollower(now);
    if (!blank()) roles_->process(Erased{}, counters_);
    if (!roles_->process(Initialized{}, counters_)) return;
    writes_.dropDeferred();
    leaderDisk_.clear();
    epoch_ = state.epoch;
    term_ = term;
    votedFor_.clear();
    commitIndex_ = lastApplied_ = 1;
    snapshot_ = {1, term, std::make_shared<const std::string>(state.text()), state.voters()};
    log_.reset(snapshot_.index, snapshot_.term);
    snapshotSenders_.clear();
    replicatedState_ = latestState_ = state;
    appliedJoint_ = false;
    lastSynced_ = 1;
    auto change = DiskWrite();
    change.reset = change.hasSnapshot = true;
    change.document = *snapshot_.document;
    installWrite_ = write(std::move(change), now);
    refreshConfiguration();
    electionDeadline_ = now + ELECTION_TIMEOUT;
    logEvent("cluster_begun", "epoch={} disk={} version={}", epoch_, disk_, state.version);
    counters_.add("reigns_begun_total");
}

auto Voter::leaveCluster(bool force, Microseconds now) -> bool {
    if (leads() && force) becomeFollower(now);
    if (blank() || leads() || (!force && !votedFor_.empty())) return false;
    if (!roles_->process(Erased{}, counters_)) return false;
    epoch_ = term_ = commitIndex_ = lastApplied_ = lastSynced_ = 0;
    snapshot_ = {};
    log_.reset(0, 0);
    snapshotSenders_.clear();
    assembly_ = {};
    leaderDisk_.clear();
    configuration_ = {};
    configurationIndex_ = 0;
    appliedJoint_ = false;
    writes_.dropDeferred();
    replicatedState_ = latestState_ = ReplicatedState();
    auto change = DiskWrite();
    change.reset = true;
    write(std::move(change), now);
    return true;
}

// A version rises by at most one an entry, so one above what this log could reach is
// behind its end. A disk that this log counts as a voter and a later state does not was removed
// since, and no leader has sent it what came after: none can be counting on it. It takes a new
// identity, so that what it once promised is never mixed up with what it promises next.
auto Voter::retire(std::int64_t version, const std::string& newDiskId, Microseconds now) -> bool {
    if (blank() || leads() || !isVoter(disk_)
        || version <= replicatedState_.version + (last() - lastApplied_))
        return false;
    logEvent("disk_retired", "disk={} new_disk={}", disk_, newDiskId);
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
auto Voter::advanceConfigurationChange(Microseconds now) -> void {
    auto mayChange = broken.changeBeforeNoop ? leads() : ready();
    if (!mayChange || isDiskFaulty() || configurationIndex_ > commitIndex_) return;
    if (joint()) {
        auto final = VoterConfiguration(configuration_.voters());
        logEvent("voters_change_ends", "voters={}", final.entryBody());
        append(final.entryKind(), final.entryBody(), now);
        return;
    }
    if (!removeReplacedDisk(now)) promoteLearner(now);
}

// Two disks of one node: the former procedure added the newer one behind the one it replaces.
auto Voter::removeReplacedDisk(Microseconds now) -> bool {
    auto voters = configuration_.voters();
    for (auto i = std::size_t(0); i < voters.size(); i++)
        for (auto j = i + 1; j < voters.size(); j++) {
            if (voters[i].node != voters[j].node) continue;
            voters.erase(voters.begin() + std::ptrdiff_t(i));
            return beginConfigurationChange(voters, now);
        }
    return false;
}

// A disk that may take the place of a voter's is sent the log without a vote, and votes once it has caught
// up.
auto Voter::promoteLearner(Microseconds now) -> void {
    for (auto& [node, disk] : spareDisks_) {
        if (isVoter(disk)) continue;
        auto voters = configuration_.voters();
        auto isOfNode = [name = node](auto& voter) { return voter.node == name; };
        auto replaced = std::find_if(voters.begin(), voters.end(), isOfNode);
        if (replaced == voters.end() && voters.size() >= MIN_VOTERS) continue;
        auto& progress = progress_[disk];
        if (progress.catchUp().isPaused(now)) continue;
        progress.start(1);
        if (now - progress.lastSent() >= HEARTBEAT_INTERVAL) replicateTo(disk, now);
        if (!hasCaughtUp(progress, now)) continue;
        if (replaced == voters.end()) voters.push_back({node, disk});
        else replaced->disk = disk;
        if (beginConfigurationChange(voters, now)) return;
    }
}

// Whether a learner keeps up, so that it may vote.
auto Voter::hasCaughtUp(ReplicaProgress& progress, Microseconds now) -> bool {
    auto verdict = progress.catchUp().update(progress.match(), last(), now);
    if (verdict == CatchUp::Verdict::TooSlow) counters_.add("learner_too_slow_total");
    return verdict == CatchUp::Verdict::CaughtUp;
}

auto Voter::allReadCompact() const -> bool {
    auto disks = configuration_.disks();
    return std::all_of(disks.begin(), disks.end(), [&](const std::string& disk) {
        auto progress = progress_.find(disk);
        if (progress == progress_.end() || !progress->second.lastContact()) return true;
        return progress->second.knowsCompact();
    });
}

// False if a voter or newcomer that answers runs a program without joint configurations.
auto Voter::beginConfigurationChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool {
    auto readsNoJoint = [&](const std::string& disk) {
        return disk != disk_ && progress_[disk].lastContact() && !progress_[disk].knowsJoint();
    };
    auto disks = configuration_.disks();
    for (auto& voter : voters) disks.push_back(voter.disk);
    if (std::any_of(disks.begin(), disks.end(), readsNoJoint)) {
        counters_.add("change_waits_for_upgrade_total");
        return false;
    }
    logEvent(
        "voters_change_begins", "from={} to={}", votersText(configuration_.voters()), votersText(voters));
    auto joint = VoterConfiguration::joint(configuration_.voters(), std::move(voters));
    append(joint.entryKind(), joint.entryBody(), now);
    return true;
}

}  // namespace duneturn
