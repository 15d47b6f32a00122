#include "membership/membership_table.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/log.hpp"
#include "base/time.hpp"
#include "membership/failure_detector.hpp"

namespace duneturn {

auto versionOf(const wire::NodeRecord& record) -> StateVersion { return {record.epoch, record.stateVersion}; }
auto versionOf(const ReplicatedState& state) -> StateVersion { return {state.epoch, state.version}; }

auto isAcceptable(const wire::NodeRecord& record) -> bool {
    return !record.node.empty() && record.node.size() <= MAX_NAME_BYTES
        && record.peer.size() <= MAX_ADDRESS_BYTES;
}

auto MembershipTable::find(const std::string& name) const -> const wire::NodeRecord* {
    if (name == own_.node) return &own_;
    auto known = others_.find(name);
    return known == others_.end() ? nullptr : &known->second.record;
}

auto MembershipTable::withDisk(const std::string& disk) const -> const KnownNode* {
    for (auto& [name, known] : others_)
        if (known.record.disk == disk) return &known;
    return nullptr;
}

auto MembershipTable::isAlive(const std::string& name, Microseconds now) const -> bool {
    if (name == own_.node) return true;
    auto known = others_.find(name);
    return known != others_.end() && isAlive(known->second, now);
}

auto MembershipTable::aliveNodes(Microseconds now) const -> std::vector<std::string> {
    auto names = std::vector<std::string>{own_.node};
    for (auto& [name, known] : others_)
        if (isAlive(known, now)) names.push_back(name);
    std::sort(names.begin(), names.end());
    return names;
}

auto MembershipTable::leaderNode(Microseconds now) const -> std::string {
    auto leader = std::string();
    auto newest = std::pair<std::int64_t, std::int64_t>(-1, -1);
    auto consider = [&](const wire::NodeRecord& record) {
        auto term = std::pair(record.epoch, record.term);
        if (!record.leader || term <= newest) return;
        newest = term;
        leader = record.node;
    };
    consider(own_);
    for (auto& [name, known] : others_)
        if (isAlive(known, now)) consider(known.record);
    return leader;
}

auto MembershipTable::dropSilent(Microseconds now) -> void {
    for (auto it = others_.begin(); it != others_.end();)
        if (now - it->second.lastHeartbeatAt >= DROP_TIMEOUT) {
            logEvent("node_forgotten", "node={}", it->first);
            it = others_.erase(it);
        } else ++it;
}

}  // namespace duneturn
