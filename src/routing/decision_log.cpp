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
        for (auto& l : x.trace) t += (t.empty() ? "" : ",") + jsQuote(l);
    return bodyOf({{"id", fmt::to_string(x.id)}, {"exchange", jsQuote(x.received.name)},
        {"mapping", jsQuote(x.route.name)}, {"phase", jsQuote(phaseName(x.phase()))},
        {"server", jsQuote(x.attempts.server)}, {"ageUs", fmt::to_string(now - x.received.acceptedAt)},
        {"sends", fmt::to_string(x.attempts.sent)}, {"migrationsLeft", fmt::to_string(x.migrationsLeft())},
        {"lastEventId", fmt::to_string(x.relayed.lastEventId)}, {"steps", "[" + t + "]"}});
}

}  // namespace

auto Edge::liveRequestsJson(Microseconds now) const -> std::string {
    auto o = std::string();
    for (auto& [id, x] : requests_) o += (o.empty() ? "" : ",") + liveOne(x, now, false);
    return "{\"exchanges\":[" + o + "]}";
}

// By its whole name, or by the number at its end.
auto Edge::explainedRequestJson(const std::string& name, Microseconds now) const -> std::string {
    auto same = [&](const std::string& exid, std::int64_t id) {
        return name == exid || name == fmt::to_string(id);
    };
    for (auto& [id, x] : requests_)
        if (same(x.received.name, id)) return liveOne(x, now, true);
    for (auto i = decisions_.rbegin(); i != decisions_.rend(); ++i)
        if (same(i->name, i->id)) return i->text;
    return "";
}

auto Edge::decisionsJson(std::int64_t after) const -> std::string {
    auto o = std::string();
    for (auto& p : decisions_)
        if (p.seq > after) o += (o.empty() ? "" : ",") + p.text;
    return "{\"decisions\":[" + o + "]}";
}

}  // namespace duneturn
