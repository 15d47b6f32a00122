#include "membership/operator_views.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "base/version.hpp"

namespace duneturn {

static auto boolText(bool value) -> std::string { return value ? "true" : "false"; }

static auto joined(const std::vector<std::string>& parts) -> std::string {
    auto text = std::string();
    for (auto& part : parts) text += (text.empty() ? "" : ",") + part;
    return text;
}

/// `age`: time since the node's newest heartbeat; `acknowledgedSince`: see KnownNode.
static auto nodeText(const NodeContext& context, const wire::NodeRecord& record, Microseconds age,
    Microseconds acknowledgedSince, Microseconds now) -> std::string {
    return bodyOf({{"node", jsonQuote(record.node)}, {"boot", fmt::to_string(record.boot)},
        {"district", jsonQuote(record.zone)}, {"region", jsonQuote(record.region)},
        {"peer", jsonQuote(record.peer)}, {"sender", jsonQuote(record.clientAddress)},
        {"operator", jsonQuote(record.operatorAddress)},
        {"alive", boolText(age < context.members.aliveTimeout())}, {"ageUs", fmt::to_string(age)},
        {"provenUs", acknowledgedSince ? fmt::to_string(now - acknowledgedSince) : "null"},
        {"reign", fmt::to_string(record.epoch)}, {"generation", fmt::to_string(record.stateVersion)},
        {"settled", boolText(record.settled)}, {"ready", boolText(record.ready)},
        {"disk", jsonQuote(record.disk)}, {"blank", boolText(record.blank)},
        {"leader", boolText(record.leader)}, {"credit", fmt::to_string(record.credit)}});
}

static auto loadText(const KnownServer& server, Microseconds now) -> std::string {
    if (!hasUsableLoad(server, now)) return "null";
    auto& load = server.load;
    return bodyOf({{"prefill", fmt::to_string(load.prefill)}, {"decode", fmt::to_string(load.decode)},
        {"slots", fmt::to_string(load.slots)}, {"dark", boolText(load.dark)},
        {"watcher", jsonQuote(load.watcher)}, {"ageUs", fmt::to_string(now - server.loadReadAt)}});
}

static auto serverText(const std::string& name, const KnownServer& server, Microseconds now) -> std::string {
    auto& listing = server.listing;
    return bodyOf({{"server", jsonQuote(name)}, {"address", jsonQuote(listing.address)},
        {"region", jsonQuote(listing.region)}, {"district", jsonQuote(listing.zone)},
        {"pool", jsonQuote(listing.serviceName)}, {"weights", jsonQuote(listing.weights)},
        {"state", jsonQuote(serverStateName(listing.state))},
        {"generation", fmt::to_string(listing.revision)}, {"toldUs", fmt::to_string(now - server.listedAt)},
        {"occupancy", loadText(server, now)}});
}

auto beliefsText(const NodeContext& context, const MembershipProtocol& protocol, Microseconds now)
    -> std::string {
    auto& own = context.members.own();
    auto& state = context.state;
    auto nodes = std::vector{nodeText(context, own, 0, now, now)};
    for (auto& [name, known] : context.members.others())
        nodes.push_back(
            nodeText(context, known.record, now - known.lastHeartbeatAt, known.acknowledgedSince, now));
    auto servers = std::vector<std::string>();
    for (auto& [name, server] : context.directory.servers()) servers.push_back(serverText(name, server, now));
    auto edges = std::vector<std::string>();
    auto tree = context.tree(now);
    for (auto& [child, parent] : tree.parents())
        edges.push_back(fmt::format("{}:{}", jsonQuote(child), jsonQuote(parent)));
    return bodyOf({{"node", jsonQuote(own.node)}, {"reign", fmt::to_string(state.epoch)},
        {"generation", fmt::to_string(state.version)},
        {"configGeneration", fmt::to_string(state.configVersion())},
        {"wordHash", jsonQuote(fmt::format("{:016x}", hash64(state.text())))},
        {"fresh", boolText(protocol.withinLease(now))},
        {"leader", jsonQuote(context.members.leaderNode(now))}, {"empties", state.evacuationsText()},
        {"nodes", "[" + joined(nodes) + "]"}, {"servers", "[" + joined(servers) + "]"},
        {"relays", "{" + joined(edges) + "}"}});
}

static auto roleText(const NodeContext& context) -> std::string {
    if (!context.voter) return "edge";
    if (context.voter->leads()) return "core, leader";
    return context.voter->blank() ? "core, blank" : "core, follower";
}

auto statusText(const NodeContext& context, const MembershipProtocol& protocol, Microseconds now)
    -> std::string {
    auto& own = context.members.own();
    auto& state = context.state;
    return bodyOf({{"node", jsonQuote(own.node)}, {"version", jsonQuote(VERSION)},
        {"district", jsonQuote(own.zone)}, {"region", jsonQuote(own.region)},
        {"ready", boolText(protocol.ready(now))}, {"fresh", boolText(protocol.withinLease(now))},
        {"settled", boolText(own.settled)}, {"leader", jsonQuote(context.members.leaderNode(now))},
        {"reign", fmt::to_string(state.epoch)}, {"generation", fmt::to_string(state.version)},
        {"configGeneration", fmt::to_string(state.configVersion())},
        {"nodesAlive", fmt::to_string(context.members.aliveNodes(now).size())},
        {"roster", fmt::to_string(context.voting.roster.size())},
        {"servers", fmt::to_string(context.directory.servers().size())},
        {"role", jsonQuote(roleText(context))}});
}

auto planText(const NodeContext& context) -> std::string {
    return bodyOf({{"generation", fmt::to_string(context.state.version)}, {"plan", context.state.planText()},
        {"empties", context.state.evacuationsText()}});
}

namespace {

enum class Distance { SameZone, SameRegion, Elsewhere };

struct NearNode {
    Distance distance;
    const wire::NodeRecord* record;
};

}  // namespace

/// Returns the nodes that accept clients, unordered. Nodes whose heartbeats are late are included only if
/// there is no other node, because a client that is directed to a failed node wastes an attempt.
static auto nodesForClients(const NodeContext& context, const std::string& region, const std::string& zone,
    Microseconds now) -> std::vector<NearNode> {
    auto nodes = std::vector<NearNode>();
    auto consider = [&](const wire::NodeRecord& record) {
        if (!record.ready || record.stopping || context.state.evacuated(record.zone)) return;
        auto distance = record.region == region ? Distance::SameRegion : Distance::Elsewhere;
        if (record.zone == zone) distance = Distance::SameZone;
        nodes.push_back({distance, &record});
    };
    auto considerAliveWithin = [&](Microseconds limit) {
        for (auto& [name, known] : context.members.others())
            if (now - known.lastHeartbeatAt < limit) consider(known.record);
    };
    consider(context.members.own());
    considerAliveWithin(context.timeouts.late);
    if (nodes.empty()) considerAliveWithin(context.timeouts.alive);
    return nodes;
}

auto nearestNodesText(const NodeContext& context, const std::string& region, const std::string& zone,
    Microseconds now) -> std::string {
    auto place = region.empty() ? context.members.own().region : region;
    auto nodes = nodesForClients(context, place, zone, now);
    // Clients are spread over the nodes at the same distance; the order changes every second.
    auto key = place + "/" + zone + fmt::to_string(now / SECOND);
    std::sort(nodes.begin(), nodes.end(), [&](const NearNode& left, const NearNode& right) {
        if (left.distance != right.distance) return left.distance < right.distance;
        return rendezvousRank(key, left.record->node) > rendezvousRank(key, right.record->node);
    });
    auto texts = std::vector<std::string>();
    for (auto& node : nodes)
        texts.push_back(bodyOf(
            {{"node", jsonQuote(node.record->node)}, {"address", jsonQuote(node.record->clientAddress)},
                {"region", jsonQuote(node.record->region)}, {"district", jsonQuote(node.record->zone)}}));
    return "{\"nodes\":[" + joined(texts) + "]}";
}

}  // namespace duneturn
