// What operators are shown of requests.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {
namespace {

auto phaseName(Phase p) -> const char* {
    switch (p) {
    case Phase::Queued: return "queued";
    case Phase::Sending: return "sending";
    case Phase::Delivering: return "delivering";
    case Phase::Migrating: return "migrating";
    default: return "finished";
    }
}

auto liveOne(const Request& x, Microseconds now, bool steps) -> std::string {
    auto t = std::string();
    if (steps)
        for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsonQuote(l);
    return bodyOf({{"id", fmt::to_string(x.id)}, {"exchange", jsonQuote(x.exid)},
        {"mapping", jsonQuote(x.m.name)}, {"phase", jsonQuote(phaseName(x.phase()))},
        {"server", jsonQuote(x.server)}, {"ageUs", fmt::to_string(now - x.born)},
        {"sends", fmt::to_string(x.tries)}, {"migrationsLeft", fmt::to_string(x.left())},
        {"lastEventId", fmt::to_string(x.last)}, {"steps", "[" + t + "]"}});
}

}  // namespace

auto Edge::liveText(Microseconds now) const -> std::string {
    auto o = std::string();
    for (auto& [id, x] : xs_) o += (o.empty() ? "" : ",") + liveOne(x, now, false);
    return "{\"exchanges\":[" + o + "]}";
}

// By its whole name, or by the number at its end.
auto Edge::explainText(const std::string& name, Microseconds now) const -> std::string {
    auto same = [&](const std::string& exid, std::int64_t id) {
        return name == exid || name == fmt::to_string(id);
    };
    for (auto& [id, x] : xs_)
        if (same(x.exid, id)) return liveOne(x, now, true);
    for (auto i = past_.rbegin(); i != past_.rend(); ++i)
        if (same(i->exid, i->id)) return i->text;
    return "";
}

auto Edge::decisions(std::int64_t after) const -> std::string {
    auto o = std::string();
    for (auto& p : past_)
        if (p.seq > after) o += (o.empty() ? "" : ",") + p.text;
    return "{\"decisions\":[" + o + "]}";
}

}  // namespace duneturn
