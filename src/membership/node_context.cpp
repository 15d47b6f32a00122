#include "membership/node_context.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/settings.hpp"
#include "base/version.hpp"

namespace duneturn {

NodeContext::NodeContext(const Settings& nodeSettings, NodePort& nodePort, Counters& nodeCounters,
    std::int64_t boot, std::uint64_t seed)
    : settings(nodeSettings),
      port(nodePort),
      counters(nodeCounters),
      random{seed},
      timeouts(failureTimeouts(nodeSettings)),
      staleLeaders(nodeSettings.gossip ? StaleLeaders::RankedLast : StaleLeaders::RankedAsOthers),
      leaseEvidence(
          nodeSettings.gossip ? LeaseEvidence::RecentHeartbeat : LeaseEvidence::AcknowledgedHeartbeat),
      members(timeouts.alive),
      statePublisher(*this),
      peerHints(nodeSettings.seeds) {
    auto& own = members.own();
    own.node = settings.node;
    own.boot = boot;
    own.zone = settings.zone;
    own.region = settings.region;
    own.peer = settings.peer;
    own.clientAddress = settings.clientAddress;
    own.operatorAddress = settings.operatorAddress;
    own.blank = true;
    own.__set_readsChanges(true);
}

auto NodeContext::envelope() const -> wire::Envelope {
    auto envelope = wire::Envelope();
    envelope.wire = WIRE;
    envelope.node = members.own().node;
    return envelope;
}

auto NodeContext::tree(Microseconds at) const -> DisseminationTree {
    return DisseminationTree::build(members, staleLeaders, at);
}

auto NodeContext::newestKnownState() const -> const ReplicatedState& {
    return versionOf(receivedState) > versionOf(state) ? receivedState : state;
}

auto NodeContext::requestState(const std::string& address, StateVersion held) -> void {
    auto message = envelope();
    auto request = wire::ReplicatedStateRequest();
    request.epoch = held.epoch;
    request.version = held.version;
    request.__set_readsChanges(true);
    message.__set_replicatedStateRequest(request);
    port.send(address, message);
    counters.add("word_pulled_total");
}

static auto logConfigurationInForce(const Configuration& older, const ReplicatedState& newer) -> void {
    logEvent("config_in_force", "version={}", newer.configVersion());
    for (auto& [tenant, count] : older.tenants().keysWithdrawnBy(newer.configuration()->tenants()))
        logEvent("tenant_keys_withdrawn", "version={} tenant={} count={}", newer.configVersion(),
            jsonQuote(tenant), count);
}

auto NodeContext::setState(const ReplicatedState& newer) -> void {
    auto older = state.configuration();
    auto configVersion = state.configVersion();
    state = newer;
    voting = {};
    for (auto& voterIdentity : newer.voters()) voting.voterDisks.insert(voterIdentity.disk);
    for (auto& name : newer.roster()) voting.roster.insert(name);
    counters.set("word_generation", newer.version);
    counters.set("word_reign", newer.epoch);
    counters.set("config_generation", newer.configVersion());
    if (configVersion != newer.configVersion()) logConfigurationInForce(*older, newer);
}

auto NodeContext::nextInTurn(const std::vector<std::string>& addresses) -> const std::string& {
    return addresses[nextTurn_++ % addresses.size()];
}

auto NodeContext::refuteOwnRecord(std::int64_t boot, std::int64_t heartbeat, const std::string& peer)
    -> void {
    auto& own = members.own();
    if (std::pair(boot, heartbeat) <= std::pair(own.boot, own.heartbeat)) return;
    if (!peer.empty() && peer != own.peer) counters.add("own_name_elsewhere_total");
    counters.add("boot_raised_total");
    if (!faults.reuseIncarnation) own.boot = boot + 1;
}

}  // namespace duneturn
