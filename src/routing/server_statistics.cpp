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
constexpr auto HOLD_TIME_SMOOTHING = ExponentialSmoothing{0.95, 0.05};
constexpr auto OWN_TOKENS_SMOOTHING = ExponentialSmoothing{0.98, 0.02};
// What is left of the weight of earlier requests with each new one: some hundreds of them count.
constexpr auto RECENT_REQUESTS_DECAY = 0.995;
constexpr auto MOST_REPORTED = std::int64_t(1 << 20);  // a server's number beyond it is believed no further
constexpr auto MOST_COLD_MS = std::int64_t(3600000);   // an hour

}  // namespace

auto ServerStatistics::isSilent(Microseconds now) const -> bool {
    return inflight > 0 && unansweredSince > lastReceivedAt
        && double(now - unansweredSince) > std::max(double(400 * MILLISECOND), 5 * firstByteTime);
}

auto ServerStatistics::recordFirstByte(Microseconds taken) -> void {
    firstByteTime = FIRST_BYTE_SMOOTHING.next(firstByteTime, double(taken));
}

auto ServerStatistics::recordEventGap(Microseconds gap) -> void {
    eventGap = EVENT_GAP_SMOOTHING.next(eventGap, double(gap));
}

auto ServiceStatistics::recordRequestDuration(Microseconds taken) -> void {
    requestDuration = HOLD_TIME_SMOOTHING.next(requestDuration, double(taken));
}

auto ServiceStatistics::recordUnsharedTokens(std::int64_t tokens) -> void {
    unsharedTokens = OWN_TOKENS_SMOOTHING.next(unsharedTokens, double(tokens));
}

auto ServiceStatistics::recordRequest(const std::string& region) -> void {
    recentRequests = recentRequests * RECENT_REQUESTS_DECAY + 1;
    for (auto& [name, requests] : boundByRegion) requests *= RECENT_REQUESTS_DECAY;
    if (!region.empty()) boundByRegion[region] += 1;
}

auto ServiceStatistics::recordRequestsOfOthers(double requests) -> void {
    requestsOfOthers += (loadReports++ ? 0.05 : 1) * (requests - requestsOfOthers);
}

auto ServerStatisticsTable::find(const std::string& server) const -> const ServerStatistics* {
    auto known = servers_.find(server);
    return known == servers_.end() ? nullptr : &known->second;
}

auto ServerStatisticsTable::reportedLoad(const std::string& name, const KnownServer& server) -> double {
    auto& statistics = of(name);
    if (server.loadReadAt > statistics.reportAt) {
        statistics.reportAt = server.loadReadAt;
        statistics.inflightAtReport = statistics.inflight;
    }
    auto own = double(statistics.inflight);
    if (!server.loadReadAt) return own;
    return std::max(own,
        double(server.load.prefill + server.load.decode + statistics.inflight - statistics.inflightAtReport));
}

auto ServerStatisticsTable::load(const std::string& name, const KnownServer& server, Microseconds now)
    -> double {
    auto& statistics = of(name);
    auto own = double(statistics.inflight);
    if (server.loadReadAt > statistics.loadAt) return reportedLoad(name, server);
    auto& service = ofService(server.listing.serviceName);
    if (!statistics.loadAt) return own + service.requestsOfOthers;
    auto others = double(std::max(0, statistics.running + statistics.waiting - statistics.inflightAtLoad));
    auto age = double(now - statistics.loadAt);
    auto still = std::exp(-age / std::max(service.requestDuration, double(20 * MILLISECOND)));
    auto expected = own + others * still + service.requestsOfOthers * (1 - still);
    auto trust = age <= double(LOAD_BELIEVED_FOR)
        ? 1
        : std::max(0.0, 1 - (age - double(LOAD_BELIEVED_FOR)) / double(2 * LOAD_BELIEVED_FOR));
    return own + (expected - own) * trust;
}

auto ServerStatisticsTable::slots(const std::string& name, const KnownServer& server, const ServiceRule& rule)
    -> int {
    if (auto said = of(name).slots) return std::max(1, said);
    return std::max(1, server.listing.slots ? int(server.listing.slots) : rule.slots);
}

auto ServerStatisticsTable::median(const std::string& service, double ServerStatistics::*figure) const
    -> double {
    auto values = std::vector<double>();
    for (auto& [name, server] : node_.servers()) {
        if (server.listing.serviceName != service) continue;
        if (auto known = find(name); known && known->*figure > 0) values.push_back(known->*figure);
    }
    if (values.size() < 3) return 0;
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
            statistics.slowStartUntil = number ? now + std::min(number, MOST_COLD_MS) * MILLISECOND : 0;
}

// "RUNNING,WAITING,SLOTS".
auto ServerStatisticsTable::readLoad(const std::string& name, const std::string& text, Microseconds now)
    -> void {
    auto numbers = parseNumbers(text);
    if (!numbers || numbers->size() != 3) return;
    auto bounded = [&](std::size_t at) { return int(std::min(numbers->at(at), MOST_REPORTED)); };
    auto& statistics = of(name);
    statistics.running = bounded(0);
    statistics.waiting = bounded(1);
    statistics.slots = bounded(2);
    statistics.loadAt = now;
    statistics.inflightAtLoad = statistics.inflight;
    auto server = node_.servers().find(name);
    if (server == node_.servers().end()) return;
    auto others = std::max(0, statistics.running + statistics.waiting - statistics.inflightAtLoad);
    ofService(server->second.listing.serviceName).recordRequestsOfOthers(double(others));
}

auto ServerStatisticsTable::inflight() const -> int {
    auto sum = 0;
    for (auto& [name, statistics] : servers_) sum += statistics.inflight;
    return sum;
}

auto ServerStatisticsTable::forgetUnlisted() -> void {
    std::erase_if(servers_,
        [&](auto& entry) { return entry.second.inflight == 0 && !node_.servers().count(entry.first); });
}

}  // namespace duneturn
