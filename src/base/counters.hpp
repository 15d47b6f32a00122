#pragma once
// Counters and gauges of one process.
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace duneturn {

/// Counters of one process, by literal name.
struct Counters {
    std::map<std::string, std::int64_t, std::less<>> c;
    auto add(std::string_view name, std::int64_t by = 1) -> void;
    auto set(std::string_view name, std::int64_t value) -> void;
    /// The value of a counter; 0 if it was never set.
    auto get(std::string_view name) const -> std::int64_t;
    /// All of them in Prometheus' text format.
    auto text() const -> std::string;
};

}  // namespace duneturn
