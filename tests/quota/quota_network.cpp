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
    constexpr auto LONGEST = 20 * SECOND;
    if (random_.chance(longDelay)) return Microseconds(random_.below(LONGEST));
    return leastDelay + Microseconds(random_.below(std::uint64_t(mostDelay - leastDelay + 1)));
}

auto QuotaNetwork::enqueue(int from, int to, const QuotaMessage& message, Microseconds now) -> void {
    underWay_.emplace(now + (from == to ? 0 : delay()), QuotaDelivery{from, to, message});
}

auto QuotaNetwork::send(int from, int to, QuotaMessage message, Microseconds now) -> void {
    if (from != to && (isCut(from, to, now) || random_.chance(loss))) return;
    if (measures && from != to) {
        auto size = std::int64_t(serializedSize(message));
        bytesSent[from] += size;
        bytesReceived[to] += size;
        bytesByKind[message.index()] += size;
        messagesByKind[message.index()]++;
    }
    enqueue(from, to, message, now);
    if (random_.chance(doubled)) enqueue(from, to, message, now);
}

auto QuotaNetwork::receive(Microseconds now) -> std::vector<QuotaDelivery> {
    auto arrived = std::vector<QuotaDelivery>();
    while (!underWay_.empty() && underWay_.begin()->first <= now) {
        auto& delivery = underWay_.begin()->second;
        if (!isCut(delivery.from, delivery.to, now)) arrived.push_back(std::move(delivery));
        underWay_.erase(underWay_.begin());
    }
    return arrived;
}

auto QuotaNetwork::postpone(QuotaDelivery delivery, Microseconds until) -> void {
    underWay_.emplace(until, std::move(delivery));
}

auto QuotaNetwork::cut(int one, int other, Microseconds until) -> void {
    auto& end = cutUntil_[{std::min(one, other), std::max(one, other)}];
    end = std::max(end, until);
}

auto QuotaNetwork::isCut(int one, int other, Microseconds now) const -> bool {
    auto found = cutUntil_.find({std::min(one, other), std::max(one, other)});
    return found != cutUntil_.end() && now < found->second;
}

}  // namespace duneturn
