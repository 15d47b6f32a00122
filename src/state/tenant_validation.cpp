#include "state/tenant_validation.hpp"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <fmt/format.h>

#include "state/configuration_schema.hpp"

namespace duneturn {
namespace {

auto isControl(char character) -> bool {
    constexpr auto FIRST_PRINTABLE = std::uint8_t(0x20);
    constexpr auto DELETE = std::uint8_t(0x7f);
    return std::uint8_t(character) < FIRST_PRINTABLE || std::uint8_t(character) == DELETE;
}

auto headerTextFault(std::string_view text, std::size_t mostBytes) -> std::string {
    if (text.empty()) return "is empty";
    if (text.size() > mostBytes) return fmt::format("is longer than {} bytes", mostBytes);
    if (std::any_of(text.begin(), text.end(), isControl)) return "has control characters";
    if (text.front() == ' ' || text.back() == ' ') return "begins or ends with a blank";
    return "";
}

/// The members of one configuration's tenants, whose keys are compared with each other.
class TenantRules {
  public:
    TenantRules(std::size_t most, std::vector<Fault>& faults) : most_(most), faults_(faults) {}

    auto check(const rapidjson::Value& name, const rapidjson::Value& tenant) -> void {
        auto text = std::string(name.GetString(), name.GetStringLength());
        path_ = "/tenants/" + text;
        if (auto why = tenantNameFault(text); !why.empty()) fault("", std::move(why));
        if (!names_.insert(text).second) fault("", "named twice");
        if (hasSoundShape(tenant)) checkKeys(tenant);
    }
    auto isFull() const -> bool { return faults_.size() >= most_; }

  private:
    auto fault(const std::string& member, std::string why) -> void {
        if (!isFull()) faults_.push_back({path_ + member, std::move(why)});
    }

    /// The compiled schema says whether all is sound; only where it is not, each fault is looked for.
    auto hasSoundShape(const rapidjson::Value& tenant) -> bool {
        static const auto compiled = compileSchema(TENANT_SCHEMA);
        auto validator = rapidjson::SchemaValidator(compiled);
        if (tenant.Accept(validator)) return true;
        for (auto& broken : checkSchema(tenant, TENANT_SCHEMA))
            fault(broken.path == "/" ? "" : broken.path, broken.why);
        return false;
    }

    auto checkKeys(const rapidjson::Value& tenant) -> void {
        auto keys = jsonMember(tenant, "keys");
        if (!keys) return;
        for (auto i = 0U; i < keys->Size(); i++) {
            auto key = std::string_view((*keys)[i].GetString(), (*keys)[i].GetStringLength());
            auto path = fmt::format("/keys/{}", i);
            if (auto why = apiKeyFault(key); !why.empty()) fault(path, std::move(why));
            else if (auto [other, added] = holders_.emplace(key, path_ + path); !added)
                fault(path, "the same key as " + other->second);
        }
    }

    const std::size_t most_;
    std::vector<Fault>& faults_;
    std::string path_;                                           // of the tenant that is checked
    std::unordered_set<std::string> names_;                      // seen so far
    std::unordered_map<std::string_view, std::string> holders_;  // the path of each key
};

}  // namespace

auto tenantNameFault(std::string_view name) -> std::string {
    return headerTextFault(name, MAX_TENANT_NAME_BYTES);
}

auto apiKeyFault(std::string_view key) -> std::string { return headerTextFault(key, MAX_KEY_BYTES); }

auto checkTenants(const rapidjson::Value& tenants, std::size_t most, std::vector<Fault>& faults) -> void {
    if (!tenants.IsObject()) {
        faults.push_back({"/tenants", "breaks \"type\": \"object\""});
        return;
    }
    auto rules = TenantRules(most, faults);
    for (auto& tenant : tenants.GetObject()) {
        if (rules.isFull()) return;
        rules.check(tenant.name, tenant.value);
    }
}

}  // namespace duneturn
