// Cluster membership: the configuration in force and its changes, learners, bootstrapping and leaving a
// cluster. Also applies a committed entry to the state machine.
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

// Puts the newest configuration in the log into force, committed or not, or that of the snapshot if the log
// has none (4.1).
auto Voter::refreshConfiguration() -> void {
    auto entry = log_.newestConfigurationEntry();
    configuration_ = entry ? VoterConfiguration::fromEntry(*entry) : VoterConfiguration(snapshot_.voters);
    configurationIndex_ = entry ? entry->index : snapshot_.index;
}

auto Voter::applyEntry(const wire::Entry& entry) -> void {
    if (isCommandEntry(entry)) {
        // If the body can't be decoded, the state machine gives the outcome, which is a rejection.
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
    // A disk that belongs to an earlier cluster leaves it with the write that bootstraps the new one.
    if (leads()) becomeFollower(now);
    if (!blank()) roles_->process(Erased{}, counters_);
    if (!roles_->process(Initialized{}, counters_)) return;
    writes_.dropDeferred();
    leaderDisk_.clear();
    epoch_ = state.epoch;
    term_ = term;
    votedFor_.clear();
    // The new log begins after a snapshot of the state with index 1.
    commitIndex_ = lastApplied_ = 1;
    snapshot_ = {1, term, std::make_shared<const std::string>(state.text()), state.voters()};
    log_.reset(snapshot_.index, snapshot_.term);
    outgoingSnapshots_.clear();
    replicatedState_ = latestState_ = state;
    appliedJoint_ = false;
    lastSynced_ = 1;
    auto diskWrite = DiskWrite();
    diskWrite.reset = diskWrite.hasSnapshot = true;
    diskWrite.document = *snapshot_.document;
    installWrite_ = write(std::move(diskWrite), now);
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
    outgoingSnapshots_.clear();
    incomingSnapshot_ = {};
    leaderDisk_.clear();
    configuration_ = {};
    configurationIndex_ = 0;
    appliedJoint_ = false;
    writes_.dropDeferred();
    replicatedState_ = latestState_ = ReplicatedState();
    auto diskWrite = DiskWrite();
    diskWrite.reset = true;
    write(std::move(diskWrite), now);
    return true;
}

// An entry increases the state's version by at most one, so a version above the applied version plus the
// number of unapplied entries lies beyond the end of this log. If the disk is a voter according to this log
// but not according to that later state, it was removed after the end of this log. No entry after that end
// was replicated to it, so it belongs to no majority that committed one. It takes a new identity, so that
// votes and acknowledgements given under the old one are never confused with new ones.
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

// Completes the configuration change that is under way, or begins one if it is due. Allows one change at a
// time, and none before an entry of the current term is committed. The latter is the published correction of
// Raft's single-server changes (Ongaro, raft-dev, 2015) and applies to joint changes too. A change that an
// earlier leader began is completed first.
auto Voter::advanceConfigurationChange(Microseconds now) -> void {
    auto mayChange = broken.changeBeforeNoop ? leads() : ready();
    if (!mayChange || isDiskFaulty() || configurationIndex_ > commitIndex_) return;
    if (joint()) {
        auto incoming = VoterConfiguration(configuration_.voters());
        logEvent("voters_change_ends", "voters={}", incoming.entryBody());
        append(incoming.entryKind(), incoming.entryBody(), now);
        return;
    }
    if (!removeReplacedDisk(now)) promoteLearner(now);
}

// Removes a voter if two voters are on the same node. Earlier versions of this program replaced a disk by
// adding the new one after the old one, then removing the old one; this completes such a change.
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

// Replicates the log to spare disks that may become voters (learners), and begins the configuration change
// that gives one a vote once it has caught up.
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
        if (!updateCatchUp(progress, now)) continue;
        if (replaced == voters.end()) voters.push_back({node, disk});
        else replaced->disk = disk;
        if (beginConfigurationChange(voters, now)) return;
    }
}

// Records the learner's progress, and returns whether it has caught up with the log.
auto Voter::updateCatchUp(ReplicaProgress& progress, Microseconds now) -> bool {
    auto verdict = progress.catchUp().update(progress.match(), last(), now);
    if (verdict == CatchUp::Verdict::TooSlow) counters_.add("learner_too_slow_total");
    return verdict == CatchUp::Verdict::CaughtUp;
}

auto Voter::allVotersReadCompact() const -> bool {
    auto disks = configuration_.disks();
    return std::all_of(disks.begin(), disks.end(), [&](const std::string& disk) {
        auto progress = progress_.find(disk);
        if (progress == progress_.end() || !progress->second.lastContact()) return true;
        return progress->second.supportsCompact();
    });
}

// Appends the joint configuration. Returns false, and appends nothing, if a current or new voter that has
// answered runs a program that does not support joint configurations.
auto Voter::beginConfigurationChange(std::vector<VoterIdentity> voters, Microseconds now) -> bool {
    auto lacksJointSupport = [&](const std::string& disk) {
        return disk != disk_ && progress_[disk].lastContact() && !progress_[disk].supportsJoint();
    };
    auto disks = configuration_.disks();
    for (auto& voter : voters) disks.push_back(voter.disk);
    if (std::any_of(disks.begin(), disks.end(), lacksJointSupport)) {
        counters_.add("change_waits_for_upgrade_total");
        return false;
    }
    logEvent(
        "voters_change_begins", "from={} to={}", encodeVoters(configuration_.voters()), encodeVoters(voters));
    auto jointConfiguration = VoterConfiguration::joint(configuration_.voters(), std::move(voters));
    append(jointConfiguration.entryKind(), jointConfiguration.entryBody(), now);
    return true;
}

}  // namespace duneturn
