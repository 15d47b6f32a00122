// The commands that change the replicated state.
#include <cstdlib>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "cli/ctl_run.hpp"

namespace duneturn {

auto CtlRun::order(const std::string& operation, const std::string& body) -> Exit {
    return showAnswer("POST", "/v1/orders/" + operation, body);
}

// Without --base the change rests on the newest configuration, which is asked for first.
auto CtlRun::putConfig(const std::string& method, const char* member) -> Exit {
    auto document = rapidjson::Document();
    if (auto read = readDocument(words_[1], document); !read) return wrongUse(read.error());
    auto base = options_.base;
    if (base < 0) {
        if (!get("/v1/config")) return exit_ == Exit::Unknown ? Exit::Unreached : exit_;
        base = jsonInteger(answer_, "generation");
    }
    return showAnswer(
        method, "/v1/config", bodyOf({{"base", fmt::to_string(base)}, {member, jsonText(document)}}));
}

auto CtlRun::schedule() -> Exit {
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

auto CtlRun::rescue() -> Exit {
    auto epoch = std::atoll(words_[1].c_str()), generation = std::atoll(words_[2].c_str());
    return showAnswer(
        "POST", "/v1/rescue", fmt::format("{{\"reign\":{},\"generation\":{}}}", epoch, generation));
}

auto CtlRun::roster() -> Exit {
    auto add = words_[1] == "add";
    if (!add && words_[1] != "remove") return wrongUse("roster wants add or remove, not " + words_[1]);
    return order("roster", bodyOf({{"node", jsonQuote(words_[2])}, {"add", add ? "true" : "false"}}));
}

}  // namespace duneturn
