#include "state/tenants.hpp"

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "base/hash.hpp"

namespace duneturn {
namespace {

auto hashSecret() -> std::uint64_t {
    static const auto secret = [] {
        auto device = std::random_device();
        return std::uint64_t(device()) << 32 | device();
    }();
    return secret;
}

/// Takes the same time wherever the texts differ.
auto equalInConstantTime(std::string_view one, std::string_view other) -> bool {
    if (one.size() != other.size()) return false;
    auto difference = 0U;
    for (auto i = std::size_t(0); i < one.size(); i++)
        difference |= unsigned(std::uint8_t(one[i]) ^ std::uint8_t(other[i]));
    return difference == 0;
}

auto readBounds(const rapidjson::Value& configuration) -> QuotaBounds {
    auto bounds = QuotaBounds();
    auto quota = jsonMember(configuration, "quota");
    if (!quota) return bounds;
    bounds.window = jsonInteger(*quota, "windowUs", bounds.window);
    bounds.overrun = jsonNumber(*quota, "overrun", bounds.overrun);
    bounds.slack = jsonNumber(*quota, "slack", bounds.slack);
    return bounds;
}

}  // namespace

TenantTable::TenantTable(const rapidjson::Value& configuration) : bounds_(readBounds(configuration)) {
    auto tenants = jsonMember(configuration, "tenants");
    if (!tenants || !tenants->IsObject()) return;
    needsKeys_ = true;
    for (auto& member : tenants->GetObject())
        addTenant({member.name.GetString(), member.name.GetStringLength()}, member.value);
}

auto TenantTable::addTenant(std::string name, const rapidjson::Value& value) -> void {
    auto& tenant = tenants_[name];
    tenant.name = name;
    tenant.rank = int(jsonInteger(value, "rank"));
    tenant.ratePerSecond = jsonNumber(value, "ratePerS");
    tenant.burst = jsonNumber(value, "burst");
    tenant.homes = jsonStrings(value, "homes");
    for (auto& key : jsonStrings(value, "keys")) {
        auto hash = hash64(key, hashSecret());
        keys_.emplace(hash, Key{std::move(key), name});
    }
}

auto TenantTable::findByKey(std::string_view key) const -> const Tenant* {
    auto [first, last] = keys_.equal_range(hash64(key, hashSecret()));
    for (auto entry = first; entry != last; ++entry)
        if (equalInConstantTime(entry->second.text, key)) return find(entry->second.tenant);
    return nullptr;
}

auto TenantTable::keysWithdrawnBy(const TenantTable& newer) const -> std::map<std::string, std::size_t> {
    auto withdrawn = std::map<std::string, std::size_t>();
    for (auto& [hash, key] : keys_) {
        auto holder = newer.findByKey(key.text);
        if (!holder || holder->name != key.tenant) withdrawn[key.tenant]++;
    }
    return withdrawn;
}

auto TenantTable::find(std::string_view name) const -> const Tenant* {
    auto found = tenants_.find(name);
    return found == tenants_.end() ? nullptr : &found->second;
}

}  // namespace duneturn
