// Counters of a process, and their text for Prometheus.
#include "base/counters.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace duneturn {

auto Counters::add(std::string_view n, std::int64_t k) -> void {
    auto found = c.find(n);
    if (found == c.end()) found = c.emplace(std::string(n), 0).first;
    found->second += k;
}

auto Counters::set(std::string_view n, std::int64_t k) -> void { c[std::string(n)] = k; }

auto Counters::get(std::string_view n) const -> std::int64_t {
    auto found = c.find(n);
    return found == c.end() ? 0 : found->second;
}

auto Counters::text() const -> std::string {
    auto lines = std::string(), lastFamily = std::string();
    for (auto& [name, value] : c) {
        auto family = name.substr(0, name.find('{'));
        if (family != lastFamily)
            lines += fmt::format(
                "# TYPE duneturn_{} {}\n", family, family.ends_with("_total") ? "counter" : "gauge");
        lastFamily = family;
        lines += fmt::format("duneturn_{} {}\n", name, value);
    }
    return lines;
}

}  // namespace duneturn
