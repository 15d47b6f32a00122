#pragma once
// Counters and gauges of one process, published on its operators' port in the text format of Prometheus.
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace duneturn {

/// Counters and gauges by name. A name that ends in `_total` is a counter, any other a gauge; labels stand
/// behind the name in braces, as in Prometheus. Not safe for use from several threads.
class Counters {
  public:
    auto add(std::string_view name, std::int64_t by = 1) -> void;
    auto set(std::string_view name, std::int64_t value) -> void;
    /// The value of a counter; 0 if it was never set.
    [[nodiscard]] auto get(std::string_view name) const -> std::int64_t;
    /// All values, in order of names.
    [[nodiscard]] auto values() const -> const std::map<std::string, std::int64_t, std::less<>>& {
        return values_;
    }
    /// All values in the text exposition format of Prometheus, each name with the prefix "duneturn_".
    [[nodiscard]] auto text() const -> std::string;

  private:
    std::map<std::string, std::int64_t, std::less<>> values_;
};

}  // namespace duneturn
