#pragma once
// Which zones are evacuated, and the revision of each zone: a fencing token. A command that names the
// revision it was based on is void once the zone has changed.
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// What the state holds of one zone.
struct ZoneState {
    bool evacuated = false;
    /// The state's version at the zone's last change. Of a zone that is not remembered it is a bound: it
    /// has not changed since.
    std::int64_t revision = 0;
};

/// Numbers by zone, in an order that is part of the stored text: a new zone comes last, and the last one
/// takes the place of one that is removed.
class ZoneTable {
  public:
    struct Entry {
        std::string zone;
        std::int64_t number = 0;
    };

    [[nodiscard]] auto entries() const -> const std::vector<Entry>& { return entries_; }
    [[nodiscard]] auto find(const std::string& zone) const -> std::optional<std::int64_t>;
    auto append(const std::string& zone, std::int64_t number) -> void { entries_.push_back({zone, number}); }
    auto remove(const std::string& zone) -> void;
    /// Removes the entry with the smallest number, keeps the order of the others, and gives that number.
    auto removeSmallest() -> std::int64_t;

  private:
    std::vector<Entry> entries_;
};

class Evacuations {
  public:
    static constexpr auto ZONES = std::size_t(1024);  // zones whose revision is remembered one by one

    Evacuations() = default;
    /// As stored: since when zones are evacuated, revisions, and a bound of those that are forgotten.
    Evacuations(ZoneTable evacuated, ZoneTable revisions, std::int64_t revisionFloor);

    [[nodiscard]] auto zone(const std::string& name) const -> ZoneState;
    /// `since`: calendar time of the command; `revision`: the state's version that it makes.
    auto set(const std::string& name, bool evacuated, Microseconds since, std::int64_t revision) -> void;

    /// The evacuated zones, with the calendar time since when they are.
    [[nodiscard]] auto evacuated() const -> const ZoneTable& { return evacuated_; }
    [[nodiscard]] auto revisions() const -> const ZoneTable& { return revisions_; }
    [[nodiscard]] auto revisionFloor() const -> std::int64_t { return revisionFloor_; }

  private:
    ZoneTable evacuated_;
    ZoneTable revisions_;
    std::int64_t revisionFloor_ = 0;
};

}  // namespace duneturn
