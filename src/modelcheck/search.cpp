#include "modelcheck/search.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/file.hpp"
#include "base/hash.hpp"
#include "base/log.hpp"
#include "base/random.hpp"

namespace duneturn::modelcheck {

namespace {

auto hashOf(const std::vector<std::uint32_t>& encoded) -> std::uint64_t {
    auto bytes = reinterpret_cast<const char*>(encoded.data());
    auto hash = hash64(std::string_view(bytes, encoded.size() * sizeof(std::uint32_t)));
    return hash == 0 ? 1 : hash;
}

// A set of 64-bit hashes by open addressing; 0 marks a free place.
class HashSet {
  public:
    HashSet() : places_(1 << 16) {}
    auto insert(std::uint64_t hash) -> bool {
        if (used_ * 2 >= places_.size()) grow();
        if (!put(hash)) return false;
        used_++;
        return true;
    }

  private:
    auto put(std::uint64_t hash) -> bool {
        auto mask = places_.size() - 1;
        auto place = std::size_t(hash) & mask;
        for (; places_[place] != 0; place = (place + 1) & mask)
            if (places_[place] == hash) return false;
        places_[place] = hash;
        return true;
    }
    auto grow() -> void {
        auto old = std::move(places_);
        places_.assign(old.size() * 2, 0);
        for (auto hash : old)
            if (hash != 0) put(hash);
    }
    std::vector<std::uint64_t> places_;
    std::size_t used_ = 0;
};

// How a state was reached first.
struct Origin {
    std::uint32_t parent;
    Action action;
};

// A fixed sequence of actions that leads to where a search begins.
class Scenario {
  public:
    explicit Scenario(Model& model) : model_(model), state(model.initial()) {}

    auto perform(const Action& action) -> void {
        if (!violation.empty()) return;
        trace.push_back(action);
        violation = model_.apply(state, action);
    }
    auto timeout(std::uint8_t replica) -> void { perform({ActionKind::Timeout, replica, 0, 0}); }
    /// Delivers and syncs among `group`, oldest first, until nothing is left or `replica` leads.
    auto settle(std::set<std::uint8_t> group, std::optional<std::uint8_t> untilLeads = {}) -> void {
        while (violation.empty() && !(untilLeads && leads(*untilLeads))) {
            auto next = nextAmong(group);
            if (!next) return;
            perform(*next);
        }
    }
    auto sync(std::uint8_t replica) -> void {
        while (violation.empty() && model_.seen(state, replica).pendingWrites > 0)
            perform({ActionKind::Sync, replica, 0, 0});
    }
    auto loseAll() -> void {
        for (auto to = std::uint8_t(0); to < REPLICAS; to++)
            for (auto from = std::uint8_t(0); from < REPLICAS; from++)
                while (violation.empty() && !state.links[from * REPLICAS + to].empty())
                    perform({ActionKind::Lose, to, from, 0});
    }

  private:
    auto leads(std::uint8_t replica) const -> bool {
        return model_.seen(state, replica).role == Voter::Role::Leader;
    }
    auto nextAmong(const std::set<std::uint8_t>& group) -> std::optional<Action> {
        for (auto& action : model_.enabled(state)) {
            auto isDelivery = action.kind == ActionKind::Deliver && group.count(action.peer);
            if ((isDelivery || action.kind == ActionKind::Sync) && group.count(action.replica)) return action;
        }
        return std::nullopt;
    }
    Model& model_;

  public:
    ClusterState state;
    std::vector<Action> trace;
    std::string violation;
};

auto elect(Scenario& scenario) -> void {
    scenario.timeout(0);
    scenario.settle({0, 1, 2});
}

// Replica 0 holds an order of its term that no other has; replica 2 has led the next term, and its
// first entry is on its own disk only. Nobody leads.
auto diverge(Scenario& scenario) -> void {
    elect(scenario);
    scenario.perform({ActionKind::Propose, 0, 0, 0});
    scenario.sync(0);
    scenario.loseAll();
    scenario.timeout(1);
    scenario.loseAll();
    scenario.timeout(2);
    scenario.settle({1, 2}, 2);
    scenario.sync(2);
    scenario.loseAll();
    scenario.timeout(2);
    scenario.loseAll();
    scenario.timeout(0);
    scenario.loseAll();
    scenario.timeout(0);
    scenario.settle({0, 1});
    scenario.loseAll();
}

// Replica 2 leads the next term, its first entry committed, while replica 0 still leads its own.
auto depose(Scenario& scenario) -> void {
    elect(scenario);
    scenario.timeout(1);
    scenario.loseAll();
    scenario.timeout(2);
    scenario.settle({1, 2});
    scenario.loseAll();
}

// After "diverged", replica 0 leads again; its first entry of the new term waits for its disk.
auto reelect(Scenario& scenario) -> void {
    diverge(scenario);
    scenario.perform({ActionKind::Delay, 0, 0, 0});
    scenario.timeout(0);
    scenario.settle({0, 1}, 0);
}

// Replica 0 leads and has sent a heartbeat, then an order; replica 1 has received the order before
// the heartbeat, which is still on its way, as is its acknowledgement.
auto overtake(Scenario& scenario) -> void {
    constexpr auto LEADER = std::uint8_t(0), FOLLOWER = std::uint8_t(1);
    constexpr auto SECOND_MESSAGE = std::uint8_t(1);
    elect(scenario);
    scenario.perform({ActionKind::Heartbeat, LEADER, 0, 0});
    scenario.perform({ActionKind::Propose, LEADER, 0, 0});
    scenario.sync(LEADER);
    scenario.perform({ActionKind::Deliver, FOLLOWER, LEADER, SECOND_MESSAGE});
    scenario.sync(FOLLOWER);
}

auto enter(Model& model, const std::string& name) -> Scenario {
    auto scenario = Scenario(model);
    if (name == "elected") elect(scenario);
    if (name == "diverged") diverge(scenario);
    if (name == "deposed") depose(scenario);
    if (name == "reelected") reelect(scenario);
    if (name == "overtaken") overtake(scenario);
    model.beginSearch(scenario.state);
    return scenario;
}

// The states of a search, in the order in which they were found.
class StateTable {
  public:
    auto add(const std::vector<std::uint32_t>& encoded, std::uint32_t parent, const Action& action) -> bool {
        if (!hashes_.insert(hashOf(encoded))) return false;
        origins_.push_back({parent, action});
        return true;
    }
    auto size() const -> std::size_t { return origins_.size(); }
    auto trace(std::uint32_t state) const -> std::vector<Action> {
        auto actions = std::vector<Action>();
        for (; state != 0; state = origins_[state].parent) actions.push_back(origins_[state].action);
        std::reverse(actions.begin(), actions.end());
        return actions;
    }

  private:
    HashSet hashes_;
    std::vector<Origin> origins_;
};

struct FrontierState {
    std::uint32_t number;
    std::vector<std::uint32_t> encoded;
};

auto fullTrace(const Scenario& scenario, const std::vector<Action>& found) -> std::vector<Action> {
    auto trace = scenario.trace;
    trace.insert(trace.end(), found.begin(), found.end());
    return trace;
}

auto parseNumber(const std::string& text, std::uint64_t limit) -> std::optional<std::uint64_t> {
    if (text.empty() || text.size() > 18) return std::nullopt;
    if (text.find_first_not_of("0123456789") != std::string::npos) return std::nullopt;
    auto number = std::stoull(text);
    return number <= limit ? std::optional<std::uint64_t>(number) : std::nullopt;
}

auto budgetText(const Budget& budget) -> std::string {
    auto text = std::string();
    for (auto i = std::size_t(0); i < BOUNDED_KINDS; i++)
        if (budget[i] > 0)
            text += fmt::format("{}{}={}", text.empty() ? "" : ",", boundedNames()[i], budget[i]);
    return text;
}

}  // namespace

auto scenarioNames() -> std::vector<std::string> {
    return {"founded", "elected", "deposed", "diverged", "reelected", "overtaken"};
}

auto search(const SearchOptions& options) -> SearchResult {
    auto model = Model(options.model);
    auto scenario = enter(model, options.scenario);
    auto result = SearchResult();
    result.scenarioLength = scenario.trace.size();
    result.violation = scenario.violation;
    result.trace = scenario.trace;
    if (!result.violation.empty()) return result;
    auto table = StateTable();
    auto first = encode(scenario.state);
    table.add(first, 0, {});
    auto frontier = std::deque<FrontierState>{{0, first}};
    auto finish = [&] {
        result.states = table.size();
        result.replicaStates = model.graph().size();
        return result;
    };
    for (result.depth = 0; result.depth < options.depth && !frontier.empty(); result.depth++)
        for (auto remaining = frontier.size(); remaining > 0; remaining--) {
            auto current = std::move(frontier.front());
            frontier.pop_front();
            auto state = decode(current.encoded);
            for (auto& action : model.enabled(state)) {
                auto next = state;
                result.transitions++;
                result.violation = model.apply(next, action);
                auto encoded = encode(next);
                if (!result.violation.empty()) {
                    auto found = table.trace(current.number);
                    found.push_back(action);
                    result.trace = fullTrace(scenario, found);
                    return finish();
                }
                if (!table.add(encoded, current.number, action)) continue;
                frontier.push_back({std::uint32_t(table.size() - 1), std::move(encoded)});
            }
            if (table.size() >= options.maxStates) return finish();
        }
    result.complete = frontier.empty();
    return finish();
}

auto randomWalks(const SearchOptions& options) -> SearchResult {
    auto result = SearchResult();
    auto random = RandomSource{options.seed};
    for (auto walk = std::size_t(0); walk < options.walks; walk++) {
        auto model = Model(options.model);  // anew, so that memory stays bounded
        auto scenario = enter(model, options.scenario);
        result.scenarioLength = scenario.trace.size();
        for (auto i = std::size_t(0); i < options.depth && scenario.violation.empty(); i++) {
            auto actions = model.enabled(scenario.state);
            if (actions.empty()) break;
            scenario.perform(actions[random.below(actions.size())]);
            result.states++;
            result.transitions++;
        }
        result.depth = std::max(result.depth, scenario.trace.size() - result.scenarioLength);
        result.replicaStates += model.graph().size();
        result.violation = scenario.violation;
        result.trace = scenario.trace;
        if (!result.violation.empty()) return result;
    }
    return result;
}

auto replay(const SearchOptions& options, const std::vector<Action>& trace, bool verbose) -> SearchResult {
    auto model = Model(options.model);
    auto scenario = enter(model, options.scenario);
    auto result = SearchResult();
    result.scenarioLength = scenario.trace.size();
    auto own = std::min(scenario.trace.size(), trace.size());
    if (!std::equal(trace.begin(), trace.begin() + std::ptrdiff_t(own), scenario.trace.begin())) {
        result.violation = "the trace doesn't begin as its scenario does";
        return result;
    }
    for (auto i = own; i < trace.size() && scenario.violation.empty(); i++) {
        auto actions = model.enabled(scenario.state);
        if (std::find(actions.begin(), actions.end(), trace[i]) == actions.end()) {
            result.violation = "not possible here: " + actionText(trace[i]);
            break;
        }
        scenario.perform(trace[i]);
        if (verbose) fmt::print("{}\n{}", actionText(trace[i]), model.describe(scenario.state));
    }
    if (result.violation.empty()) result.violation = scenario.violation;
    result.trace = scenario.trace;
    return result;
}

auto traceText(const SearchOptions& options, const SearchResult& result) -> std::string {
    auto text = fmt::format("scenario {}\n", options.scenario);
    if (!options.model.broken.empty()) text += fmt::format("broken {}\n", options.model.broken);
    if (options.model.reorder) text += "reorder\n";
    if (options.model.eagerDisks) text += "eager-disks\n";
    text += fmt::format("bounds {}\n", budgetText(options.model.budget));
    for (auto& action : result.trace) text += actionText(action) + "\n";
    return text;
}

auto traceParse(const std::string& text) -> tl::expected<ParsedTrace, std::string> {
    auto parsed = ParsedTrace();
    auto lines = std::istringstream(text);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.empty() || line[0] == '#') continue;
        auto space = line.find(' ');
        auto word = line.substr(0, space);
        auto rest = space == std::string::npos ? std::string() : line.substr(space + 1);
        if (word == "scenario") parsed.options.scenario = rest;
        else if (word == "broken") parsed.options.model.broken = rest;
        else if (word == "reorder") parsed.options.model.reorder = true;
        else if (word == "eager-disks") parsed.options.model.eagerDisks = true;
        else if (word == "bounds") {
            auto bounds = budgetParse(rest, parsed.options.model.budget);
            if (!bounds) return tl::make_unexpected(bounds.error());
        } else {
            auto action = actionParse(line);
            if (!action) return tl::make_unexpected(action.error());
            parsed.actions.push_back(*action);
        }
    }
    return parsed;
}

auto budgetParse(const std::string& text, Budget& budget) -> tl::expected<void, std::string> {
    auto items = std::istringstream(text);
    for (auto item = std::string(); std::getline(items, item, ',');) {
        auto equals = item.find('=');
        auto name = item.substr(0, equals);
        auto& names = boundedNames();
        auto place = std::find(names.begin(), names.end(), name);
        auto number = equals == std::string::npos ? std::nullopt : parseNumber(item.substr(equals + 1), 100);
        if (place == names.end() || !number)
            return tl::make_unexpected("not a bound, such as losses=1: " + item);
        budget[std::size_t(place - names.begin())] = std::uint8_t(*number);
    }
    return {};
}

// ---- the command

namespace {

auto validate(const SearchOptions& options) -> std::string {
    auto names = scenarioNames();
    auto broken = Voter::Broken();
    if (std::find(names.begin(), names.end(), options.scenario) == names.end())
        return "--scenario: no such scenario: " + options.scenario;
    if (!options.model.broken.empty() && !setBroken(broken, options.model.broken))
        return "--broken: no such variant: " + options.model.broken;
    if (options.maxStates == 0 || options.maxStates > UINT32_MAX) return "--states wants 1 to 4294967295";
    return "";
}

auto printResult(const SearchOptions& options, const SearchResult& result) -> void {
    fmt::print("{} states, {} transitions, {} replica states, depth {}{}\n", result.states,
        result.transitions, result.replicaStates, result.depth,
        result.complete ? ", all within the bounds" : "");
    if (result.violation.empty()) {
        fmt::print("no violation\n");
        return;
    }
    fmt::print("violation: {}\n", result.violation);
    fmt::print("# {} actions after the scenario's {}\n", result.trace.size() - result.scenarioLength,
        result.scenarioLength);
    fmt::print("{}", traceText(options, result));
}

auto replayFile(const std::string& file) -> int {
    auto text = readFile(file);
    auto parsed = text ? traceParse(*text) : tl::make_unexpected(text.error());
    auto fault = parsed ? validate(parsed->options) : parsed.error();
    if (!fault.empty()) {
        fmt::print(stderr, "duneturn check: {}\n", fault);
        return 2;
    }
    auto result = replay(parsed->options, parsed->actions, true);
    fmt::print(
        "{}\n", result.violation.empty() ? std::string("no violation") : "violation: " + result.violation);
    return result.violation.empty() ? 0 : 1;
}

}  // namespace

auto checkMain(const SearchOptions& options, const std::string& traceFile) -> int {
    muteLog(true);
    if (!traceFile.empty()) return replayFile(traceFile);
    if (auto fault = validate(options); !fault.empty()) {
        fmt::print(stderr, "duneturn check: {}\n", fault);
        return 2;
    }
    auto result = options.walks > 0 ? randomWalks(options) : search(options);
    printResult(options, result);
    return result.violation.empty() ? 0 : 1;
}

}  // namespace duneturn::modelcheck
