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
        DiskGate gate;
        std::unique_ptr<Voter> voter;
        bool diskHangs = false, failNextWrite = false;
        std::vector<std::pair<std::string, wire::Envelope>> sent;  // kept while `record`
        std::map<std::int64_t, bool> reads;
        std::int64_t appliedGen = 0;

        Member(ConsensusFixture& c, std::string d) : cluster(c), disk(std::move(d)) {}
        auto voterSend(const std::string& to, wire::Envelope& e) -> void override {
            if (cluster.record) sent.emplace_back(to, e);
            cluster.post(disk, to, e);
        }
        auto voterWrite(const DiskWrite& w) -> void override { pending.push_back(w); }
        auto voterApplied(const ReplicatedState& w, const std::string&, const Outcome&) -> void override {
            appliedGen = w.version;
        }
        auto voterRead(std::int64_t id, bool ok) -> void override { reads[id] = ok; }
        auto start() -> void {
            pending.clear();
            gate = {};
            voter = std::make_unique<Voter>(*this, counters, cluster.random.next());
            voter->broken = cluster.broken;
            voter->start(held, disk, cluster.now);
        }
        auto sync() -> void {
            while (!diskHangs && voter && !pending.empty()) {
                auto w = pending.front();
                pending.pop_front();
                auto ok = gate.takes(w) && !failNextWrite;
                failNextWrite = false;
                if (ok) diskApply(held, w);
                else gate.fail(w);
                voter->diskDone(w.seq, ok, cluster.now);
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

    static auto sizeOf(const wire::Envelope& e) -> std::int64_t {
        auto n = std::int64_t(100);
        for (auto& x : e.appendEntries.entries) n += std::int64_t(x.body.size()) + 20;
        return n + std::int64_t(e.installSnapshot.document.size() + e.snapshotChunk.data.size());
    }
    auto post(const std::string& from, const std::string& to, wire::Envelope e) -> void {
        if (cut.count({from, to}) || !members.count(to)) return;
        if (drop && drop(to, e)) return;
        auto& free = linkFree[{from, to}];
        auto rate = bitsPerSecond.count(to) ? bitsPerSecond[to] : std::int64_t(10'000'000'000);
        free = std::max(free, now) + sizeOf(e) * 8 * SECOND / rate;
        bytesSent += sizeOf(e);
        network.emplace(free + 2 * MILLISECOND, std::pair(to, std::move(e)));
    }
    auto add(const std::string& disk) -> Member& {
        auto& m = members[disk] = std::make_unique<Member>(*this, disk);
        m->start();
        return *m;
    }
    auto at(const std::string& disk) -> Voter& { return *members.at(disk)->voter; }
    auto counter(const std::string& disk, std::string_view name) -> std::int64_t {
        return members.at(disk)->counters.get(name);
    }
    auto stop(const std::string& disk) -> void { members.at(disk)->voter.reset(); }
    auto lose(const std::string& disk) -> void { members.erase(disk); }
    auto isolate(const std::string& disk, bool on) -> void {
        for (auto& [other, m] : members)
            for (auto link : {std::pair(disk, other), std::pair(other, disk)})
                if (on) cut.insert(link);
                else cut.erase(link);
    }
    // A cluster of these disks, each in the seat "s-<disk>", led by somebody.
    auto bootstrap(const std::vector<std::string>& disks, const std::string& name = "") -> void {
        auto initialVoters = std::vector<VoterIdentity>();
        for (auto& d : disks) {
            add(d);
            initialVoters.push_back({"s-" + d, d});
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
            auto [to, e] = network.begin()->second;
            network.erase(network.begin());
            auto m = members.find(to);
            if (m != members.end() && m->second->voter) m->second->voter->handle(e, now);
        }
        auto blank = std::vector<std::string>();
        for (auto& [d, m] : members)
            if (m->voter && m->voter->blank()) blank.push_back(d);
        for (auto& [d, m] : members) {
            m->sync();
            if (!m->voter) continue;
            m->voter->setBlankVoters(blank);
            m->voter->setSpareDisks(spares);
            m->voter->tick(now);
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
        for (auto& [d, m] : members)
            if (m->voter && m->voter->ready() && (best.empty() || m->voter->term() > at(best).term()))
                best = d;
        return best;
    }
    /// Makes `disk` the leader.
    auto lead(const std::string& disk) -> void {
        for (auto tries = 0; tries < 50 && leader() != disk; tries++) {
            if (auto l = leader(); !l.empty()) isolate(l, true);
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
        auto out = std::set<std::string>();
        for (auto& v : at(disk).voters()) out.insert(v.disk);
        return out;
    }

  private:
    int keys_ = 0;
};

}  // namespace duneturn
