// Reads the example deployment that is simulated: its nodes, servers, configuration and load.
#include <algorithm>
#include <cstdint>
#include <dirent.h>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/file.hpp"
#include "base/json.hpp"
#include "base/settings.hpp"
#include "sim/simulation.hpp"
#include "state/configuration_validation.hpp"

namespace duneturn {

namespace {

constexpr auto MIN_NODES = std::size_t(3);
constexpr auto PROBE_RATE_PER_SECOND = 20;
constexpr auto FIRST_PROBE_PORT = 30000;

}  // namespace

auto Simulation::loadNodes() -> std::string {
    auto folder = options.example + "/nodes";
    auto directory = opendir(folder.c_str());
    if (!directory) return folder + ": cannot be read";
    auto files = std::vector<std::string>();
    while (auto entry = readdir(directory))
        if (std::string name = entry->d_name; name.ends_with(".json"))
            files.push_back(fmt::format("{}/{}", folder, name));
    closedir(directory);
    std::sort(files.begin(), files.end());
    if (files.size() < MIN_NODES) return folder + ": needs at least three settings files";
    for (auto& file : files) {
        auto settings = readSettings(file, {});
        if (!settings) {
            auto& fault = settings.error().faults[0];
            return file + ": " + fault.path + ": " + fault.why;
        }
        auto machine = std::make_unique<SimMachine>(*this, int(machines.size()));
        machine->settings = *settings;
        machine->core = !settings->data.empty();
        machine->monotonicOffset = Microseconds(random.below(1000)) * 1000 * SECOND;
        machine->wallClockOffset = WALL_CLOCK_START + Microseconds(random.below(SECOND)) - SECOND / 2;
        machineByAddress[settings->peer] = machine->index;
        machines.push_back(std::move(machine));
    }
    partitions.assign(machines.size(), std::vector<int>(machines.size(), 0));
    return "";
}

auto Simulation::loadServers(const rapidjson::Value& listing) -> void {
    for (auto& entry : listing["servers"].GetArray()) {
        auto server = SimServer();
        server.name = jsonString(entry, "name");
        server.address = jsonString(entry, "address");
        server.region = jsonString(entry, "region");
        server.zone = jsonString(entry, "district");
        server.service = jsonString(entry, "pool");
        server.weights = jsonString(entry, "weights");
        server.slots = int(jsonInteger(entry, "slots", 8));
        servers.push_back(server);
    }
    for (auto i = 0; i < PROBE_SERVICES; i++) {
        auto server = SimServer();
        server.name = fmt::format("probe-{}", i);
        server.address = fmt::format("127.0.0.1:{}", FIRST_PROBE_PORT + i);
        server.region = regions[0];
        server.zone = "probes";
        server.service = server.name;
        server.weights = "w1";
        server.slots = 64;
        servers.push_back(server);
    }
    for (auto i = std::size_t(0); i < servers.size(); i++) serverByAddress[servers[i].address] = int(i);
}

auto Simulation::loadKinds(const rapidjson::Value& day) -> void {
    for (auto& entry : day["kinds"].GetArray()) {
        auto kind = SimRequestKind();
        static_cast<DayKind&>(kind) = dayKind(entry);
        kinds.push_back(kind);
    }
    auto probe = SimRequestKind();
    probe.name = "probe";
    probe.method = "POST";
    probe.path = "/probe";
    probe.rate = PROBE_RATE_PER_SECOND / options.scale;
    probe.plain = probe.probe = true;
    kinds.push_back(probe);
}

auto Simulation::loadExample() -> std::string {
    if (auto error = loadNodes(); !error.empty()) return error;
    auto listingText = readFile(options.example + "/servers.json");
    auto configurationText = readFile(options.example + "/config.json");
    auto dayText = readFile(options.example + "/day.json");
    auto listing = rapidjson::Document(), configuration = rapidjson::Document(), day = rapidjson::Document();
    if (!listingText || !parseJson(*listingText, listing) || !listing.IsObject()
        || !listing.HasMember("servers"))
        return options.example + "/servers.json: no listing";
    if (!configurationText || !parseJson(*configurationText, configuration)
        || !validateConfiguration(configuration).empty())
        return options.example + "/config.json: no valid configuration";
    if (!dayText || !parseJson(*dayText, day) || !day.IsObject() || !day.HasMember("kinds"))
        return options.example + "/day.json: no description of a day";
    exampleConfiguration = *configurationText;
    regions = jsonStrings(day, "regions");
    loadServers(listing);
    loadKinds(day);
    return "";
}

}  // namespace duneturn
