#include "base/settings.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <rapidjson/error/en.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/file.hpp"
#include "base/json.hpp"

namespace duneturn {

namespace {

constexpr auto SETTINGS_SCHEMA = R"({
 "type":"object","additionalProperties":false,
 "required":["node","district","region","peer","sender","operator","seeds"],
 "properties":{
  "node":{"type":"string","pattern":"^[A-Za-z0-9_.-]+$"},
  "district":{"type":"string","minLength":1},"region":{"type":"string","minLength":1},
  "peer":{"type":"string"},"sender":{"type":"string"},"operator":{"type":"string"},
  "data":{"type":"string","minLength":1},
  "seeds":{"type":"array","minItems":1,"items":{"type":"string"}},
  "roster":{"type":"array","items":{"type":"string"}},
  "seats":{"type":"array","items":{"type":"string"}},
  "membership":{"type":"string","enum":["roster","learnt"]},
  "bootstrap":{"type":"boolean"},"outOfTouch":{"type":"string","enum":["deny","serve"]},
  "probes":{"type":"boolean"},"beatUs":{"type":"integer","minimum":50000,"maximum":5000000}
 }})";

auto oneFault(const std::string& path, const std::string& why) -> tl::unexpected<SettingsError> {
    return tl::make_unexpected(SettingsError{{{path, why}}});
}

/// The settings file as a document; an empty one without a file.
auto readDocument(const std::string& file, rapidjson::Document& document)
    -> tl::expected<void, SettingsError> {
    document.SetObject();
    if (file.empty()) return {};
    auto text = readFile(file);
    if (!text) return oneFault("--settings", text.error());
    if (!parseJson(*text, document)) {
        auto why = document.HasParseError() ? rapidjson::GetParseError_En(document.GetParseError())
                                            : "nested too deep";
        return oneFault(
            "--settings", fmt::format("{}: not JSON: {} at byte {}", file, why, document.GetErrorOffset()));
    }
    if (!document.IsObject()) return oneFault("--settings", "wants a JSON object");
    return {};
}

/// A flag's text as the value of its field.
auto flagValue(const std::string& name, const std::string& text,
    rapidjson::Document::AllocatorType& allocator) -> rapidjson::Value {
    constexpr auto MAX_DIGITS = std::size_t(9);
    if (name == "seeds" || name == "roster" || name == "seats") {
        auto list = rapidjson::Value(rapidjson::kArrayType);
        auto stream = std::stringstream(text);
        for (auto item = std::string(); std::getline(stream, item, ',');)
            list.PushBack(rapidjson::Value(item, allocator), allocator);
        return list;
    }
    if ((name == "bootstrap" || name == "probes") && (text == "true" || text == "false"))
        return rapidjson::Value(text == "true");
    auto isNumber = !text.empty() && text.size() <= MAX_DIGITS
        && text.find_first_not_of("0123456789") == std::string::npos;
    if (name == "beatUs" && isNumber) return rapidjson::Value(std::int64_t(std::stoll(text)));
    return rapidjson::Value(text, allocator);
}

auto applyFlags(const std::map<std::string, std::string>& flags, rapidjson::Document& document) -> void {
    auto& allocator = document.GetAllocator();
    for (auto& [name, text] : flags) {
        document.RemoveMember(name);
        document.AddMember(rapidjson::Value(name, allocator), flagValue(name, text, allocator), allocator);
    }
}

auto checkAddresses(const rapidjson::Value& document, std::vector<Fault>& faults) -> void {
    for (auto name : {"peer", "sender", "operator"}) {
        auto member = jsonMember(document, name);
        if (!member || !member->IsString()) continue;
        if (auto address = parseAddress(member->GetString()); !address)
            faults.push_back({std::string("/") + name, address.error()});
    }
    auto number = 0;
    for (auto& seed : jsonStrings(document, "seeds")) {
        if (auto address = parseAddress(seed); !address)
            faults.push_back({fmt::format("/seeds/{}", number), address.error()});
        number++;
    }
}

auto settingsOf(const rapidjson::Value& document) -> Settings {
    auto settings = Settings();
    settings.node = jsonString(document, "node");
    settings.zone = jsonString(document, "district");
    settings.region = jsonString(document, "region");
    settings.peer = jsonString(document, "peer");
    settings.clientAddress = jsonString(document, "sender");
    settings.operatorAddress = jsonString(document, "operator");
    settings.data = jsonString(document, "data");
    settings.seeds = jsonStrings(document, "seeds");
    settings.roster = jsonStrings(document, "roster");
    settings.initialVoters = jsonStrings(document, "seats");
    settings.gossip = jsonString(document, "membership") == "learnt";
    settings.bootstrap = jsonBool(document, "bootstrap");
    settings.serveOn = jsonString(document, "outOfTouch") == "serve";
    settings.probes = jsonBool(document, "probes", true);
    settings.heartbeat = jsonInteger(document, "beatUs");
    return settings;
}

/// What the settings say of the membership must fit together.
auto checkMembership(const Settings& settings, std::vector<Fault>& faults) -> void {
    // Acknowledgements rest on the roster's leases there: none may go on without one.
    if (!settings.gossip && settings.serveOn)
        faults.push_back({"/outOfTouch", "wants \"membership\": \"learnt\""});
    if (!settings.gossip && settings.bootstrap)
        faults.push_back({"/bootstrap", "wants \"membership\": \"learnt\""});
    if (settings.gossip && !(settings.roster.empty() && settings.initialVoters.empty()))
        faults.push_back({"/membership", "a learnt membership takes no roster and no seats"});
    if (settings.roster.empty()) return;
    for (auto& voter : settings.initialVoters)
        if (std::find(settings.roster.begin(), settings.roster.end(), voter) == settings.roster.end())
            faults.push_back({"/seats", voter + " is not on the roster"});
}

}  // namespace

auto readSettings(const std::string& file, const std::map<std::string, std::string>& flags)
    -> tl::expected<Settings, SettingsError> {
    auto document = rapidjson::Document();
    if (auto read = readDocument(file, document); !read) return tl::make_unexpected(read.error());
    applyFlags(flags, document);
    auto faults = checkSchema(document, SETTINGS_SCHEMA);
    checkAddresses(document, faults);
    auto settings = settingsOf(document);
    settings.file = file;
    checkMembership(settings, faults);
    if (!faults.empty()) return tl::make_unexpected(SettingsError{faults});
    return settings;
}

}  // namespace duneturn
