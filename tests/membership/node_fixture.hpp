#pragma once
// One node that forms a fleet by itself, with an edge that routes requests, in virtual time.
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

/// The node, its edge and their environment. Disk writes and probes complete within one timer tick.
struct NodeFixture : NodePort, EdgePort {
    Settings settings;
    Counters ct;
    std::unique_ptr<Node> n;
    std::unique_ptr<Edge> e;
    std::deque<DiskWrite> pendingWrites;
    Microseconds now = 10 * SECOND;
    std::map<std::int64_t, Outcome> outcomes;                     // of orders, listings and marks
    std::vector<std::pair<std::int64_t, std::string>> sends;      // attempts: the request and its server
    std::map<std::int64_t, std::pair<int, std::string>> replies;  // status and body, by request
    std::map<std::int64_t, Headers> heads;
    std::set<std::int64_t> cut, whole;  // requests whose streamed answers were truncated or complete
    std::int64_t rev = 0;               // of the last listing
    std::vector<std::string> pendingProbes;
    RandomSource random{3};

    NodeFixture() {
        settings.node = "a";
        settings.zone = "d";
        settings.region = "near";
        settings.peer = "127.0.0.1:1";
        settings.roster = settings.initialVoters = {"a"};
        n = std::make_unique<Node>(settings, *this, ct, 7, 1);
        e = std::make_unique<Edge>(*n, *this, ct, 2);
        n->startCore({}, "disk", now);
        run(8 * SECOND);
    }

    // NodePort.
    auto send(const std::string&, const wire::Envelope&) -> void override {}
    auto disk(const DiskWrite& write) -> void override { pendingWrites.push_back(write); }
    auto done(std::int64_t id, const Outcome& outcome) -> void override { outcomes[id] = outcome; }
    auto savePeerHints(const std::vector<std::string>&) -> void override {}
    auto probe(const std::string& server, const std::string&) -> void override {
        pendingProbes.push_back(server);
    }
    // EdgePort.
    auto startAttempt(std::int64_t request, int, const std::string& server, const std::string&)
        -> void override {
        sends.emplace_back(request, server);
    }
    auto cancelAttempt(std::int64_t, int) -> void override {}
    auto sendHead(std::int64_t request, int, const Headers& headers) -> void override {
        heads[request] = headers;
    }
    auto sendStreamBytes(std::int64_t, const std::string&) -> void override {}
    auto endStream(std::int64_t request, bool complete) -> void override {
        (complete ? whole : cut).insert(request);
    }
    auto sendReply(std::int64_t request, int status, const Headers&, const std::string& body)
        -> void override {
        replies[request] = {status, body};
    }

    auto run(Microseconds duration) -> void {
        for (auto end = now + duration; now < end; now += 20 * MILLISECOND) {
            n->tick(now, 1800000000 * SECOND + now);
            e->tick(now);
            completeWrites();
            answerProbes();
        }
    }
    /// Replaces the configuration and returns the status.
    auto config(const std::string& configuration) -> int {
        auto id = std::int64_t(random.next() >> 8);
        auto base = n->replicatedState().configVersion();
        n->order(id, "config", fmt::format("k{}", id),
            fmt::format("{{\"base\":{},\"config\":{}}}", base, configuration), now);
        run(2 * SECOND);
        return outcomes[id].status;
    }
    /// Lists servers, each given as name, region, zone, service and weights.
    auto list(const std::vector<std::array<std::string, 5>>& servers) -> void {
        auto entries = std::string();
        for (auto& [name, region, zone, service, weights] : servers)
            entries += (entries.empty() ? "" : ",")
                + bodyOf({{"name", jsonQuote(name)}, {"address", "\"127.0.0.1:9\""},
                    {"region", jsonQuote(region)}, {"district", jsonQuote(zone)},
                    {"pool", jsonQuote(service)}, {"weights", jsonQuote(weights)}, {"slots", "4"}});
        n->list(1, fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++rev, entries), now);
        run(SECOND);
    }

  private:
    auto completeWrites() -> void {
        auto writes = std::move(pendingWrites);
        pendingWrites.clear();
        for (auto& write : writes) n->onDiskWriteDone(write.seq, true, now);
    }
    /// Each probed server answers that it is idle and has been up for an hour.
    auto answerProbes() -> void {
        auto probes = std::move(pendingProbes);
        pendingProbes.clear();
        for (auto& server : probes) {
            auto load = wire::ServerLoad();
            load.slots = 4;
            load.boot = 1;
            load.up = 3600 * SECOND;
            n->probeFinished(server, true, false, load, now);
        }
    }
};

}  // namespace duneturn
