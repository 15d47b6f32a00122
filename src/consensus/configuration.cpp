#include "consensus/configuration.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/json.hpp"

namespace duneturn {

namespace {

auto votersParse(const std::string& body) -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    auto document = rapidjson::Document();
    if (!parseJson(body, document) || !document.IsArray()) return voters;
    for (auto& voter : document.GetArray())
        voters.push_back({jsonString(voter, "seat"), jsonString(voter, "disk")});
    return voters;
}

auto jointParse(const std::string& body) -> VoterConfiguration {
    auto document = rapidjson::Document();
    if (!parseJson(body, document) || !document.IsObject()) return {};
    if (!document.HasMember("before") || !document.HasMember("after")) return {};
    return VoterConfiguration::joint(
        votersParse(jsonText(document["before"])), votersParse(jsonText(document["after"])));
}

auto isMajority(const std::vector<VoterIdentity>& voters, std::size_t count) -> bool {
    return count * 2 > voters.size();
}

auto countOf(const std::vector<VoterIdentity>& voters,
    const std::function<bool(const std::string& disk)>& holds) -> std::size_t {
    auto fulfils = [&](auto& voter) { return holds(voter.disk); };
    return std::size_t(std::count_if(voters.begin(), voters.end(), fulfils));
}

// The highest index that a majority of one set has.
auto majorityIndexOf(const std::vector<VoterIdentity>& voters,
    const std::function<std::int64_t(const std::string& disk)>& indexOf, bool anyVoter) -> std::int64_t {
    if (voters.empty()) return 0;
    auto indices = std::vector<std::int64_t>();
    for (auto& voter : voters) indices.push_back(indexOf(voter.disk));
    std::sort(indices.begin(), indices.end(), std::greater<>());
    return indices[anyVoter ? std::size_t(0) : indices.size() / 2];
}

}  // namespace

auto votersText(const std::vector<VoterIdentity>& voters) -> std::string {
    auto list = std::string();
    for (auto& voter : voters) {
        if (!list.empty()) list += ",";
        list += bodyOf({{"seat", jsonQuote(voter.node)}, {"disk", jsonQuote(voter.disk)}});
    }
    return "[" + list + "]";
}

auto isReadableEntry(const wire::Entry& entry) -> bool {
    switch (entry.kind) {
    case ENTRY_NOOP:
    case ENTRY_ORDER:
    case ENTRY_COMPACT: return true;
    case ENTRY_VOTERS: return !votersParse(entry.body).empty();
    case ENTRY_JOINT: {
        auto configuration = jointParse(entry.body);
        return configuration.isJoint() && !configuration.voters().empty();
    }
    default: return false;
    }
}

auto isCommandEntry(const wire::Entry& entry) -> bool {
    return entry.kind == ENTRY_ORDER || entry.kind == ENTRY_COMPACT;
}

auto entryKindOf(EntryForm form) -> std::int32_t {
    return form == EntryForm::Compact ? ENTRY_COMPACT : ENTRY_ORDER;
}

auto isConfigurationEntry(const wire::Entry& entry) -> bool {
    return entry.kind == ENTRY_VOTERS || entry.kind == ENTRY_JOINT;
}

auto VoterConfiguration::joint(std::vector<VoterIdentity> outgoing, std::vector<VoterIdentity> incoming)
    -> VoterConfiguration {
    auto configuration = VoterConfiguration(std::move(incoming));
    configuration.outgoing_ = std::move(outgoing);
    return configuration;
}

auto VoterConfiguration::fromEntry(const wire::Entry& entry) -> VoterConfiguration {
    return entry.kind == ENTRY_JOINT ? jointParse(entry.body) : VoterConfiguration(votersParse(entry.body));
}

auto VoterConfiguration::entryBody() const -> std::string {
    if (!isJoint()) return votersText(voters_);
    return bodyOf({{"before", votersText(outgoing_)}, {"after", votersText(voters_)}});
}

auto VoterConfiguration::isVoter(const std::string& disk) const -> bool {
    auto has = [&](const std::vector<VoterIdentity>& voters) {
        return std::any_of(voters.begin(), voters.end(), [&](auto& voter) { return voter.disk == disk; });
    };
    return has(voters_) || has(outgoing_);
}

auto VoterConfiguration::disks() const -> std::vector<std::string> {
    auto all = std::vector<std::string>();
    for (auto set : {&voters_, &outgoing_})
        for (auto& voter : *set)
            if (std::find(all.begin(), all.end(), voter.disk) == all.end()) all.push_back(voter.disk);
    return all;
}

auto VoterConfiguration::hasMajority(
    const std::function<bool(const std::string& disk)>& holds, const QuorumFaults& faults) const -> bool {
    auto count = countOf(voters_, holds);
    if (faults.anyVoter) return count > 0;
    if (!isMajority(voters_, count)) return false;
    return !isJoint() || faults.incomingOnly || isMajority(outgoing_, countOf(outgoing_, holds));
}

auto VoterConfiguration::majorityIndex(const std::function<std::int64_t(const std::string& disk)>& indexOf,
    const QuorumFaults& faults) const -> std::int64_t {
    auto index = majorityIndexOf(voters_, indexOf, faults.anyVoter);
    if (!isJoint() || faults.incomingOnly) return index;
    return std::min(index, majorityIndexOf(outgoing_, indexOf, faults.anyVoter));
}

}  // namespace duneturn
