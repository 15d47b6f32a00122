#include "cli/compare.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "cli/ctl.hpp"
#include "cli/table.hpp"
#include "net/http_client.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

namespace {

using Names = std::vector<const char*>;

constexpr Microseconds ANSWER_LIMIT = 5 * SECOND;

auto memberText(const rapidjson::Value& object, const char* name) -> std::string {
    return object.HasMember(name) ? cellText(object[name]) : "-";
}

/// The members of two objects that differ.
auto compareMembers(const std::string& path, const rapidjson::Value& first, const rapidjson::Value& second,
    const Names& members, std::vector<Difference>& differences) -> void {
    for (auto name : members) {
        auto left = memberText(first, name), right = memberText(second, name);
        if (left != right) differences.push_back({path + name, left, right});
    }
}

/// Two lists of objects that `id` names: those known to one only, and the members that differ.
auto compareLists(const rapidjson::Value& first, const rapidjson::Value& second, const char* list,
    const char* id, const Names& members, std::vector<Difference>& differences) -> void {
    auto pairs = std::map<std::string, std::pair<const rapidjson::Value*, const rapidjson::Value*>>();
    for (auto& item : first[list].GetArray()) pairs[jsonString(item, id)].first = &item;
    for (auto& item : second[list].GetArray()) pairs[jsonString(item, id)].second = &item;
    for (auto& [name, pair] : pairs) {
        auto path = fmt::format("{}/{}/", list, name);
        auto [left, right] = pair;
        if (left && right) compareMembers(path, *left, *right, members, differences);
        else differences.push_back({path, left ? "known" : "unknown", right ? "known" : "unknown"});
    }
}

auto compareRelays(const rapidjson::Value& first, const rapidjson::Value& second,
    std::vector<Difference>& differences) -> void {
    for (auto& relay : first.GetObject()) {
        auto other = second.FindMember(relay.name);
        auto known = other != second.MemberEnd();
        if (known && other->value == relay.value) continue;
        differences.push_back({std::string("relays/") + relay.name.GetString(), cellText(relay.value),
            known ? cellText(other->value) : "-"});
    }
}

auto askBeliefs(const std::string& node, rapidjson::Document& beliefs) -> bool {
    auto answer = fetchBlocking(node, "GET", "/v1/beliefs", "", {}, ANSWER_LIMIT);
    if (answer && parseJson(answer->body(), beliefs)) return true;
    fmt::print(stderr, "duneturn compare: {}\n", answer ? node + ": not JSON" : answer.error().why);
    return false;
}

auto printJson(const std::vector<Difference>& differences) -> void {
    auto list = std::string();
    for (auto& difference : differences) {
        if (!list.empty()) list += ",";
        list += bodyOf({{"what", jsonQuote(difference.path)}, {"a", jsonQuote(difference.first)},
            {"b", jsonQuote(difference.second)}});
    }
    fmt::print("{{\"differences\":[{}]}}\n", list);
}

auto printText(const rapidjson::Value& first, const rapidjson::Value& second,
    const std::vector<Difference>& differences) -> void {
    fmt::print("{} and {}: {} nodes, {} servers, {} differences\n", jsonString(first, "node"),
        jsonString(second, "node"), first["nodes"].Size(), first["servers"].Size(), differences.size());
    for (auto& difference : differences)
        fmt::print("  {:<36} {:<28} {}\n", difference.path, difference.first, difference.second);
}

}  // namespace

auto compareBeliefs(const rapidjson::Value& first, const rapidjson::Value& second)
    -> std::vector<Difference> {
    auto differences = std::vector<Difference>();
    compareMembers("", first, second,
        {"reign", "generation", "configGeneration", "wordHash", "leader", "empties", "fresh"}, differences);
    compareLists(first, second, "nodes", "node",
        {"boot", "district", "region", "peer", "sender", "operator", "alive", "reign", "generation", "disk",
            "leader", "ready", "settled"},
        differences);
    compareLists(first, second, "servers", "server",
        {"address", "region", "district", "pool", "weights", "state", "generation"}, differences);
    compareRelays(first["relays"], second["relays"], differences);
    return differences;
}

auto compareRun(const std::string& first, const std::string& second, bool json) -> int {
    auto firstBeliefs = rapidjson::Document(), secondBeliefs = rapidjson::Document();
    if (!askBeliefs(first, firstBeliefs) || !askBeliefs(second, secondBeliefs)) return int(Exit::Unreached);
    auto differences = compareBeliefs(firstBeliefs, secondBeliefs);
    if (json) printJson(differences);
    else printText(firstBeliefs, secondBeliefs, differences);
    return int(differences.empty() ? Exit::Done : Exit::Rejected);
}

}  // namespace duneturn
