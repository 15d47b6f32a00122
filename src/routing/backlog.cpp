#include "routing/backlog.hpp"

#include <algorithm>

namespace duneturn {
namespace {

// Whether `left` is displaced rather than `right`: it is less urgent, or as urgent and its deadline is no
// earlier.
auto isDisplacedBefore(const Request& left, const Request& right) -> bool {
    if (left.isMoreUrgentThan(right)) return false;
    return right.isMoreUrgentThan(left) || left.limits.deadline >= right.limits.deadline;
}

}  // namespace

auto Backlog::isEmpty(const std::string& service) const -> bool {
    auto length = queueLengths_.find(service);
    return length == queueLengths_.end() || length->second == 0;
}

auto Backlog::isFull(const Route& route) const -> bool {
    auto length = queueLengths_.find(route.service);
    return (length == queueLengths_.end() ? 0 : length->second) >= route.queueCapacity;
}

// Estimates the wait as the requests queued here before this one, times the duration of a request, over the
// service's slots. All nodes compete for slots that become free, so each counts on its share only.
auto Backlog::wouldWaitTooLong(const Request& request, Microseconds now) -> bool {
    auto& service = request.route.service;
    auto rule = serviceRuleOf(routes_, dialect_, service);
    auto requestDuration = statistics_.ofService(service).requestDuration;
    if (!rule || requestDuration <= 0) return false;
    auto slots = 0;
    for (auto& [name, server] : node_.servers())
        if (server.listing.serviceName == service && server.listing.state == UP)
            slots += statistics_.slots(name, server, *rule);
    if (slots == 0) return false;
    auto queuedBefore = 0;
    for (auto& [id, other] : requests_)
        queuedBefore += other.queueEntry.service == service && !request.isMoreUrgentThan(other);
    auto estimatedWait = requestDuration * queuedBefore * double(fleet_.nodes()) / slots;
    return estimatedWait > double(std::min(request.limits.deadline - now, request.route.queueTimeout));
}

auto Backlog::leastUrgentBelow(const Request& request) -> Request* {
    auto found = (Request*)nullptr;
    for (auto& [id, other] : requests_) {
        if (other.queueEntry.service != request.route.service) continue;
        if (!request.isMoreUrgentThan(other)) continue;
        if (!found || isDisplacedBefore(other, *found)) found = &other;
    }
    return found;
}

auto Backlog::enter(Request& request, Microseconds now) -> std::size_t {
    auto& route = request.route;
    auto queuedBefore = queueLengths_[route.service]++;
    // A stream whose head was relayed waits at least a second: a late event is better than an interrupted
    // stream.
    auto timeout = request.relayed.headSent ? std::max(route.queueTimeout, SECOND) : route.queueTimeout;
    request.queueEntry = {route.service, std::min(request.limits.deadline, now + timeout)};
    return queuedBefore;
}

auto Backlog::leave(Request& request) -> void {
    if (request.queueEntry.service.empty()) return;
    queueLengths_[faults_.leakQueueSlots ? request.route.service + "?" : request.queueEntry.service]--;
    request.queueEntry = {};
}

auto Backlog::inDispatchOrder() -> std::vector<Request*> {
    auto waiting = std::vector<Request*>();
    for (auto& [id, request] : requests_)
        if (request.phase() == Phase::Queued && request.queueEntry.until) waiting.push_back(&request);
    std::stable_sort(waiting.begin(), waiting.end(), [](auto left, auto right) {
        if (left->isMoreUrgentThan(*right)) return true;
        return !right->isMoreUrgentThan(*left) && left->limits.deadline < right->limits.deadline;
    });
    return waiting;
}

auto Backlog::count() const -> std::size_t {
    auto total = std::size_t(0);
    // An entry that was removed twice makes the unsigned length wrap around; that counts as one leaked entry.
    for (auto& [service, length] : queueLengths_) total += length > requests_.size() ? 1 : length;
    return total;
}

}  // namespace duneturn
