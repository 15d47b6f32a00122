#include "platform/soak/deployment.hpp"

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <signal.h>

#include "base/time.hpp"

namespace duneturn::soak {

namespace {

struct Zone {
    std::string name, region;
};
const auto ZONES = std::vector<Zone>{{"zone-a", "north"}, {"zone-b", "north"}, {"zone-c", "south"}};

// Offsets from the first port.
constexpr auto CLIENT_PORT = 1;
constexpr auto READINESS_PORT = 2;
constexpr auto CONTROL_PORT = 3;
constexpr auto DIRECTORY_PORT = 4;
constexpr auto PEER_PORT = 5;
constexpr auto OPERATOR_PORT = 6;
constexpr auto SERVER_PORT = 7;
constexpr auto LIST_PORT = 8;
/// The last part of the loopback addresses of the first node and of the first server of a zone.
constexpr std::size_t FIRST_NODE = 10;
constexpr std::size_t FIRST_SERVER = 200;

auto ipOf(std::size_t zone, std::size_t host) -> std::string {
    constexpr auto NET = 77;  // 127.77.0.0/16
    return fmt::format("127.{}.{}.{}", NET, zone + 1, host);
}

auto quoted(const std::string& text) -> std::string { return "\"" + text + "\""; }

}  // namespace

Deployment::Deployment(std::string folder, int ports, int edgesPerZone, Microseconds grace)
    : folder_(std::move(folder)), ports_(ports), grace_(grace) {
    for (auto zone = std::size_t(0); zone < ZONES.size(); zone++)
        for (auto i = 0; i <= edgesPerZone; i++)
            nodes_.push_back({fmt::format("{}-{}", ZONES[zone].name, i), ZONES[zone].name, ZONES[zone].region,
                ipOf(zone, FIRST_NODE + std::size_t(i)), i == 0});
}

auto Deployment::address(const std::string& ip, int offset) const -> std::string {
    return fmt::format("{}:{}", ip, ports_ + offset);
}
auto Deployment::clientAddress(std::size_t node) const -> std::string {
    return address(nodes_[node].ip, CLIENT_PORT);
}
auto Deployment::controlAddress(std::size_t node) const -> std::string {
    return address(nodes_[node].ip, CONTROL_PORT);
}
auto Deployment::readinessAddress(std::size_t node) const -> std::string {
    return address(nodes_[node].ip, READINESS_PORT);
}
auto Deployment::listAddress() const -> std::string {
    return address(ipOf(ZONES.size(), FIRST_SERVER), LIST_PORT);
}
auto Deployment::serverAddress(std::size_t zone, std::size_t server) const -> std::string {
    return address(ipOf(zone, FIRST_SERVER + server), SERVER_PORT);
}
auto Deployment::zoneName(std::size_t zone) const -> std::string { return ZONES[zone].name; }

auto Deployment::writeSettings(std::size_t index, bool bootstrap, int revision) const -> void {
    auto& node = nodes_[index];
    auto seeds = std::string();
    auto zones = std::string();
    for (auto& other : nodes_)
        if (other.isCore) seeds += (seeds.empty() ? "" : ",") + quoted(address(other.ip, CONTROL_PORT));
    for (auto& zone : ZONES) zones += fmt::format("{} = {}\n", zone.name, quoted(zone.region));
    auto text = fmt::format(
        "# revision {}\n"
        "NodeName = \"{}\"\nRole = \"node\"\nMachineClass = \"edge\"\n"
        "Serves = [\"edge\",\"control\",\"registry\"]\nIp = \"{}\"\nZone = \"{}\"\nRegion = \"{}\"\n"
        "InternalPorts = [{},{}]\nSeedAddrs = [{}]\nBootstrap = {}\nQuorumMember = {}\n",
        revision, node.name, node.ip, node.zone, node.region, ports_ + PEER_PORT, ports_ + OPERATOR_PORT,
        seeds, bootstrap, node.isCore);
    if (node.isCore) text += fmt::format("DataPath = \"{}/data-{}\"\n", folder_, node.name);
    text += fmt::format(
        "Discovery = \"platform\"\nEntry = \"registry\"\nBeatIntervalMs = 1200\n"
        "Invariants = [\"base\"]\n[Zones]\n{}"
        "[BindAddrs]\nFront = \"{}\"\nReadiness = \"{}\"\nControl = \"{}\"\nDirectory = \"{}\"\n"
        "[Limits]\nCpuFraction = 0.45\nCpuCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n"
        "DiskMb = 64\n[FaultBudget]\nMachines = 1\nZones = 1\nRegions = 0\n",
        zones, clientAddress(index), readinessAddress(index), controlAddress(index),
        address(node.ip, DIRECTORY_PORT));
    text += fmt::format(
        "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 5000\nAckMs = 6000\nCatchUpS = 4\n"
        "DrainMs = 5000\nGraceS = {}\nLossSlackMs = 200\nConfigApplyMs = 3000\nDowngradeSlackMs = 250\n"
        "StretchMaxMs = 8000\nRetryRatio = 0.2\nRetryWindowS = 10\nRetrySlack = 64\nColdOverrun = 1.5\n"
        "ColdSlack = 5\nEvacuateMs = 5000\nRecoveryS = 12\nPassBudgetMs = 600\nttl_max_s = 5\n"
        "[PlatformApi]\nAddress = \"{}\"\nRatePerS = 47.0\nDuties = []\nMaxLagMs = 800\n",
        double(grace_) / double(SECOND), listAddress());
    // Replaced in one step: a node that reads it meanwhile sees the former text.
    auto path = fmt::format("{}/{}.toml", folder_, node.name);
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

auto Deployment::process(std::size_t node) const -> std::optional<pid_t> {
    auto file = std::ifstream(fmt::format("{}/{}.pid", folder_, nodes_[node].name));
    auto id = pid_t(0);
    if (!(file >> id) || id <= 0 || ::kill(id, 0) != 0) return std::nullopt;
    return id;
}

}  // namespace duneturn::soak
