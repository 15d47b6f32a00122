#include "cli/ctl_run.hpp"

#include <string>
#include <unistd.h>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/address.hpp"
#include "base/file.hpp"
#include "base/json.hpp"
#include "base/time.hpp"
#include "cli/table.hpp"
#include "net/http_client.hpp"

namespace duneturn {

namespace {

constexpr Microseconds ANSWER_LIMIT = 5 * SECOND;

/// The exit code that an HTTP status of a node stands for.
auto exitOf(int status) -> Exit {
    if (status < 300) return Exit::Done;
    if (status == 504) return Exit::Unknown;
    return status == 503 ? Exit::Unreached : Exit::Rejected;
}

}  // namespace

auto CtlRun::run() -> Exit {
    if (words_.empty()) return wrongUse("a command is missing; see duneturn ctl --help");
    if (auto address = parseAddress(options_.node); !address) return wrongUse("--node: " + address.error());
    auto following = words_.size() - 1;
    for (auto& entry : entries())
        if (words_[0] == entry.name && following == entry.words) return (this->*entry.run)();
    return wrongUse("no such command, or not with " + fmt::to_string(following)
        + " words behind it: " + words_[0] + "; see duneturn ctl --help");
}

auto CtlRun::entries() -> const std::vector<Entry>& {
    static const auto commands = std::vector<Entry>{
        {"status", 0, &CtlRun::status},
        {"nodes", 0, &CtlRun::nodes},
        {"servers", 0, &CtlRun::servers},
        {"beliefs", 0, &CtlRun::beliefs},
        {"where", 0, &CtlRun::where},
        {"tenants", 0, &CtlRun::tenants},
        {"config", 0, &CtlRun::config},
        {"apply", 1, &CtlRun::apply},
        {"change", 1, &CtlRun::change},
        {"plan", 0, &CtlRun::plan},
        {"empty", 1, &CtlRun::evacuate},
        {"give-back", 1, &CtlRun::evacuate},
        {"book", 3, &CtlRun::schedule},
        {"cancel", 1, &CtlRun::cancel},
        {"rescue", 2, &CtlRun::rescue},
        {"roster", 2, &CtlRun::roster},
        {"order", 1, &CtlRun::findOrder},
        {"live", 0, &CtlRun::live},
        {"explain", 1, &CtlRun::explain},
        {"watch", 0, &CtlRun::watch},
    };
    return commands;
}

auto CtlRun::wrongUse(const std::string& why) -> Exit {
    fmt::print(stderr, "duneturn ctl: {}\n", why);
    return Exit::WrongUse;
}

// Asks a node; true if it has done what was asked, with its reply in answer_.
auto CtlRun::ask(const std::string& node, const std::string& method, const std::string& path,
    const std::string& body) -> bool {
    auto headers = Headers();
    // The key is drawn here, so that an order whose reply never came can be looked up.
    auto key = options_.key.empty() ? fmt::format("ctl-{:x}-{:x}", wallNow(), getpid()) : options_.key;
    if (method != "GET") headers.emplace_back("Idempotency-Key", key);
    auto reply = fetchBlocking(node, method, path, body, headers, ANSWER_LIMIT);
    if (!reply) {
        exit_ = method == "GET" ? Exit::Unreached : Exit::Unknown;
        fmt::print(stderr, "duneturn ctl: {}{}\n", reply.error().why,
            exit_ == Exit::Unknown ? "; the outcome is not known, look it up with: order " + key : "");
        return false;
    }
    auto status = int(reply->result_int());
    exit_ = exitOf(status);
    if (!parseJson(reply->body(), answer_)) {
        fmt::print(stderr, "duneturn ctl: the node's reply is not JSON (status {})\n", status);
        exit_ = Exit::Unreached;
        return false;
    }
    if (exit_ != Exit::Done) printRefusal(key, status);
    return exit_ == Exit::Done;
}

auto CtlRun::printRefusal(const std::string& key, int status) -> void {
    fmt::print(stderr, "duneturn ctl: {} ({}){}\n", jsonString(answer_, "error", "denied"), status,
        exit_ == Exit::Unknown ? "; look it up with: order " + key : "");
    if (!answer_.IsObject()) return;
    if (answer_.HasMember("faults"))
        for (auto& fault : answer_["faults"].GetArray())
            fmt::print(stderr, "  {}: {}\n", jsonString(fault, "path"), jsonString(fault, "why"));
    if (answer_.HasMember("configGeneration"))
        fmt::print(stderr, "  the newest generation is {}\n", jsonInteger(answer_, "configGeneration"));
}

auto CtlRun::showAnswer(const std::string& method, const std::string& path, const std::string& body) -> Exit {
    if (ask(options_.node, method, path, body)) show(answer_);
    return exit_;
}

auto CtlRun::readDocument(const std::string& file, rapidjson::Document& document)
    -> tl::expected<void, std::string> {
    auto text = readFile(file);
    if (!text) return tl::make_unexpected(text.error());
    if (!parseJson(*text, document)) return tl::make_unexpected(file + ": not JSON");
    return {};
}

auto CtlRun::showTable(const char* list, const std::vector<const char*>& columns) -> void {
    if (options_.json) show(answer_);
    else fmt::print("{}", tableText(answer_[list], columns));
}

// The nodes that the asked one knows alive; with --here it alone.
auto CtlRun::aliveNodes() -> std::vector<NodeAddress> {
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

}  // namespace duneturn
