#pragma once
// One run of the operators' command line: the commands, and what they share. The commands stand by subject in
// ctl_views.cpp (what a node knows), ctl_orders.cpp (what changes the replicated state) and ctl_requests.cpp
// (clients' requests).
#include <string>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "cli/ctl.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// A node as another names it.
struct NodeAddress {
    std::string name, address;
};

/// One run of a command: asks nodes, and holds the last answer and the exit code.
class CtlRun {
  public:
    CtlRun(const CtlOptions& options, const std::vector<std::string>& words)
        : options_(options), words_(words) {}
    /// Runs the command that the words name.
    [[nodiscard]] auto run() -> Exit;

  private:
    /// A command's name, how many words follow it, and what does it.
    struct Entry {
        const char* name;
        std::size_t words;
        Exit (CtlRun::*run)();
    };
    static auto entries() -> const std::vector<Entry>&;

    // ---- commands
    auto status() -> Exit;
    auto nodes() -> Exit;
    auto servers() -> Exit;
    auto beliefs() -> Exit;
    auto where() -> Exit;
    auto tenants() -> Exit;
    auto config() -> Exit;
    auto apply() -> Exit { return putConfig("PUT", "config"); }
    auto change() -> Exit { return putConfig("PATCH", "patch"); }
    auto plan() -> Exit;
    auto evacuate() -> Exit { return order(words_[0], bodyOf({{"district", jsonQuote(words_[1])}})); }
    auto cancel() -> Exit { return order("cancel", bodyOf({{"move", jsonQuote(words_[1])}})); }
    auto schedule() -> Exit;
    auto rescue() -> Exit;
    auto roster() -> Exit;
    auto findOrder() -> Exit { return showAnswer("GET", "/v1/orders/" + words_[1]); }
    auto live() -> Exit;
    auto explain() -> Exit;
    auto watch() -> Exit;

    // ---- their common parts
    auto wrongUse(const std::string& why) -> Exit;
    /// Asks a node; true if it has done what was asked, with its reply in answer_.
    auto ask(const std::string& node, const std::string& method, const std::string& path,
        const std::string& body = "") -> bool;
    auto printRefusal(const std::string& key, int status) -> void;
    auto get(const std::string& path) -> bool { return ask(options_.node, "GET", path); }
    auto showAnswer(const std::string& method, const std::string& path, const std::string& body = "") -> Exit;
    auto order(const std::string& operation, const std::string& body) -> Exit;
    auto putConfig(const std::string& method, const char* member) -> Exit;
    auto readDocument(const std::string& file, rapidjson::Document& document)
        -> tl::expected<void, std::string>;
    auto show(const rapidjson::Value& value) -> void { fmt::print("{}\n", jsonPrettyText(value)); }
    auto showTable(const char* list, const std::vector<const char*>& columns) -> void;
    auto showBeliefs(const char* list, const std::vector<const char*>& columns) -> Exit;
    auto showDecision(const rapidjson::Value& decision) -> void;
    /// The nodes that the asked one knows alive; with --here it alone.
    auto aliveNodes() -> std::vector<NodeAddress>;
    /// The operator address of the node that a request's name names.
    auto nodeOfRequest(const std::string& request) -> std::string;
    /// Where nothing was reached: the exit code of the last question.
    auto unreached() const -> Exit { return exit_ == Exit::Done ? Exit::Unreached : exit_; }

    const CtlOptions& options_;
    const std::vector<std::string>& words_;
    rapidjson::Document answer_;  // of the last question
    Exit exit_ = Exit::Done;      // what became of it
};

}  // namespace duneturn
