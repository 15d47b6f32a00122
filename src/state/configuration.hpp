#pragma once
// The configuration as the replicated state holds it: read once, never changed, and shared by every state
// that has it (a copy of a state costs no copy of its configuration).
#include <cstdint>
#include <memory>

#include "base/json.hpp"
#include "base/json_digest.hpp"
#include "state/json_fragment.hpp"
#include "state/tenants.hpp"

namespace duneturn {

class Configuration {
  public:
    /// A configuration without routes, as a new cluster has it.
    static auto empty() -> std::shared_ptr<const Configuration>;
    /// A copy of a JSON object, which the caller has validated.
    explicit Configuration(const rapidjson::Value& configuration)
        : document_(configuration, JsonFragment::Length::Long),
          digest_(jsonDigest(json())),
          tenants_(json()) {}

    [[nodiscard]] auto json() const -> const rapidjson::Value& { return document_.value(); }
    /// The operator's own document and its version; null if the configuration names none.
    [[nodiscard]] auto origin() const -> const rapidjson::Value* { return jsonMember(json(), "origin"); }
    /// jsonDigest of json().
    [[nodiscard]] auto digest() const -> std::uint64_t { return digest_; }
    [[nodiscard]] auto tenants() const -> const TenantTable& { return tenants_; }
    /// The version that the operator's own document bears; 0 if there is none.
    [[nodiscard]] auto documentVersion() const -> std::int64_t;

  private:
    JsonFragment document_;
    std::uint64_t digest_;
    TenantTable tenants_;
};

}  // namespace duneturn
