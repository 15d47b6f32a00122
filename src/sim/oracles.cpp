// The oracles of a simulation. They check what servers executed, clients received and operators were
// answered, by the simulation's clock; they use nothing that the fleet reports about itself, except
// readiness, held resources and counters at the end.
#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto MINUTE = 60 * SECOND;
/// The share of extra sends on first ones that the retry budget allows.
constexpr auto EXTRA_SEND_RATIO = 0.2;
constexpr auto EXTRA_SEND_TOLERANCE = 3;
constexpr auto DEFAULT_BUDGET_CAP = 50;
constexpr auto MIN_SENDS_FOR_WORST_MINUTE = 100;
constexpr auto MAX_SCALE_FOR_LIVENESS = 4;
constexpr auto CANARY_INTERVAL = SECOND / 2;
constexpr auto DEFAULT_MAX_SEQUENCE = 4096;

}  // namespace

// ---- executions

auto Simulation::recordSend(int attemptIndex) -> void {
    auto& sending = attempt(attemptIndex);
    sending.sends++;
    sends.emplace_back(now, sending.sends > 1 || sending.resumedFrom > 0);
}

// An execution is allowed if one of the configurations that may be in force allows all of it.
auto Simulation::checkExecution(const SimExecution& execution) -> void {
    auto& executed = attempt(execution.attempt);
    auto& request = requestOf(executed);
    auto& kind = kindOf(executed);
    auto& server = this->server(execution.server);
    if (executed.notExecuted)
        reportViolation("what was denied has not run",
            fmt::format(
                "try {} of {} ran on {} after its denial", execution.attempt, kind.name, server.name));
    auto rule = std::string();
    for (auto order : possibleConfigurations(now)) {
        rule = violatedRule(*order->configuration, execution);
        if (rule.empty()) break;
    }
    if (!rule.empty())
        reportViolation(rule,
            fmt::format("try {} of {} from {}: run {} on {} in {}, send {}, after event {}",
                execution.attempt, kind.name, request.region, executed.executions.size(), server.name,
                server.region, executed.sends, execution.resumedFrom));
    if (server.region != request.region) result.kinds[kind.name].spilledOver++;
    if (executed.executions.size() > 1)
        trace(fmt::format(
            "try {} moves to {} after event {}", execution.attempt, server.name, execution.resumedFrom));
    if (executed.resumedFrom)
        trace(fmt::format(
            "try {} resumes on {} after event {}", execution.attempt, server.name, execution.resumedFrom));
    checkOrderEffects(execution);
}

// The configurations of which any one may be obeyed at a time: those not older than the newest that was
// acknowledged over 3 s ago, and those of unknown outcome that could still have followed it.
auto Simulation::possibleConfigurations(Microseconds at) const -> std::vector<const SimOrder*> {
    auto acknowledged = [](const SimOrder& order) {
        return order.operation == "config" && order.status == 200 && order.over;
    };
    auto newest = std::int64_t(-1);
    for (auto& order : orders)
        if (acknowledged(order) && at - order.over > CONFIGURATION_LIMIT)
            newest = std::max(newest, order.version);
    auto possible = std::vector<const SimOrder*>();
    for (auto& order : orders) {
        if (order.operation != "config" || !order.configuration) continue;
        if ((acknowledged(order) && order.version >= newest)
            || (order.outcomeUnknown() && order.base + 1 > newest))
            possible.push_back(&order);
    }
    return possible;
}

// The rule that an execution violates under a configuration; empty if it keeps them all.
auto Simulation::violatedRule(const rapidjson::Document& configuration, const SimExecution& execution) const
    -> std::string {
    auto& executed = attempts[std::size_t(execution.attempt)];
    auto& request = requests[std::size_t(executed.request)];
    auto& kind = kinds[std::size_t(request.kind)];
    auto& server = servers[std::size_t(execution.server)];
    auto resumed = executed.resumedFrom > 0;
    auto runs = int(executed.executions.size()) + resumed;
    for (auto& route : configuration["mappings"].GetArray()) {
        if (jsonString(route, "name") != kind.name) continue;
        if (runs > 1 && !jsonBool(route, "Resumable"))
            return "a stream that cannot be resumed never runs twice";
        auto home = jsonString(route, "home");
        if (home == "@near") home = request.region;
        if (!home.empty() && home != server.region) return "a home region is never left";
        auto spillover = jsonStrings(route, "spill");
        if (home.empty() && server.region != request.region
            && std::find(spillover.begin(), spillover.end(), server.region) == spillover.end())
            return "work goes to another region only where allowed";
        if (executed.sends + resumed > jsonInteger(route, "MaxTries", 1))
            return "a stream moves only where allowed";
        auto modelName = jsonString(route, "model");
        if (modelName.empty()) return "";
        auto& model = configuration["models"][modelName];
        auto tokens = execution.resumedFrom + std::int64_t(request.body.size() / 4);
        if (runs - 1 > jsonInteger(model, "migrationLimit")
            || (runs > 1 && tokens > jsonInteger(model, "maxSequence", DEFAULT_MAX_SEQUENCE)))
            return "a stream moves only where allowed";
        return "";
    }
    return "an acknowledged configuration is obeyed within 3 s";
}

// Checks an execution against leaving marks, evacuations and the configuration that its node obeyed.
auto Simulation::checkOrderEffects(const SimExecution& execution) -> void {
    auto& server = this->server(execution.server);
    if (server.leavingSent && now > server.leavingSent) {
        auto elapsed = now - server.leavingSent;
        result.longestDisobedience = std::max(result.longestDisobedience, elapsed);
        if (elapsed > options.leaveLimit)
            reportViolation("nothing new reaches a leaving server",
                fmt::format("{} {} us after the mark was sent", server.name, elapsed));
    }
    checkZoneEvacuation(server);
    if (!server.service.starts_with("probe-")) return;
    auto possible = possibleConfigurations(now);
    if (std::none_of(
            possible.begin(), possible.end(), [&](auto order) { return order->subject == server.service; }))
        reportViolation("an acknowledged configuration is obeyed within 3 s",
            fmt::format("{} was reached; in force may be {}", server.service,
                possible.empty() ? "none" : possible[0]->subject));
}

// Orders on a zone take effect in the order of their versions. An order to restore the zone whose outcome is
// unknown may or may not be in force, so that nothing can be checked until the next one is acknowledged.
auto Simulation::checkZoneEvacuation(const SimServer& server) -> void {
    auto evacuatedAt = Microseconds(0);
    auto known = true;
    auto version = std::int64_t(0);
    for (auto& order : orders) {
        if ((order.operation != "empty" && order.operation != "give-back") || order.subject != server.zone)
            continue;
        if (order.over && order.status == 200) {
            if (order.version <= version) continue;
            version = order.version;
            evacuatedAt = order.operation == "empty" ? order.sentAt : 0;
            known = true;
        } else if ((!order.over || order.status == 504) && order.operation == "give-back") known = false;
    }
    if (!evacuatedAt || !known || now <= evacuatedAt) return;
    auto elapsed = now - evacuatedAt;
    result.longestDisobedience = std::max(result.longestDisobedience, elapsed);
    if (elapsed > EVACUATION_LIMIT)
        reportViolation("nothing new reaches an emptied zone",
            fmt::format("{} in {} {} us after the order", server.name, server.zone, elapsed));
}

// The time limits count from when a mark or an order was sent. What was executed before its acknowledgement
// arrived is checked when it arrives.
auto Simulation::checkLeavingServer(int index) -> void {
    auto& server = this->server(index);
    for (auto& execution : executions)
        if (execution.server == index && execution.at - server.leavingSent > options.leaveLimit)
            reportViolation("nothing new reaches a leaving server",
                fmt::format(
                    "{} {} us after the mark was sent", server.name, execution.at - server.leavingSent));
}

auto Simulation::checkEvacuatedZone(const SimOrder& order) -> void {
    for (auto& execution : executions)
        if (server(execution.server).zone == order.subject && execution.at - order.sentAt > EVACUATION_LIMIT)
            reportViolation("nothing new reaches an emptied zone",
                fmt::format("{} {} us after the order", order.subject, execution.at - order.sentAt));
}

// ---- liveness

// After a total loss, requests of each kind are sent from each region twice a second until `until`, when
// each must have succeeded at least once.
auto Simulation::probeRecovery(Microseconds until) -> void {
    auto probes = std::vector<std::pair<std::size_t, std::string>>();
    for (auto kind = std::size_t(0); kind < kinds.size(); kind++) {
        auto& only = kinds[kind].region;
        auto sources = only.empty() ? std::set<std::string>(regions.begin(), regions.end())
                                    : std::set<std::string>{only};
        for (auto& region : sources) probes.emplace_back(kind, region);
    }
    if (now >= until) return checkRecovery(probes);
    for (auto& [kind, region] : probes) createRequest(kind, region);
    schedule(CANARY_INTERVAL, [this, until] {
        if (!ended) probeRecovery(until);
    });
}

auto Simulation::checkRecovery(const std::vector<std::pair<std::size_t, std::string>>& probes) -> void {
    auto longest = Microseconds(0);
    for (auto& [kind, region] : probes) {
        auto found = recoveredAt.find({kinds[kind].name, region});
        if (found == recoveredAt.end()) {
            traceState();
            reportViolation("serving is back within 12 s of a total loss",
                fmt::format("no {} from {} yet", kinds[kind].name, region));
        } else longest = std::max(longest, found->second - totalLossAt);
    }
    result.recoveryTime = std::max(result.recoveryTime, longest);
}

// Once all faults are repaired, all nodes must be ready and orders must be accepted.
auto Simulation::checkReadiness() -> void {
    schedule(3 * SECOND, [this] {
        for (auto& machine : machines)
            if (!machine->node->ready(machine->now())) {
                traceState();
                reportViolation(
                    "all nodes are ready once nothing is wrong", machine->settings.node + " is not");
            }
        auto number = orders.size();
        sendConfiguration(0, newestConfigurationVersion(), {});
        schedule(2500 * MILLISECOND, [this, number] {
            auto answered =
                orders.size() > number && (orders[number].status == 200 || orders[number].status == 409);
            if (answered) return;
            traceState();
            reportViolation("orders are taken once nothing is wrong", fmt::format("order {} is not", number));
        });
    });
}

// At the end no edge may have a request, a queue place or a send left, and clients must have been served.
auto Simulation::checkLeaks() -> void {
    for (auto& machine : machines) {
        if (!machine->up) continue;
        auto& edge = *machine->edge;
        if (edge.activeRequests() || edge.queuedCount() || edge.inflightCount())
            reportViolation("nothing is leaked",
                fmt::format("{}: {} exchanges, {} places, {} sends", machine->settings.node,
                    edge.activeRequests(), edge.queuedCount(), edge.inflightCount()));
    }
    // At more than four times the example's load the servers themselves are full; see measurements.md.
    if (options.scale > MAX_SCALE_FOR_LIVENESS) return;
    for (auto& [source, counts] : livenessCounts) {
        auto& [created, succeeded] = counts;
        if (created - succeeded > std::max(1, created / 20))
            reportViolation("each kind is served once nothing is wrong",
                fmt::format("{}: {} of {} whole", source, succeeded, created));
    }
}

// Writes the state of every process into the trace, for a fleet that does not recover.
auto Simulation::traceState() -> void {
    for (auto& machine : machines) {
        if (!machine->up) {
            trace(machine->settings.node + " is down");
            continue;
        }
        auto voterState = std::string();
        if (auto voter = machine->node->voter()) {
            auto disks = std::string();
            for (auto& member : voter->voters()) disks += member.disk.substr(0, 4) + " ";
            voterState =
                fmt::format("voters {} role {} disk {} bad {} reign {} term {} last {} commit {} under {}",
                    disks, int(voter->role()), voter->disk(), voter->isDiskFaulty(), voter->epoch(),
                    voter->term(), voter->last(), voter->commit(), machine->storage.pending.size());
        }
        trace(fmt::format(
            "{}{} {}", machine->frozen ? "frozen " : "", machine->node->status(machine->now()), voterState));
    }
}

// ---- the whole run

// Orders and readbacks of configurations must be explained by one register. An order rejected with 503 was
// not logged as far as its operator knows, but may still be, as any order of unknown outcome.
auto Simulation::checkLinearizability() -> void {
    auto operations = readbacks;
    for (auto i = std::size_t(0); i < orders.size(); i++) {
        auto& order = orders[i];
        if (order.operation != "config" || !order.configuration || order.status == 422) continue;
        auto operation = HistoryOperation();
        operation.order = int(i);
        operation.start = order.sentAt;
        operation.base = order.base;
        operation.version = order.version;
        operation.value = order.subject;
        if (order.over && (order.status == 200 || order.status == 409)) {
            operation.end = order.over;
            operation.status = order.status;
        }
        operations.push_back(operation);
    }
    if (auto error = checkHistory(operations, ""); !error.empty())
        reportViolation("orders are linearizable", error);
}

// Extra sends must keep their share of the first ones, over the run and over any minute of it. Within a
// minute the credit that may have been saved up, the cap of the configuration's budget, comes on top.
auto Simulation::checkRetryBudget() -> void {
    auto configuration = rapidjson::Document();
    parseJson(exampleConfiguration, configuration);
    auto cap = double(DEFAULT_BUDGET_CAP);
    if (configuration.HasMember("budget"))
        cap = double(jsonInteger(configuration["budget"], "cap", DEFAULT_BUDGET_CAP));
    result.firstSends = result.extraSends = 0;
    for (auto& [at, extra] : sends) (extra ? result.extraSends : result.firstSends)++;
    if (result.firstSends
        && double(result.extraSends) > EXTRA_SEND_RATIO * double(result.firstSends) + EXTRA_SEND_TOLERANCE)
        reportViolation("extra tries stay near a fifth",
            fmt::format("{} extra on {} first", result.extraSends, result.firstSends));
    auto oldest = std::size_t(0);
    auto firsts = 0, extras = 0;  // within the last minute
    for (auto& [at, extra] : sends) {
        (extra ? extras : firsts)++;
        for (; sends[oldest].first < at - MINUTE; oldest++) (sends[oldest].second ? extras : firsts)--;
        if (at > MINUTE && firsts > MIN_SENDS_FOR_WORST_MINUTE)
            result.worstMinutePermille = std::max(result.worstMinutePermille, int(1000.0 * extras / firsts));
        if (extras > EXTRA_SEND_RATIO * firsts + cap + EXTRA_SEND_TOLERANCE) {
            reportViolation("extra tries stay near a fifth",
                fmt::format("{} extra on {} first in the minute before {}", extras, firsts, at));
            break;
        }
    }
}

auto Simulation::checkAtEnd() -> void {
    checkLinearizability();
    checkRetryBudget();
    for (auto& machine : machines)
        if (machine->up)
            for (auto& [name, value] : machine->counters->values())
                if (name.ends_with("_total")) counterTotals[name] += value;
    if (auto illegal = counterTotals["illegal_transitions_total"])
        reportViolation("the tables of states hold", fmt::format("{} illegal transitions", illegal));
    result.counters = counterTotals;
}

}  // namespace duneturn
