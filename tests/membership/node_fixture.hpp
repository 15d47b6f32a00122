#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/random.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"

namespace duneturn {

// One node that is a fleet of its own, its disk as fast as asked for.
struct NodeFixture : NodePort, EdgePort {
    Settings st;
    Counters ct;
    std::unique_ptr<Node> n;
    std::unique_ptr<Edge> e;
    std::deque<DiskWrite> dq;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, Outcome> outcomes;
    std::vector<std::pair<std::int64_t, std::string>> sends;  // exchange, server
    std::map<std::int64_t, std::pair<int, std::string>> replies;
    std::map<std::int64_t, Headers> heads;
    std::set<std::int64_t> cut, whole;
    std::int64_t rev = 0;

    NodeFixture() {
        st.node = "a", st.zone = "d", st.region = "near", st.peer = "127.0.0.1:1";
        st.roster = st.initialVoters = {"a"};
        n = std::make_unique<Node>(st, *this, ct, 7, 1);
        e = std::make_unique<Edge>(*n, *this, ct, 2);
        n->startCore({}, "disk", now);
        run(8 * SECOND);
    }
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite& w) -> void override { dq.push_back(w); }
    auto done(std::int64_t id, const Outcome& o) -> void override { outcomes[id] = o; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string& s, const std::string&) -> void override { probes.push_back(s); }
    std::vector<std::string> probes;
    auto startAttempt(std::int64_t x, int, const std::string& s, const std::string&) -> void override {
        sends.emplace_back(x, s);
    }
    auto cancelAttempt(std::int64_t, int) -> void override {}
    auto sendHead(std::int64_t x, int, const Headers& h) -> void override { heads[x] = h; }
    auto sendStreamBytes(std::int64_t, const std::string&) -> void override {}
    auto endStream(std::int64_t x, bool w) -> void override { (w ? whole : cut).insert(x); }
    auto sendReply(std::int64_t x, int s, const Headers&, const std::string& b) -> void override {
        replies[x] = {s, b};
    }
    auto run(Microseconds d) -> void {
        for (auto t = now + d; now < t; now += 20 * MILLISECOND) {
            n->tick(now, 1800000000 * SECOND + now);
            e->tick(now);
            auto q = std::move(dq);
            dq.clear();
            for (auto& w : q) n->onDiskWriteDone(w.seq, true, now);
            auto p = std::move(probes);
            probes.clear();
            for (auto& s : p) {
                auto l = wire::ServerLoad();
                l.slots = 4, l.boot = 1, l.up = 3600 * SECOND;
                n->probeFinished(s, true, false, l, now);
            }
        }
    }
    auto config(const std::string& c) -> int {
        auto id = std::int64_t(rng.next() >> 8);
        n->order(id, "config", fmt::format("k{}", id),
            fmt::format("{{\"base\":{},\"config\":{}}}", n->replicatedState().configVersion(), c), now);
        run(2 * SECOND);
        return outcomes[id].status;
    }
    RandomSource rng{3};
    auto list(const std::vector<std::array<std::string, 5>>& v)
        -> void {  // name, region, district, pool, weights
        auto o = std::string();
        for (auto& s : v)
            o += (o.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(s[0])}, {"address", "\"127.0.0.1:9\""},
                    {"region", jsonQuote(s[1])}, {"district", jsonQuote(s[2])}, {"pool", jsonQuote(s[3])},
                    {"weights", jsonQuote(s[4])}, {"slots", "4"}});
        n->list(1, fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++rev, o), now);
        run(SECOND);
    }
};

}  // namespace duneturn
