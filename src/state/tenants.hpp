#pragma once
// The tenants of a configuration: whose requests a key marks, and what each tenant may use.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/json.hpp"
#include "base/time.hpp"

namespace duneturn {

struct Tenant {
    std::string name;
    int rank = 0;                    ///< 0 goes first; before the urgency of a route.
    double ratePerSecond = 0;        ///< Requests a second over all nodes together; 0: no limit.
    double burst = 0;                ///< Requests beyond that.
    std::vector<std::string> homes;  ///< Regions whose servers alone may be used; empty: any.
    [[nodiscard]] auto isLimited() const -> bool { return ratePerSecond > 0; }
};

/// How exactly tenants' limits have to be kept, over all nodes, in touch with each other or not: in any
/// `window` at most (rate x window + burst) x (1 + overrun) + slack requests of a tenant run.
struct QuotaBounds {
    Microseconds window = 5 * SECOND;
    double overrun = 0.1;
    double slack = 20;
};

/// The tenants of one configuration, never changed. Keys are found by a hash under a secret of the process
/// and compared in constant time, so that the time of a look-up says nothing of the keys.
class TenantTable {
  public:
    using Tenants = std::map<std::string, Tenant, std::less<>>;

    /// Without tenants, as of a configuration that has none.
    TenantTable() = default;
    /// The tenants of a configuration that validateConfiguration found sound.
    explicit TenantTable(const rapidjson::Value& configuration);

    /// Whether the configuration has tenants, so that requests need a key.
    [[nodiscard]] auto needsKeys() const -> bool { return needsKeys_; }
    /// The tenant that holds a key; null if none does.
    [[nodiscard]] auto findByKey(std::string_view key) const -> const Tenant*;
    [[nodiscard]] auto find(std::string_view name) const -> const Tenant*;
    /// How many keys of each tenant, by its name, no longer stand for it in `newer`; tenants that keep theirs
    /// are left out.
    [[nodiscard]] auto keysWithdrawnBy(const TenantTable& newer) const -> std::map<std::string, std::size_t>;
    [[nodiscard]] auto all() const -> const Tenants& { return tenants_; }
    [[nodiscard]] auto bounds() const -> const QuotaBounds& { return bounds_; }

  private:
    struct Key {
        std::string text, tenant;
    };
    auto addTenant(std::string name, const rapidjson::Value& value) -> void;

    bool needsKeys_ = false;
    Tenants tenants_;
    std::unordered_multimap<std::uint64_t, Key> keys_;  // by their keyed hash
    QuotaBounds bounds_;
};

}  // namespace duneturn
