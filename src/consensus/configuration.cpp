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

auto decodeVoters(const std::string& body) -> std::vector<VoterIdentity> {
    auto voters = std::vector<VoterIdentity>();
    auto document = rapidjson::Document();
    if (!parseJson(body, document) || !document.IsArray()) return voters;
    for (auto& voter : document.GetArray())
        voters.push_back({jsonString(voter, "seat"), jsonString(voter, "disk")});
    return voters;
}

auto decodeJoint(const std::string& body) -> VoterConfiguration {
    auto document = rapidjson::Document();
    if (!parseJson(body, document) || !document.IsObject()) return {};
    if (!document.HasMember("before") || !document.HasMember("after")) return {};
    return VoterConfiguration::joint(
        decodeVoters(jsonText(document["before"])), decodeVoters(jsonText(document["after"])));
}

auto isMajority(const std::vector<VoterIdentity>& voters, std::size_t count) -> bool {
    return count * 2 > voters.size();
}

auto countVoters(const std::vector<VoterIdentity>& voters,
    const std::function<bool(const std::string& disk)>& predicate) -> std::size_t {
    auto matches = [&](auto& voter) { return predicate(voter.disk); };
    return std::size_t(std::count_if(voters.begin(), voters.end(), matches));
}

// The highest log index that a majority of one set of voters has on disk.
auto majorityIndexOf(const std::vector<VoterIdentity>& voters,
    const std::function<std::int64_t(const std::string& disk)>& indexOf, bool singleVoterSuffices)
    -> std::int64_t {
    if (voters.empty()) return 0;
    auto indices = std::vector<std::int64_t>();
    for (auto& voter : voters) indices.push_back(indexOf(voter.disk));
    std::sort(indices.begin(), indices.end(), std::greater<>());
    return indices[singleVoterSuffices ? std::size_t(0) : indices.size() / 2];
}

}  // namespace

auto encodeVoters(const std::vector<VoterIdentity>& voters) -> std::string {
    auto encoded = std::string();
    for (auto& voter : voters) {
        if (!encoded.empty()) encoded += ",";
        encoded += bodyOf({{"seat", jsonQuote(voter.node)}, {"disk", jsonQuote(voter.disk)}});
    }
    return "[" + encoded + "]";
}

auto isReadableEntry(const wire::Entry& entry) -> bool {
    switch (entry.kind) {
    case ENTRY_NOOP:
    case ENTRY_ORDER:
    case ENTRY_COMPACT: return true;
    case ENTRY_VOTERS: return !decodeVoters(entry.body).empty();
    case ENTRY_JOINT: {
        auto configuration = decodeJoint(entry.body);
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
    return entry.kind == ENTRY_JOINT ? decodeJoint(entry.body) : VoterConfiguration(decodeVoters(entry.body));
}

auto VoterConfiguration::entryBody() const -> std::string {
    if (!isJoint()) return encodeVoters(voters_);
    return bodyOf({{"before", encodeVoters(outgoing_)}, {"after", encodeVoters(voters_)}});
}

auto VoterConfiguration::isVoter(const std::string& disk) const -> bool {
    auto contains = [&](const std::vector<VoterIdentity>& voters) {
        return std::any_of(voters.begin(), voters.end(), [&](auto& voter) { return voter.disk == disk; });
    };
    return contains(voters_) || contains(outgoing_);
}

auto VoterConfiguration::disks() const -> std::vector<std::string> {
    auto disks = std::vector<std::string>();
    for (auto set : {&voters_, &outgoing_})
        for (auto& voter : *set)
            if (std::find(disks.begin(), disks.end(), voter.disk) == disks.end()) disks.push_back(voter.disk);
    return disks;
}

auto VoterConfiguration::hasMajority(
    const std::function<bool(const std::string& disk)>& predicate, const QuorumFaults& faults) const -> bool {
    auto count = countVoters(voters_, predicate);
    if (faults.singleVoterSuffices) return count > 0;
    if (!isMajority(voters_, count)) return false;
    return !isJoint() || faults.ignoreOutgoingMajority
        || isMajority(outgoing_, countVoters(outgoing_, predicate));
}

auto VoterConfiguration::majorityIndex(const std::function<std::int64_t(const std::string& disk)>& indexOf,
    const QuorumFaults& faults) const -> std::int64_t {
    auto index = majorityIndexOf(voters_, indexOf, faults.singleVoterSuffices);
    if (!isJoint() || faults.ignoreOutgoingMajority) return index;
    return std::min(index, majorityIndexOf(outgoing_, indexOf, faults.singleVoterSuffices));
}

}  // namespace duneturn
