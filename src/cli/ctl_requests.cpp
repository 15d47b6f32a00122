// The commands that show clients' requests and why they went where they went.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "cli/ctl_run.hpp"

namespace duneturn {

namespace {

constexpr Microseconds WATCH_PERIOD = 500 * MILLISECOND;

}  // namespace

auto CtlRun::live() -> Exit {
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
    showTable("exchanges",
        {"exchange", "mapping", "phase", "server", "ageUs", "sends", "migrationsLeft", "lastEventId"});
    return Exit::Done;
}

// NODE-BOOT-NUMBER names its node; a bare number is of the asked one.
auto CtlRun::nodeOfRequest(const std::string& request) -> std::string {
    auto number = request.rfind('-');
    auto boot =
        number == std::string::npos || number == 0 ? std::string::npos : request.rfind('-', number - 1);
    auto address = options_.node;
    if (boot == std::string::npos) return address;
    for (auto& node : aliveNodes())
        if (node.name == request.substr(0, boot)) address = node.address;
    return address;
}

auto CtlRun::explain() -> Exit {
    auto node = nodeOfRequest(words_[1]);
    if (exit_ != Exit::Done || !ask(node, "GET", "/v1/exchanges/" + words_[1])) return exit_;
    if (options_.json) show(answer_);
    else {
        fmt::print("{} ({})\n", jsonString(answer_, "exchange"), jsonString(answer_, "mapping"));
        for (auto& step : answer_["steps"].GetArray()) fmt::print("  {}\n", step.GetString());
    }
    return exit_;
}

auto CtlRun::showDecision(const rapidjson::Value& decision) -> void {
    if (options_.json) return fmt::print("{}\n", jsonText(decision));
    fmt::print("{} {} {}\n", jsonString(decision, "exchange"), jsonString(decision, "mapping"),
        jsonString(decision, "end"));
    for (auto& step : decision["steps"].GetArray()) fmt::print("  {}\n", step.GetString());
}

auto CtlRun::watch() -> Exit {
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
        if (options_.once) return Exit::Done;
        std::this_thread::sleep_for(std::chrono::microseconds(WATCH_PERIOD));
    }
}

}  // namespace duneturn
