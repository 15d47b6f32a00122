#include "routing/backlog.hpp"

#include <algorithm>

namespace duneturn {
namespace {

// Whether `left` is the better one to be displaced.
auto goesBefore(const Request& left, const Request& right) -> bool {
    if (left.isMoreUrgentThan(right)) return false;
    return right.isMoreUrgentThan(left) || left.limits.deadline >= right.limits.deadline;
}

}  // namespace

auto Backlog::isEmpty(const std::string& service) const -> bool {
    auto places = places_.find(service);
    return places == places_.end() || places->second == 0;
}

auto Backlog::isFull(const Route& route) const -> bool {
    auto places = places_.find(route.service);
    return (places == places_.end() ? 0 : places->second) >= route.queueCapacity;
}

// Of the places at servers that fall free, each node gets its part.
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
    auto before = 0;
    for (auto& [id, other] : requests_)
        before += other.queueEntry.service == service && !request.isMoreUrgentThan(other);
    auto wait = requestDuration * before * double(fleet_.nodes()) / slots;
    return wait > double(std::min(request.limits.deadline - now, request.route.queueTimeout));
}

auto Backlog::lessUrgent(const Request& request) -> Request* {
    auto found = (Request*)nullptr;
    for (auto& [id, other] : requests_) {
        if (other.queueEntry.service != request.route.service) continue;
        if (!request.isMoreUrgentThan(other)) continue;
        if (!found || goesBefore(other, *found)) found = &other;
    }
    return found;
}

auto Backlog::enter(Request& request, Microseconds now) -> std::size_t {
    auto& route = request.route;
    auto before = places_[route.service]++;
    // A stream whose beginning was relayed waits a little longer: a late event is better than a cut.
    auto patience = request.relayed.headSent ? std::max(route.queueTimeout, SECOND) : route.queueTimeout;
    request.queueEntry = {route.service, std::min(request.limits.deadline, now + patience)};
    return before;
}

auto Backlog::leave(Request& request) -> void {
    if (request.queueEntry.service.empty()) return;
    places_[faults_.leakQueueSlots ? request.route.service + "?" : request.queueEntry.service]--;
    request.queueEntry = {};
}

auto Backlog::inOrder() -> std::vector<Request*> {
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
    auto sum = std::size_t(0);
    // A place that was freed twice is one too few: the number is beyond all requests then.
    for (auto& [service, places] : places_) sum += places > requests_.size() ? 1 : places;
    return sum;
}

}  // namespace duneturn
