#pragma once
// The network of a simulated world of quotas: messages are lost, doubled, delayed and overtake each other.
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.hpp"
#include "base/time.hpp"
#include "wire_types.h"

namespace duneturn {

using QuotaMessage = std::variant<wire::QuotaReport, wire::QuotaGrant, wire::QuotaImage,
    wire::QuotaImageReply, wire::QuotaImageRequest, wire::QuotaImageAnswer>;

struct QuotaDelivery {
    int from = 0, to = 0;
    QuotaMessage message;
};

/// The size of a message as it crosses the wire between nodes.
[[nodiscard]] auto serializedSize(const QuotaMessage& message) -> std::size_t;

class QuotaNetwork {
  public:
    explicit QuotaNetwork(RandomSource& random) : random_(random) {}

    auto send(int from, int to, QuotaMessage message, Microseconds now) -> void;
    /// What arrives until now, in the order of its arrival.
    auto receive(Microseconds now) -> std::vector<QuotaDelivery>;
    /// Holds a message back until a later time.
    auto postpone(QuotaDelivery delivery, Microseconds until) -> void;
    auto cut(int one, int other, Microseconds until) -> void;
    [[nodiscard]] auto isCut(int one, int other, Microseconds now) const -> bool;

    double loss = 0, doubled = 0, longDelay = 0;
    Microseconds leastDelay = 1 * MILLISECOND, mostDelay = 60 * MILLISECOND;
    bool measures = false;
    std::map<int, std::int64_t> bytesSent, bytesReceived;             // by node
    std::map<std::size_t, std::int64_t> bytesByKind, messagesByKind;  // by the index in QuotaMessage

  private:
    auto enqueue(int from, int to, const QuotaMessage& message, Microseconds now) -> void;
    [[nodiscard]] auto delay() -> Microseconds;

    RandomSource& random_;
    std::multimap<Microseconds, QuotaDelivery> underWay_;
    std::map<std::pair<int, int>, Microseconds> cutUntil_;
};

}  // namespace duneturn
