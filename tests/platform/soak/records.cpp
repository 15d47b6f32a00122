#include "platform/soak/records.hpp"

#include <cstddef>
#include <string>

#include <fmt/format.h>

#include "base/time.hpp"
#include "platform/soak/loss_rule.hpp"

namespace duneturn::soak {

namespace {

constexpr auto MOST_FAULTS_PRINTED = 20;
constexpr auto SUCCESS = 200;

}  // namespace

auto Records::begin(const std::string& name, Microseconds timeLimit) -> RequestRecord& {
    auto& request = requests_[name];
    request.name = name;
    request.begunAt = bootNow();
    request.timeLimit = timeLimit;
    return request;
}

auto Records::find(const std::string& name) -> RequestRecord* {
    auto found = requests_.find(name);
    return found == requests_.end() ? nullptr : &found->second;
}

auto Records::finish(const std::string& name, const std::string& kind, std::size_t node) -> void {
    auto request = requests_.at(name);
    requests_.erase(name);
    auto& tally = tallies_[kind];
    auto& stop = stops_[node];
    auto succeeded = request.end == RequestEnd::Answered && request.status == SUCCESS;
    tally.answered += succeeded;
    tally.inStops += succeeded && stop && request.endedAt <= stop->signalledAt + stop->grace;
    tally.brokenOff += request.brokeOffAt > 0;
    tally.refused += request.end == RequestEnd::Answered && !succeeded;
    tally.cut += request.end == RequestEnd::Cut;
    tally.unsent += request.end == RequestEnd::Unsent;
    tally.notReached += request.end == RequestEnd::NotReached;
    auto fault = judgeRequest(request, stop);
    auto inTrouble = overlapsTrouble(request, lastTroubleAt_);
    tally.notJudged += fault && inTrouble;
    if (fault && !inTrouble)
        recordFault(fmt::format("{} {} {} at node {}: {}", kind, name, request.path, node, *fault));
}

auto Records::recordTrouble() -> void { lastTroubleAt_ = bootNow(); }

auto Records::recordFault(const std::string& fault) -> void {
    faults_++;
    if (faults_ <= MOST_FAULTS_PRINTED) fmt::print("fault: {}\n", fault);
}

}  // namespace duneturn::soak
