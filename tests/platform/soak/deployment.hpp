#pragma once
// The nodes of a soak: their addresses and settings, and the signals that they get. The processes themselves
// are started, and started again, by tests/platform/soak.sh, which leaves each one's process id in a file.
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "base/time.hpp"

namespace duneturn::soak {

/// One node of the program.
struct NodePlace {
    std::string name, zone, region, ip;
    bool isCore = false;
};

class Deployment {
  public:
    /// `folder`: for settings, disks, logs and process ids. `ports`: the first of ten free ports.
    Deployment(std::string folder, int ports, int edgesPerZone, Microseconds grace);

    [[nodiscard]] auto nodes() const -> const std::vector<NodePlace>& { return nodes_; }
    [[nodiscard]] auto grace() const -> Microseconds { return grace_; }
    [[nodiscard]] auto clientAddress(std::size_t node) const -> std::string;
    [[nodiscard]] auto controlAddress(std::size_t node) const -> std::string;
    [[nodiscard]] auto readinessAddress(std::size_t node) const -> std::string;
    [[nodiscard]] auto listAddress() const -> std::string;
    [[nodiscard]] auto serverAddress(std::size_t zone, std::size_t server) const -> std::string;
    [[nodiscard]] auto zoneName(std::size_t zone) const -> std::string;

    /// Writes the settings of a node. `bootstrap`: for the first start of all. `revision`: changes the text
    /// only.
    auto writeSettings(std::size_t node, bool bootstrap, int revision) const -> void;
    /// The node's process at the moment, if it runs.
    [[nodiscard]] auto process(std::size_t node) const -> std::optional<pid_t>;

  private:
    [[nodiscard]] auto address(const std::string& ip, int offset) const -> std::string;

    const std::string folder_;
    const int ports_;
    const Microseconds grace_;
    std::vector<NodePlace> nodes_;
};

}  // namespace duneturn::soak
