#pragma once
// The soak's operator: keeps changing the configuration, and has every change acknowledged.
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/random.hpp"
#include "net/http.hpp"
#include "platform/soak/deployment.hpp"

namespace duneturn::soak {

/// The status of one HTTP call; 0 if no answer came in time.
[[nodiscard]] auto callStatus(asio::io_context& context, std::string address, std::string method,
    std::string target, std::string ifMatch, std::string body) -> asio::awaitable<int>;

class OperatorCalls {
  public:
    OperatorCalls(asio::io_context& context, const Deployment& deployment, std::uint64_t seed)
        : context_(context), deployment_(deployment), random_{seed} {}

    /// Sends a configuration that differs from the last one until it is acknowledged; one change at a time.
    auto changeConfiguration() -> asio::awaitable<void>;
    [[nodiscard]] auto changing() const -> bool { return changing_; }
    [[nodiscard]] auto acknowledged() const -> int { return acknowledged_; }

  private:
    [[nodiscard]] auto configuration() const -> std::string;

    asio::io_context& context_;
    const Deployment& deployment_;
    RandomSource random_;
    int version_ = 0;
    int acknowledged_ = 0;
    bool changing_ = false;
};

}  // namespace duneturn::soak
