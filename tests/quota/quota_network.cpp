#include "quota/quota_network.hpp"

#include <algorithm>
#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace duneturn {

auto serializedSize(const QuotaMessage& message) -> std::size_t {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol =
        apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>(buffer);
    std::visit([&](auto& content) { content.write(&protocol); }, message);
    return buffer->available_read();
}

auto QuotaNetwork::delay() -> Microseconds {
    constexpr auto MAX_LONG_DELAY = 20 * SECOND;
    if (random_.chance(longDelayProbability)) return Microseconds(random_.below(MAX_LONG_DELAY));
    return minDelay + Microseconds(random_.below(std::uint64_t(maxDelay - minDelay + 1)));
}

auto QuotaNetwork::enqueue(int from, int to, const QuotaMessage& message, Microseconds now) -> void {
    inFlight_.emplace(now + (from == to ? 0 : delay()), QuotaDelivery{from, to, message});
}

auto QuotaNetwork::send(int from, int to, QuotaMessage message, Microseconds now) -> void {
    if (from != to && (isPartitioned(from, to, now) || random_.chance(lossProbability))) return;
    if (measuresTraffic && from != to) {
        auto size = std::int64_t(serializedSize(message));
        bytesSent[from] += size;
        bytesReceived[to] += size;
        bytesByType[message.index()] += size;
        messagesByType[message.index()]++;
    }
    enqueue(from, to, message, now);
    if (random_.chance(duplicateProbability)) enqueue(from, to, message, now);
}

auto QuotaNetwork::receive(Microseconds now) -> std::vector<QuotaDelivery> {
    auto arrived = std::vector<QuotaDelivery>();
    while (!inFlight_.empty() && inFlight_.begin()->first <= now) {
        auto& delivery = inFlight_.begin()->second;
        if (!isPartitioned(delivery.from, delivery.to, now)) arrived.push_back(std::move(delivery));
        inFlight_.erase(inFlight_.begin());
    }
    return arrived;
}

auto QuotaNetwork::postpone(QuotaDelivery delivery, Microseconds until) -> void {
    inFlight_.emplace(until, std::move(delivery));
}

auto QuotaNetwork::partition(int one, int other, Microseconds until) -> void {
    auto& end = partitionedUntil_[{std::min(one, other), std::max(one, other)}];
    end = std::max(end, until);
}

auto QuotaNetwork::isPartitioned(int one, int other, Microseconds now) const -> bool {
    auto found = partitionedUntil_.find({std::min(one, other), std::max(one, other)});
    return found != partitionedUntil_.end() && now < found->second;
}

}  // namespace duneturn
