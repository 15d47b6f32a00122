#pragma once
// Searches of the model's states: breadth first (a violation comes with a shortest trace),
// random walks to greater depth, and the replay of a trace.
#include <cstdint>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "modelcheck/model.hpp"

namespace duneturn::modelcheck {

struct SearchOptions {
    ModelOptions model;
    std::string scenario = "elected";  // see scenarioNames
    std::size_t depth = 10;            // actions after the scenario's own
    std::size_t maxStates = 1'000'000;
    std::size_t walks = 0;  // random walks instead of a search, each up to `depth`
    std::uint64_t seed = 1;
};

struct SearchResult {
    std::string violation;
    std::vector<Action> trace;  // from the initial state, the scenario's actions first
    std::size_t scenarioLength = 0;
    std::size_t states = 0;  // distinguished by a 64-bit hash; walks: steps taken
    std::size_t transitions = 0;
    std::size_t depth = 0;  // the last depth that was searched whole
    bool complete = false;  // every state within the bounds was seen
    std::size_t replicaStates = 0;
};

/// The starting points: "founded" (three voters that hold an empty cluster), "elected" (replica 0
/// leads and its first entry is committed), "diverged" (replicas 0 and 2 have each led a term and
/// hold an entry that no other has; nobody leads), "deposed" (replica 2 leads, and replica 0 doesn't
/// know it), "reelected" (replica 0 leads again after "diverged", and its disk lags), "overtaken"
/// (replica 0 leads; replica 1 holds its newest order and has yet to receive an earlier heartbeat).
auto scenarioNames() -> std::vector<std::string>;

auto search(const SearchOptions& options) -> SearchResult;
auto randomWalks(const SearchOptions& options) -> SearchResult;
/// Performs a trace; prints each step if `verbose`.
auto replay(const SearchOptions& options, const std::vector<Action>& trace, bool verbose) -> SearchResult;

/// A trace with the options it needs, one action a line, and back.
auto traceText(const SearchOptions& options, const SearchResult& result) -> std::string;
struct ParsedTrace {
    SearchOptions options;
    std::vector<Action> actions;
};
auto traceParse(const std::string& text) -> tl::expected<ParsedTrace, std::string>;
/// "timeouts=2,losses=1" onto a budget.
auto budgetParse(const std::string& text, Budget& budget) -> tl::expected<void, std::string>;

/// The command `duneturn check`: searches, walks, or replays `traceFile` if one is named. 0 if
/// nothing was found, 1 if a violation was, 2 on wrong use.
auto checkMain(const SearchOptions& options, const std::string& traceFile) -> int;

}  // namespace duneturn::modelcheck
