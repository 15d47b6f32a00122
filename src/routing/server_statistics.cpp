#include "routing/server_statistics.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "routing/headers.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

constexpr auto FIRST_BYTE_SMOOTHING = ExponentialSmoothing{0.8, 0.2};
constexpr auto EVENT_GAP_SMOOTHING = ExponentialSmoothing{0.9, 0.1};
constexpr auto REQUEST_DURATION_SMOOTHING = ExponentialSmoothing{0.95, 0.05};
constexpr auto UNSHARED_TOKENS_SMOOTHING = ExponentialSmoothing{0.98, 0.02};
// Each new request multiplies the weight of earlier ones by this factor, so that the last few hundred count.
constexpr auto RECENT_REQUESTS_DECAY = 0.995;
constexpr auto OTHER_REQUESTS_WEIGHT = 0.05;  // of a new sample of other nodes' requests
// Larger numbers in a load header are clamped to this.
constexpr auto MAX_REPORTED_REQUESTS = std::int64_t(1 << 20);
constexpr auto MAX_COLD_TIME_MS = std::int64_t(3600000);  // an hour; longer remaining cold times are clamped
// A server counts as silent after five times its usual time to the first byte, but not before this time.
constexpr auto MIN_SILENCE = 400 * MILLISECOND;
constexpr auto SILENCE_FACTOR = 5;
// Lower bound of the request duration by which the decay of other nodes' requests is estimated.
constexpr auto MIN_REQUEST_DURATION = 20 * MILLISECOND;
constexpr auto MIN_MEDIAN_SAMPLES = std::size_t(3);

}  // namespace

auto ServerStatistics::isSilent(Microseconds now) const -> bool {
    return inflight > 0 && unansweredSince > lastReceivedAt
        && double(now - unansweredSince) > std::max(double(MIN_SILENCE), SILENCE_FACTOR * firstByteTime);
}

auto ServerStatistics::recordFirstByte(Microseconds taken) -> void {
    firstByteTime = FIRST_BYTE_SMOOTHING.next(firstByteTime, double(taken));
}

auto ServerStatistics::recordEventGap(Microseconds gap) -> void {
    eventGap = EVENT_GAP_SMOOTHING.next(eventGap, double(gap));
}

auto ServiceStatistics::recordRequestDuration(Microseconds taken) -> void {
    requestDuration = REQUEST_DURATION_SMOOTHING.next(requestDuration, double(taken));
}

auto ServiceStatistics::recordUnsharedTokens(std::int64_t tokens) -> void {
    unsharedTokens = UNSHARED_TOKENS_SMOOTHING.next(unsharedTokens, double(tokens));
}

auto ServiceStatistics::recordRequest(const std::string& region) -> void {
    recentRequests = recentRequests * RECENT_REQUESTS_DECAY + 1;
    for (auto& [name, requests] : singleRegionRequests) requests *= RECENT_REQUESTS_DECAY;
    if (!region.empty()) singleRegionRequests[region] += 1;
}

auto ServiceStatistics::recordOtherNodesRequests(double requests) -> void {
    // The first sample replaces the initial 0, which is a valid value here, unlike in ExponentialSmoothing.
    otherNodesRequests += (loadReports++ ? OTHER_REQUESTS_WEIGHT : 1) * (requests - otherNodesRequests);
}

auto ServerStatisticsTable::find(const std::string& server) const -> const ServerStatistics* {
    auto found = servers_.find(server);
    return found == servers_.end() ? nullptr : &found->second;
}

auto ServerStatisticsTable::reportedLoad(const std::string& name, const KnownServer& server) -> double {
    auto& statistics = of(name);
    if (server.loadReadAt > statistics.gossipLoadAt) {
        statistics.gossipLoadAt = server.loadReadAt;
        statistics.inflightAtGossipLoad = statistics.inflight;
    }
    auto ownRequests = double(statistics.inflight);
    if (!server.loadReadAt) return ownRequests;
    return std::max(ownRequests,
        double(server.load.prefill + server.load.decode + statistics.inflight
            - statistics.inflightAtGossipLoad));
}

auto ServerStatisticsTable::load(const std::string& name, const KnownServer& server, Microseconds now)
    -> double {
    auto& statistics = of(name);
    auto ownRequests = double(statistics.inflight);
    if (server.loadReadAt > statistics.loadHeaderAt) return reportedLoad(name, server);
    auto& service = ofService(server.listing.serviceName);
    if (!statistics.loadHeaderAt) return ownRequests + service.otherNodesRequests;
    auto othersAtHeader =
        double(std::max(0, statistics.running + statistics.waiting - statistics.inflightAtLoadHeader));
    auto age = double(now - statistics.loadHeaderAt);
    // The fraction of the requests reported by the header that are still running; those that have ended are
    // replaced by the service's average.
    auto remaining = std::exp(-age / std::max(service.requestDuration, double(MIN_REQUEST_DURATION)));
    auto expected = ownRequests + othersAtHeader * remaining + service.otherNodesRequests * (1 - remaining);
    auto trust = age <= double(LOAD_TRUST_DURATION)
        ? 1
        : std::max(0.0, 1 - (age - double(LOAD_TRUST_DURATION)) / double(2 * LOAD_TRUST_DURATION));
    return ownRequests + (expected - ownRequests) * trust;
}

auto ServerStatisticsTable::slots(const std::string& name, const KnownServer& server, const ServiceRule& rule)
    -> int {
    if (auto reportedSlots = of(name).slots) return std::max(1, reportedSlots);
    return std::max(1, server.listing.slots ? int(server.listing.slots) : rule.slots);
}

auto ServerStatisticsTable::median(const std::string& service, double ServerStatistics::*statistic) const
    -> double {
    auto values = std::vector<double>();
    for (auto& [name, server] : node_.servers()) {
        if (server.listing.serviceName != service) continue;
        if (auto statistics = find(name); statistics && statistics->*statistic > 0)
            values.push_back(statistics->*statistic);
    }
    if (values.size() < MIN_MEDIAN_SAMPLES) return 0;
    auto middle = values.begin() + std::ptrdiff_t(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

auto ServerStatisticsTable::readAnswer(
    const std::string& name, const Headers& headers, const Dialect& dialect, Microseconds now) -> void {
    auto& statistics = of(name);
    statistics.lastReceivedAt = now;
    statistics.ejection.clearEjections();
    if (auto text = header(headers, dialect.load); !text.empty()) readLoad(name, text, now);
    if (auto text = header(headers, dialect.coldMs); !text.empty())
        if (auto number = parseNumber(text); number >= 0)
            statistics.slowStartUntil = number ? now + std::min(number, MAX_COLD_TIME_MS) * MILLISECOND : 0;
}

// Reads the load header, "RUNNING,WAITING,SLOTS"; ignores it if malformed.
auto ServerStatisticsTable::readLoad(const std::string& name, const std::string& text, Microseconds now)
    -> void {
    auto numbers = parseNumbers(text);
    if (!numbers || numbers->size() != 3) return;
    auto clamped = [&](std::size_t index) {
        return int(std::min(numbers->at(index), MAX_REPORTED_REQUESTS));
    };
    auto& statistics = of(name);
    statistics.running = clamped(0);
    statistics.waiting = clamped(1);
    statistics.slots = clamped(2);
    statistics.loadHeaderAt = now;
    statistics.inflightAtLoadHeader = statistics.inflight;
    auto server = node_.servers().find(name);
    if (server == node_.servers().end()) return;
    auto otherNodesRequests =
        std::max(0, statistics.running + statistics.waiting - statistics.inflightAtLoadHeader);
    ofService(server->second.listing.serviceName).recordOtherNodesRequests(double(otherNodesRequests));
}

auto ServerStatisticsTable::inflight() const -> int {
    auto total = 0;
    for (auto& [name, statistics] : servers_) total += statistics.inflight;
    return total;
}

auto ServerStatisticsTable::forgetUnlisted() -> void {
    std::erase_if(servers_,
        [&](auto& entry) { return entry.second.inflight == 0 && !node_.servers().count(entry.first); });
}

}  // namespace duneturn
