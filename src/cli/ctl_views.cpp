// The commands that show what a node knows and what the replicated state holds.
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "cli/ctl_run.hpp"
#include "cli/table.hpp"

namespace duneturn {

auto CtlRun::showBeliefs(const char* list, const std::vector<const char*>& columns) -> Exit {
    if (get("/v1/beliefs")) showTable(list, columns);
    return exit_;
}

auto CtlRun::status() -> Exit {
    if (!get("/v1/status")) return exit_;
    if (options_.json) show(answer_);
    else
        for (auto& member : answer_.GetObject())
            fmt::print("{:<18}{}\n", member.name.GetString(), cellText(member.value));
    return exit_;
}

auto CtlRun::nodes() -> Exit {
    return showBeliefs("nodes",
        {"node", "district", "region", "alive", "ready", "settled", "reign", "generation", "leader", "disk",
            "credit", "operator"});
}

auto CtlRun::servers() -> Exit {
    return showBeliefs(
        "servers", {"server", "pool", "region", "district", "state", "weights", "occupancy", "toldUs"});
}

auto CtlRun::beliefs() -> Exit { return showAnswer("GET", "/v1/beliefs"); }

auto CtlRun::where() -> Exit {
    if (get("/v1/where")) showTable("nodes", {"node", "address", "region", "district"});
    return exit_;
}

auto CtlRun::tenants() -> Exit {
    if (!get("/v1/tenants")) return exit_;
    if (!options_.json) fmt::print("granter {}\n", jsonString(answer_, "granter"));
    if (options_.json || !answer_["tenants"].Empty())
        showTable("tenants", {"name", "limit", "bound", "spent", "outstanding", "refused"});
    else
        for (auto& member : answer_["held"].GetObject())
            fmt::print("{:<18}{} tokens here\n", member.name.GetString(), cellText(member.value));
    return exit_;
}

auto CtlRun::config() -> Exit { return showAnswer("GET", "/v1/config"); }

auto CtlRun::plan() -> Exit {
    if (!get("/v1/plan")) return exit_;
    if (options_.json) {
        show(answer_);
        return exit_;
    }
    for (auto& scheduled : answer_["plan"].GetArray()) {
        auto& move = scheduled["move"];
        auto fired = jsonInteger(scheduled, "fired");
        fmt::print("{:<8}{}  {:<10}{} {}{}\n", jsonString(scheduled, "id"),
            formatWallTime(jsonInteger(scheduled, "at")), jsonString(scheduled, "state"),
            jsonString(move, "op"), jsonString(move, "district"),
            fired ? "  fired " + formatWallTime(fired) : "");
    }
    for (auto& evacuated : answer_["empties"].GetObject())
        fmt::print(
            "emptied {} since {}\n", evacuated.name.GetString(), formatWallTime(evacuated.value.GetInt64()));
    return exit_;
}

}  // namespace duneturn
