#pragma once
// A simulated cluster of voters in virtual time. Links have a bandwidth, keep the order of messages and lose
// only what a test specifies. Disks complete each write within a step unless a test stops them.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "consensus/voter.hpp"
#include "test.hpp"

namespace duneturn {

/// A cluster of voters, driven step by step by a test.
struct ConsensusFixture {
    static constexpr Microseconds STEP = 5 * MILLISECOND;

    /// One voter with its disk.
    struct Member : VoterPort {
        ConsensusFixture& cluster;
        std::string disk;
        Counters counters;
        DiskState held;  // what is durable on the disk
        std::deque<DiskWrite> pending;
        DiskWriteFence fence;
        std::unique_ptr<Voter> voter;
        bool diskHangs = false, failNextWrite = false;
        std::vector<std::pair<std::string, wire::Envelope>> sent;  // collected while `recordSent` is set
        std::map<std::int64_t, bool> reads;

        Member(ConsensusFixture& owner, std::string identity) : cluster(owner), disk(std::move(identity)) {}
        auto sendToReplica(const std::string& toDisk, wire::Envelope& message) -> void override {
            if (cluster.recordSent) sent.emplace_back(toDisk, message);
            cluster.post(disk, toDisk, message);
        }
        auto writeToDisk(const DiskWrite& write) -> void override { pending.push_back(write); }
        auto onStateApplied(const ReplicatedState&, const AppliedEntry&) -> void override {}
        auto onReadDone(std::int64_t id, bool confirmed) -> void override { reads[id] = confirmed; }
        /// Starts the voter from the durable state, as after a restart of its process.
        auto start() -> void {
            pending.clear();
            fence = {};
            voter = std::make_unique<Voter>(*this, counters, cluster.random.next());
            voter->broken = cluster.broken;
            voter->start(held, disk, cluster.now);
        }
        /// Completes the pending writes.
        auto sync() -> void {
            while (!diskHangs && voter && !pending.empty()) {
                auto write = pending.front();
                pending.pop_front();
                auto succeeded = fence.takes(write) && !failNextWrite;
                failNextWrite = false;
                if (succeeded) applyDiskWrite(held, write);
                else fence.fail(write);
                voter->onDiskWriteDone(write.seq, succeeded, cluster.now);
            }
        }
    };

    RandomSource random{1};
    Microseconds now = SECOND;
    Voter::Broken broken;
    bool recordSent = false;
    std::map<std::string, std::unique_ptr<Member>> members;
    std::vector<std::pair<std::string, std::string>> spares;
    std::set<std::pair<std::string, std::string>> partitioned;  // links that lose everything, (from, to)
    std::map<std::string, std::int64_t> bitsPerSecond;          // by receiver; absent: 10 Gbit/s
    // Returns whether to drop a message to a disk; may also change the message.
    std::function<bool(const std::string& to, wire::Envelope& message)> drop;
    std::multimap<Microseconds, std::pair<std::string, wire::Envelope>> network;  // by arrival
    std::map<std::pair<std::string, std::string>, Microseconds> linkFreeAt;
    std::int64_t bytesSent = 0;

    static auto sizeOf(const wire::Envelope& message) -> std::int64_t {
        auto bytes = std::int64_t(100);
        for (auto& entry : message.appendEntries.entries) bytes += std::int64_t(entry.body.size()) + 20;
        return bytes
            + std::int64_t(message.installSnapshot.document.size() + message.snapshotChunk.data.size());
    }
    auto post(const std::string& from, const std::string& to, wire::Envelope message) -> void {
        if (partitioned.count({from, to}) || !members.count(to)) return;
        if (drop && drop(to, message)) return;
        auto& freeAt = linkFreeAt[{from, to}];
        auto rate = bitsPerSecond.count(to) ? bitsPerSecond[to] : std::int64_t(10'000'000'000);
        freeAt = std::max(freeAt, now) + sizeOf(message) * 8 * SECOND / rate;
        bytesSent += sizeOf(message);
        network.emplace(freeAt + 2 * MILLISECOND, std::pair(to, std::move(message)));
    }
    /// Starts a voter with an uninitialized disk.
    auto add(const std::string& disk) -> Member& {
        auto& member = members[disk] = std::make_unique<Member>(*this, disk);
        member->start();
        return *member;
    }
    auto at(const std::string& disk) -> Voter& { return *members.at(disk)->voter; }
    auto counter(const std::string& disk, std::string_view name) -> std::int64_t {
        return members.at(disk)->counters.get(name);
    }
    /// Stops a voter. Its disk stays and can be started again.
    auto stop(const std::string& disk) -> void { members.at(disk)->voter.reset(); }
    /// Removes a voter together with its disk.
    auto lose(const std::string& disk) -> void { members.erase(disk); }
    /// Partitions a disk from all others, or ends the partition.
    auto isolate(const std::string& disk, bool isolated) -> void {
        for (auto& [other, member] : members)
            for (const auto& link : {std::pair(disk, other), std::pair(other, disk)})
                if (isolated) partitioned.insert(link);
                else partitioned.erase(link);
    }
    /// Bootstraps a cluster of these disks, each on a node "s-<disk>", and waits until it has a leader.
    /// `name` is stored in the configuration and can be used to enlarge the snapshots.
    auto bootstrap(const std::vector<std::string>& disks, const std::string& name = "") -> void {
        auto initialVoters = std::vector<VoterIdentity>();
        for (auto& disk : disks) {
            add(disk);
            initialVoters.push_back({"s-" + disk, disk});
        }
        auto state = ReplicatedState();
        state.bootstrap({"n"}, initialVoters);
        if (!name.empty()) {
            auto document = rapidjson::Document();
            CHECK(parseJson(state.text(), document));
            auto& allocator = document.GetAllocator();
            document["config"].AddMember("name", rapidjson::Value(name, allocator), allocator);
            CHECK(state.load(jsonText(document)));
        }
        at(disks[0]).bootstrap(state, 1, now);
        run(10 * SECOND);
    }
    auto step() -> void {
        now += STEP;
        while (!network.empty() && network.begin()->first <= now) {
            auto [to, message] = network.begin()->second;
            network.erase(network.begin());
            auto receiver = members.find(to);
            if (receiver != members.end() && receiver->second->voter)
                receiver->second->voter->handle(message, now);
        }
        auto uninitialized = std::vector<std::string>();
        for (auto& [disk, member] : members)
            if (member->voter && member->voter->blank()) uninitialized.push_back(disk);
        for (auto& [disk, member] : members) {
            member->sync();
            if (!member->voter) continue;
            member->voter->setUninitializedVoters(uninitialized);
            member->voter->setSpareDisks(spares);
            member->voter->tick(now);
        }
    }
    auto run(Microseconds duration) -> void {
        for (auto end = now + duration; now < end;) step();
    }
    /// Steps until `done` returns true, for at most `limit`. Returns the last result of `done`.
    auto until(const std::function<bool()>& done, Microseconds limit) -> bool {
        for (auto end = now + limit; now < end;) {
            if (done()) return true;
            step();
        }
        return done();
    }
    /// The ready leader with the highest term; empty if there is none.
    auto leader() -> std::string {
        auto leaderDisk = std::string();
        for (auto& [disk, member] : members) {
            auto& voter = member->voter;
            if (voter && voter->ready() && (leaderDisk.empty() || voter->term() > at(leaderDisk).term()))
                leaderDisk = disk;
        }
        return leaderDisk;
    }
    /// A voter beside the leader, of a cluster that was founded with "a", "b" and "c".
    auto follower() -> std::string { return leader() == "c" ? "b" : "c"; }
    /// Isolates other leaders until `disk` is the leader.
    auto lead(const std::string& disk) -> void {
        for (auto attempts = 0; attempts < 50 && leader() != disk; attempts++) {
            if (auto other = leader(); !other.empty()) isolate(other, true);
            run(3 * SECOND);
            partitioned.clear();
            run(2 * SECOND);
        }
        CHECK_EQ(disk, leader());
    }
    /// Proposes the evacuation of a zone at this disk.
    auto propose(const std::string& disk, const std::string& zone) -> bool {
        auto body = orderPrepare(at(disk).latestState(), "empty", fmt::format("k{}", ++keys_),
            fmt::format("{{\"district\":\"{}\"}}", zone), now);
        return body && at(disk).propose(ENTRY_ORDER, *body, now);
    }
    auto votersOf(const std::string& disk) -> std::set<std::string> {
        auto disks = std::set<std::string>();
        for (auto& voter : at(disk).voters()) disks.insert(voter.disk);
        return disks;
    }

  private:
    int keys_ = 0;
};

}  // namespace duneturn
