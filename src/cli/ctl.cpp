#include "cli/ctl.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/file.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "cli/table.hpp"
#include "net/http.hpp"

namespace duneturn {

namespace {

constexpr Microseconds ANSWER_LIMIT = 5 * SECOND;
constexpr Microseconds WATCH_PERIOD = 500 * MILLISECOND;

/// The exit code that an HTTP status of a node stands for.
auto exitCode(int status) -> int {
    if (status < 300) return DONE;
    if (status == 504) return UNKNOWN;
    return status == 503 ? UNREACHED : REJECTED;
}

/// A node as another names it.
struct NodeAddress {
    std::string name, address;
};

/// One run of a command: asks nodes, and holds the last answer and the exit code.
class CtlCommand {
  public:
    CtlCommand(const CtlOptions& options, const std::vector<std::string>& words)
        : options_(options), words_(words) {}
    auto run() -> int;

  private:
    /// A command's name, how many words follow it, and what does it.
    struct Entry {
        const char* name;
        std::size_t words;
        int (CtlCommand::*run)();
    };
    static auto entries() -> const std::vector<Entry>&;

    // ---- commands
    auto status() -> int;
    auto nodes() -> int;
    auto servers() -> int;
    auto beliefs() -> int;
    auto where() -> int;
    auto config() -> int;
    auto apply() -> int { return putConfig("PUT", "config"); }
    auto change() -> int { return putConfig("PATCH", "patch"); }
    auto plan() -> int;
    auto evacuate() -> int { return order(words_[0], bodyOf({{"district", jsonQuote(words_[1])}})); }
    auto cancel() -> int { return order("cancel", bodyOf({{"move", jsonQuote(words_[1])}})); }
    auto book() -> int;
    auto rescue() -> int;
    auto roster() -> int;
    auto findOrder() -> int { return showAnswer("GET", "/v1/orders/" + words_[1]); }
    auto live() -> int;
    auto explain() -> int;
    auto watch() -> int;

    // ---- their common parts
    auto wrongUse(const std::string& why) -> int;
    auto ask(const std::string& node, const std::string& method, const std::string& path,
        const std::string& body = "") -> bool;
    auto printRefusal(const std::string& key, int status) -> void;
    auto get(const std::string& path) -> bool { return ask(options_.node, "GET", path); }
    auto showAnswer(const std::string& method, const std::string& path, const std::string& body = "") -> int;
    auto order(const std::string& operation, const std::string& body) -> int;
    auto putConfig(const std::string& method, const char* member) -> int;
    auto readDocument(const std::string& file, rapidjson::Document& document)
        -> tl::expected<void, std::string>;
    auto show(const rapidjson::Value& value) -> void { fmt::print("{}\n", jsonPrettyText(value)); }
    auto showRows(const char* list, const std::vector<const char*>& columns) -> void;
    auto showBeliefs(const char* list, const std::vector<const char*>& columns) -> int;
    auto showDecision(const rapidjson::Value& decision) -> void;
    auto aliveNodes() -> std::vector<NodeAddress>;
    auto nodeOfRequest(const std::string& request) -> std::string;
    /// Where nothing was reached: the exit code of the last question.
    auto unreached() const -> int { return exit_ ? exit_ : int(UNREACHED); }

    const CtlOptions& options_;
    const std::vector<std::string>& words_;
    rapidjson::Document answer_;
    int exit_ = DONE;
};

auto CtlCommand::wrongUse(const std::string& why) -> int {
    fmt::print(stderr, "duneturn ctl: {}\n", why);
    return USAGE;
}

// Asks a node; true if it has done what was asked, with its reply in answer_.
auto CtlCommand::ask(const std::string& node, const std::string& method, const std::string& path,
    const std::string& body) -> bool {
    auto headers = Headers();
    // The key is drawn here, so that an order whose reply never came can be looked up.
    auto key = options_.key.empty() ? fmt::format("ctl-{:x}-{:x}", wallNow(), getpid()) : options_.key;
    if (method != "GET") headers.emplace_back("Idempotency-Key", key);
    auto reply = call(node, method, path, body, headers, ANSWER_LIMIT);
    if (!reply) {
        exit_ = method == "GET" ? UNREACHED : UNKNOWN;
        fmt::print(stderr, "duneturn ctl: {}{}\n", reply.error().why,
            exit_ == UNKNOWN ? "; the outcome is not known, look it up with: order " + key : "");
        return false;
    }
    auto status = int(reply->result_int());
    exit_ = exitCode(status);
    if (!parseJson(reply->body(), answer_)) {
        fmt::print(stderr, "duneturn ctl: the node's reply is not JSON (status {})\n", status);
        exit_ = UNREACHED;
        return false;
    }
    if (exit_ != DONE) printRefusal(key, status);
    return exit_ == DONE;
}

auto CtlCommand::printRefusal(const std::string& key, int status) -> void {
    fmt::print(stderr, "duneturn ctl: {} ({}){}\n", jsonString(answer_, "error", "denied"), status,
        exit_ == UNKNOWN ? "; look it up with: order " + key : "");
    if (!answer_.IsObject()) return;
    if (answer_.HasMember("faults"))
        for (auto& fault : answer_["faults"].GetArray())
            fmt::print(stderr, "  {}: {}\n", jsonString(fault, "path"), jsonString(fault, "why"));
    if (answer_.HasMember("configGeneration"))
        fmt::print(stderr, "  the newest generation is {}\n", jsonInteger(answer_, "configGeneration"));
}

auto CtlCommand::showAnswer(const std::string& method, const std::string& path, const std::string& body)
    -> int {
    if (ask(options_.node, method, path, body)) show(answer_);
    return exit_;
}

auto CtlCommand::order(const std::string& operation, const std::string& body) -> int {
    return showAnswer("POST", "/v1/orders/" + operation, body);
}

auto CtlCommand::readDocument(const std::string& file, rapidjson::Document& document)
    -> tl::expected<void, std::string> {
    auto text = readFile(file);
    if (!text) return tl::make_unexpected(text.error());
    if (!parseJson(*text, document)) return tl::make_unexpected(file + ": not JSON");
    return {};
}

auto CtlCommand::showRows(const char* list, const std::vector<const char*>& columns) -> void {
    if (options_.json) show(answer_);
    else fmt::print("{}", tableText(answer_[list], columns));
}

auto CtlCommand::showBeliefs(const char* list, const std::vector<const char*>& columns) -> int {
    if (get("/v1/beliefs")) showRows(list, columns);
    return exit_;
}

auto CtlCommand::status() -> int {
    if (!get("/v1/status")) return exit_;
    if (options_.json) show(answer_);
    else
        for (auto& member : answer_.GetObject())
            fmt::print("{:<18}{}\n", member.name.GetString(), cellText(member.value));
    return exit_;
}

auto CtlCommand::nodes() -> int {
    return showBeliefs("nodes",
        {"node", "district", "region", "alive", "ready", "settled", "reign", "generation", "leader", "disk",
            "credit", "operator"});
}

auto CtlCommand::servers() -> int {
    return showBeliefs(
        "servers", {"server", "pool", "region", "district", "state", "weights", "occupancy", "toldUs"});
}

auto CtlCommand::beliefs() -> int { return showAnswer("GET", "/v1/beliefs"); }

auto CtlCommand::where() -> int {
    if (get("/v1/where")) showRows("nodes", {"node", "address", "region", "district"});
    return exit_;
}

auto CtlCommand::config() -> int { return showAnswer("GET", "/v1/config"); }

// Without --base the change rests on the newest configuration, which is asked for first.
auto CtlCommand::putConfig(const std::string& method, const char* member) -> int {
    auto document = rapidjson::Document();
    if (auto read = readDocument(words_[1], document); !read) return wrongUse(read.error());
    auto base = options_.base;
    if (base < 0) {
        if (!get("/v1/config")) return exit_ == UNKNOWN ? int(UNREACHED) : exit_;
        base = jsonInteger(answer_, "generation");
    }
    return showAnswer(
        method, "/v1/config", bodyOf({{"base", fmt::to_string(base)}, {member, jsonText(document)}}));
}

auto CtlCommand::plan() -> int {
    if (!get("/v1/plan")) return exit_;
    if (options_.json) {
        show(answer_);
        return exit_;
    }
    for (auto& booked : answer_["plan"].GetArray()) {
        auto& move = booked["move"];
        auto fired = jsonInteger(booked, "fired");
        fmt::print("{:<8}{}  {:<10}{} {}{}\n", jsonString(booked, "id"),
            formatWallTime(jsonInteger(booked, "at")), jsonString(booked, "state"), jsonString(move, "op"),
            jsonString(move, "district"), fired ? "  fired " + formatWallTime(fired) : "");
    }
    for (auto& evacuated : answer_["empties"].GetObject())
        fmt::print(
            "emptied {} since {}\n", evacuated.name.GetString(), formatWallTime(evacuated.value.GetInt64()));
    return exit_;
}

auto CtlCommand::book() -> int {
    auto& time = words_[1];
    auto& operation = words_[2];
    auto& subject = words_[3];
    auto move = bodyOf({{"op", jsonQuote(operation)}, {"district", jsonQuote(subject)}});
    if (operation == "apply") {
        auto document = rapidjson::Document();
        if (auto read = readDocument(subject, document); !read) return wrongUse(read.error());
        move = bodyOf({{"op", "\"config\""}, {"config", jsonText(document)}});
    }
    return order("book", bodyOf({{"at", jsonQuote(time)}, {"move", move}}));
}

auto CtlCommand::rescue() -> int {
    auto epoch = std::atoll(words_[1].c_str()), generation = std::atoll(words_[2].c_str());
    return showAnswer(
        "POST", "/v1/rescue", fmt::format("{{\"reign\":{},\"generation\":{}}}", epoch, generation));
}

auto CtlCommand::roster() -> int {
    auto add = words_[1] == "add";
    if (!add && words_[1] != "remove") return wrongUse("roster wants add or remove, not " + words_[1]);
    return order("roster", bodyOf({{"node", jsonQuote(words_[2])}, {"add", add ? "true" : "false"}}));
}

// The nodes that the asked one knows alive; with --here it alone.
auto CtlCommand::aliveNodes() -> std::vector<NodeAddress> {
    auto alive = std::vector<NodeAddress>();
    if (!get("/v1/beliefs")) return alive;
    auto self = jsonString(answer_, "node");
    for (auto& node : answer_["nodes"].GetArray()) {
        auto name = jsonString(node, "node");
        if (jsonBool(node, "alive") && (!options_.here || name == self))
            alive.push_back({name, jsonString(node, "operator")});
    }
    return alive;
}

auto CtlCommand::live() -> int {
    auto all = rapidjson::Document(rapidjson::kArrayType);
    auto& memory = all.GetAllocator();
    auto reached = false;
    for (auto& node : aliveNodes()) {
        if (!ask(node.address, "GET", "/v1/exchanges")) continue;
        reached = true;
        for (auto& request : answer_["exchanges"].GetArray()) {
            auto named = rapidjson::Value(request, memory);
            named.AddMember("node", rapidjson::Value(node.name, memory), memory);
            all.PushBack(named, memory);
        }
    }
    if (!reached) return unreached();
    answer_.SetObject();
    answer_.AddMember("exchanges", rapidjson::Value(all, answer_.GetAllocator()), answer_.GetAllocator());
    showRows("exchanges",
        {"exchange", "mapping", "phase", "server", "ageUs", "sends", "migrationsLeft", "lastEventId"});
    return DONE;
}

// NODE-BOOT-NUMBER names its node; a bare number is of the asked one.
auto CtlCommand::nodeOfRequest(const std::string& request) -> std::string {
    auto number = request.rfind('-');
    auto boot =
        number == std::string::npos || number == 0 ? std::string::npos : request.rfind('-', number - 1);
    auto address = options_.node;
    if (boot == std::string::npos) return address;
    for (auto& node : aliveNodes())
        if (node.name == request.substr(0, boot)) address = node.address;
    return address;
}

auto CtlCommand::explain() -> int {
    auto node = nodeOfRequest(words_[1]);
    if (exit_ || !ask(node, "GET", "/v1/exchanges/" + words_[1])) return exit_;
    if (options_.json) show(answer_);
    else {
        fmt::print("{} ({})\n", jsonString(answer_, "exchange"), jsonString(answer_, "mapping"));
        for (auto& step : answer_["steps"].GetArray()) fmt::print("  {}\n", step.GetString());
    }
    return exit_;
}

auto CtlCommand::showDecision(const rapidjson::Value& decision) -> void {
    if (options_.json) return fmt::print("{}\n", jsonText(decision));
    fmt::print("{} {} {}\n", jsonString(decision, "exchange"), jsonString(decision, "mapping"),
        jsonString(decision, "end"));
    for (auto& step : decision["steps"].GetArray()) fmt::print("  {}\n", step.GetString());
}

auto CtlCommand::watch() -> int {
    auto seen = std::map<std::string, std::int64_t>();
    while (true) {
        auto reached = false;
        for (auto& node : aliveNodes()) {
            auto& last = seen[node.name];
            if (!ask(node.address, "GET", fmt::format("/v1/decisions?after={}", last))) continue;
            reached = true;
            for (auto& decision : answer_["decisions"].GetArray()) {
                last = jsonInteger(decision, "seq");
                showDecision(decision);
            }
        }
        std::fflush(stdout);
        if (!reached) return unreached();
        if (options_.once) return DONE;
        std::this_thread::sleep_for(std::chrono::microseconds(WATCH_PERIOD));
    }
}

auto CtlCommand::entries() -> const std::vector<Entry>& {
    static const auto commands = std::vector<Entry>{
        {"status", 0, &CtlCommand::status},
        {"nodes", 0, &CtlCommand::nodes},
        {"servers", 0, &CtlCommand::servers},
        {"beliefs", 0, &CtlCommand::beliefs},
        {"where", 0, &CtlCommand::where},
        {"config", 0, &CtlCommand::config},
        {"apply", 1, &CtlCommand::apply},
        {"change", 1, &CtlCommand::change},
        {"plan", 0, &CtlCommand::plan},
        {"empty", 1, &CtlCommand::evacuate},
        {"give-back", 1, &CtlCommand::evacuate},
        {"book", 3, &CtlCommand::book},
        {"cancel", 1, &CtlCommand::cancel},
        {"rescue", 2, &CtlCommand::rescue},
        {"roster", 2, &CtlCommand::roster},
        {"order", 1, &CtlCommand::findOrder},
        {"live", 0, &CtlCommand::live},
        {"explain", 1, &CtlCommand::explain},
        {"watch", 0, &CtlCommand::watch},
    };
    return commands;
}

auto CtlCommand::run() -> int {
    if (words_.empty()) return wrongUse("a command is missing; see duneturn ctl --help");
    if (auto address = parseAddress(options_.node); !address) return wrongUse("--node: " + address.error());
    auto following = words_.size() - 1;
    for (auto& entry : entries())
        if (words_[0] == entry.name && following == entry.words) return (this->*entry.run)();
    return wrongUse("no such command, or not with " + fmt::to_string(following)
        + " words behind it: " + words_[0] + "; see duneturn ctl --help");
}

}  // namespace

auto ctlRun(const CtlOptions& options, const std::vector<std::string>& words) -> int {
    return CtlCommand(options, words).run();
}

auto ctlHelp() -> std::string {
    return R"(duneturn ctl --node IP:PORT COMMAND…   (the operator address of any node)

  status                      this node in a few words
  nodes, servers              what this node knows of them
  config                      the newest configuration, read back from the log
  apply FILE                  puts FILE in force as the whole configuration
  change FILE                 lays FILE onto it as a merge patch (RFC 7396)
  plan                        booked and past moves, emptied districts
  empty DISTRICT              nothing new goes there from now on
  give-back DISTRICT          takes that back
  book TIME empty DISTRICT    books a move, TIME as 2026-01-31T06:00:00Z;
  book TIME give-back DISTRICT
  book TIME apply FILE
  cancel MOVE                 takes a booked move back
  rescue REIGN GENERATION     last resort, on a core: a new reign from what it holds, when
                              disks and nodes have both lost their majority
  roster add|remove NODE      the nodes that acknowledge
  order KEY                   what became of the order with this key
  live                        exchanges under way, on all nodes
  explain EXCHANGE            why that exchange went where it went (its X-Exchange-Id)
  watch                       each decision as it is made (--once: those remembered)
  where                       where senders are told to go
  beliefs                     all that this node believes

Flags: --json, --base GENERATION (apply, change: the configuration this rests on;
without it the newest is asked for first), --key KEY (the same key again gets the
first outcome), --once, --here (live, watch: of this node only).
Exit codes: 0 done, 1 denied, 2 wrong use, 3 no reply or not ready, 4 outcome unknown.
)";
}

}  // namespace duneturn
