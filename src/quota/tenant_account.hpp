#pragma once
// One tenant's part of a node's account: its tokens, in counts that rise within the granter's term. Logic
// only.
#include <cstdint>

#include "base/time.hpp"
#include "quota/demand_estimate.hpp"
#include "wire_types.h"

namespace duneturn {

/// Tokens are free, reserved by a request, spent or returned:
/// free + reserved = carried + granted - spent - returned.
class TenantAccount {
  public:
    bool limited = false;
    std::int64_t waiting = 0;       ///< Requests that wait for a token.
    std::int64_t lease = 0;         ///< The number under which tokens are reserved now.
    Microseconds refusedUntil = 0;  ///< Requests are rejected without asking the granter.

    [[nodiscard]] auto available() const -> std::int64_t { return free_; }
    [[nodiscard]] auto held() const -> std::int64_t { return free_ + reserved_; }
    [[nodiscard]] auto spent() const -> std::int64_t { return spent_; }
    /// Rises with each change that a report has to name.
    [[nodiscard]] auto version() const -> std::int64_t { return version_; }

    auto noteRequest(Microseconds now) -> void { demand_.noteRequest(now); }
    /// A free token is reserved; false if there is none.
    auto reserve() -> bool;
    auto spend() -> void;
    auto release() -> void;
    /// All tokens are returned, reserved ones too.
    auto voidTokens() -> void;
    /// Returns what no request needs, and counts what is wanted.
    auto adjustStock(Microseconds now) -> void;
    [[nodiscard]] auto use() const -> wire::QuotaUse;
    /// A report was answered that named this version and so many spends.
    auto acknowledge(std::int64_t version, std::int64_t spent) -> void;
    /// Whether a report has to name this tenant.
    [[nodiscard]] auto hasNews() const -> bool { return waiting > 0 || version_ > answeredVersion_; }
    auto take(const wire::QuotaAllowance& allowance, Microseconds now) -> void;
    /// The tokens held, and spends without an answer, are brought along into a new term.
    auto beginTerm(bool forgetCarried) -> void;

  private:
    auto returnFree(std::int64_t tokens) -> void;
    auto noteWanted(std::int64_t wanted, Microseconds now) -> void;

    std::int64_t carried_ = 0, granted_ = 0, spent_ = 0, returned_ = 0;
    std::int64_t free_ = 0, reserved_ = 0;
    std::int64_t acknowledgedSpent_ = 0;
    std::int64_t version_ = 0, answeredVersion_ = 0;
    std::int64_t wanted_ = 0;
    Microseconds wantedAt_ = 0;  // when that was last to be sent
    Microseconds surplusSince_ = 0, scarceUntil_ = 0;
    DemandEstimate demand_;
};

}  // namespace duneturn
