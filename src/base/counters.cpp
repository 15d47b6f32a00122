#include "base/counters.hpp"

#include <cstdint>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace duneturn {

auto Counters::add(std::string_view name, std::int64_t by) -> void {
    auto found = values_.find(name);
    if (found == values_.end()) found = values_.emplace(std::string(name), 0).first;
    found->second += by;
}

auto Counters::set(std::string_view name, std::int64_t value) -> void { values_[std::string(name)] = value; }

auto Counters::get(std::string_view name) const -> std::int64_t {
    auto found = values_.find(name);
    return found == values_.end() ? 0 : found->second;
}

auto Counters::text() const -> std::string {
    auto lines = std::string(), lastFamily = std::string();
    for (auto& [name, value] : values_) {
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
