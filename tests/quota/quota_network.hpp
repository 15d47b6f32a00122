#pragma once
// The simulated network of the quota tests: messages are lost, duplicated, delayed and reordered, and links
// are partitioned.
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

/// A message on its way between two nodes, which are identified by their index.
struct QuotaDelivery {
    int from = 0, to = 0;
    QuotaMessage message;
};

/// The size in bytes of a message as it is sent between nodes.
[[nodiscard]] auto serializedSize(const QuotaMessage& message) -> std::size_t;

/// A network over virtual time. Messages of a node to itself arrive without delay or loss.
class QuotaNetwork {
  public:
    /// `random` must outlive the network.
    explicit QuotaNetwork(RandomSource& random) : random_(random) {}

    auto send(int from, int to, QuotaMessage message, Microseconds now) -> void;
    /// Removes and returns the messages that have arrived by `now`, in order of arrival.
    auto receive(Microseconds now) -> std::vector<QuotaDelivery>;
    /// Delivers a received message again at `until`.
    auto postpone(QuotaDelivery delivery, Microseconds until) -> void;
    /// Partitions two nodes from each other until `until`, or until the end of a longer partition.
    auto partition(int one, int other, Microseconds until) -> void;
    [[nodiscard]] auto isPartitioned(int one, int other, Microseconds now) const -> bool;

    double lossProbability = 0, duplicateProbability = 0;
    double longDelayProbability = 0;  ///< Of a delay of up to 20 s.
    Microseconds minDelay = 1 * MILLISECOND, maxDelay = 60 * MILLISECOND;
    bool measuresTraffic = false;                                     ///< Fills the counters below.
    std::map<int, std::int64_t> bytesSent, bytesReceived;             // by node
    std::map<std::size_t, std::int64_t> bytesByType, messagesByType;  // by the index in QuotaMessage

  private:
    auto enqueue(int from, int to, const QuotaMessage& message, Microseconds now) -> void;
    [[nodiscard]] auto delay() -> Microseconds;

    RandomSource& random_;
    std::multimap<Microseconds, QuotaDelivery> inFlight_;           // by time of arrival
    std::map<std::pair<int, int>, Microseconds> partitionedUntil_;  // by the lower and the higher node
};

}  // namespace duneturn
