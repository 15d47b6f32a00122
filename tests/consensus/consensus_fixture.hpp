#pragma once
// Voters over links of a given speed, in virtual time: messages keep their order and are lost only
// where a test says so; disks sync each write within a step.
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

struct ConsensusFixture {
    static constexpr Microseconds STEP = 5 * MILLISECOND;

    struct Member : VoterPort {
        ConsensusFixture& cluster;
        std::string disk;
        Counters counters;
        DiskState held;
        std::deque<DiskWrite> pending;
        DiskWriteFence gate;
        std::unique_ptr<Voter> voter;
        bool diskHangs = false, failNextWrite = false;
        std::vector<std::pair<std::string, wire::Envelope>> sent;  // kept while `record`
        std::map<std::int64_t, bool> reads;

        Member(ConsensusFixture& owner, std::string identity) : cluster(owner), disk(std::move(identity)) {}
        auto sendToReplica(const std::string& to, wire::Envelope& message) -> void override {
            if (cluster.record) sent.emplace_back(to, message);
            cluster.post(disk, to, message);
        }
        auto writeToDisk(const DiskWrite& write) -> void override { pending.push_back(write); }
        auto onStateApplied(const ReplicatedState&, const AppliedEntry&) -> void override {}
        auto onReadDone(std::int64_t id, bool ok) -> void override { reads[id] = ok; }
        auto start() -> void {
            pending.clear();
            gate = {};
            voter = std::make_unique<Voter>(*this, counters, cluster.random.next());
            voter->broken = cluster.broken;
            voter->start(held, disk, cluster.now);
        }
        auto sync() -> void {
            while (!diskHangs && voter && !pending.empty()) {
                auto write = pending.front();
                pending.pop_front();
                auto ok = gate.takes(write) && !failNextWrite;
                failNextWrite = false;
                if (ok) applyDiskWrite(held, write);
                else gate.fail(write);
                voter->onDiskWriteDone(write.seq, ok, cluster.now);
            }
        }
    };

    RandomSource random{1};
    Microseconds now = SECOND;
    Voter::Broken broken;
    bool record = false;
    std::map<std::string, std::unique_ptr<Member>> members;
    std::vector<std::pair<std::string, std::string>> spares;
    std::set<std::pair<std::string, std::string>> cut;  // links that carry nothing
    std::map<std::string, std::int64_t> bitsPerSecond;  // into a member; absent: no limit
    std::function<bool(const std::string&, wire::Envelope&)> drop;
    std::multimap<Microseconds, std::pair<std::string, wire::Envelope>> network;
    std::map<std::pair<std::string, std::string>, Microseconds> linkFree;
    std::int64_t bytesSent = 0;

    static auto sizeOf(const wire::Envelope& message) -> std::int64_t {
        auto bytes = std::int64_t(100);
        for (auto& entry : message.appendEntries.entries) bytes += std::int64_t(entry.body.size()) + 20;
        return bytes
            + std::int64_t(message.installSnapshot.document.size() + message.snapshotChunk.data.size());
    }
    auto post(const std::string& from, const std::string& to, wire::Envelope message) -> void {
        if (cut.count({from, to}) || !members.count(to)) return;
        if (drop && drop(to, message)) return;
        auto& free = linkFree[{from, to}];
        auto rate = bitsPerSecond.count(to) ? bitsPerSecond[to] : std::int64_t(10'000'000'000);
        free = std::max(free, now) + sizeOf(message) * 8 * SECOND / rate;
        bytesSent += sizeOf(message);
        network.emplace(free + 2 * MILLISECOND, std::pair(to, std::move(message)));
    }
    auto add(const std::string& disk) -> Member& {
        auto& member = members[disk] = std::make_unique<Member>(*this, disk);
        member->start();
        return *member;
    }
    auto at(const std::string& disk) -> Voter& { return *members.at(disk)->voter; }
    auto counter(const std::string& disk, std::string_view name) -> std::int64_t {
        return members.at(disk)->counters.get(name);
    }
    auto stop(const std::string& disk) -> void { members.at(disk)->voter.reset(); }
    auto lose(const std::string& disk) -> void { members.erase(disk); }
    auto isolate(const std::string& disk, bool isolated) -> void {
        for (auto& [other, member] : members)
            for (const auto& link : {std::pair(disk, other), std::pair(other, disk)})
                if (isolated) cut.insert(link);
                else cut.erase(link);
    }
    // A cluster of these disks, each of a node "s-<disk>", led by somebody.
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
        auto blank = std::vector<std::string>();
        for (auto& [disk, member] : members)
            if (member->voter && member->voter->blank()) blank.push_back(disk);
        for (auto& [disk, member] : members) {
            member->sync();
            if (!member->voter) continue;
            member->voter->setUninitializedVoters(blank);
            member->voter->setSpareDisks(spares);
            member->voter->tick(now);
        }
    }
    auto run(Microseconds duration) -> void {
        for (auto end = now + duration; now < end;) step();
    }
    /// Steps until `done` or the time is over; whether it was done.
    auto until(const std::function<bool()>& done, Microseconds limit) -> bool {
        for (auto end = now + limit; now < end;) {
            if (done()) return true;
            step();
        }
        return done();
    }
    auto leader() -> std::string {
        auto best = std::string();
        for (auto& [disk, member] : members) {
            auto& voter = member->voter;
            if (voter && voter->ready() && (best.empty() || voter->term() > at(best).term())) best = disk;
        }
        return best;
    }
    /// Makes `disk` the leader.
    auto lead(const std::string& disk) -> void {
        for (auto tries = 0; tries < 50 && leader() != disk; tries++) {
            if (auto other = leader(); !other.empty()) isolate(other, true);
            run(3 * SECOND);
            cut.clear();
            run(2 * SECOND);
        }
        CHECK_EQ(disk, leader());
    }
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
