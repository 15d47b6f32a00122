// Compiles a configuration into the rules that bind requests, and binds them.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "base/json.hpp"
#include "routing/edge.hpp"
#include "routing/headers.hpp"
#include "routing/request_phases.hpp"
#include "routing/tuning.hpp"

namespace duneturn {

auto compileRoutes(const rapidjson::Value& c, std::int64_t configVersion) -> RouteTable {
    auto r = RouteTable();
    r.configVersion = configVersion;
    auto sub = [](const rapidjson::Value& v, const char* k) -> const rapidjson::Value& {
        static const auto none = rapidjson::Value(rapidjson::kObjectType);
        return v.IsObject() && v.HasMember(k) ? v[k] : none;
    };
    r.budgetShare = jsNum(sub(c, "budget"), "share", r.budgetShare);
    r.budgetCap = jsInt(sub(c, "budget"), "cap", r.budgetCap);
    r.budgetSlack = jsNum(sub(c, "budget"), "slack", r.budgetSlack);
    r.rampDuration = jsInt(sub(c, "ramp"), "overUs", r.rampDuration);
    r.rampFirstSlots = int(jsInt(sub(c, "ramp"), "first", r.rampFirstSlots));
    r.coldOverrun = jsNum(sub(c, "cold"), "overrun", r.coldOverrun);
    r.coldSlack = jsNum(sub(c, "cold"), "slack", r.coldSlack);
    for (auto& m : sub(c, "pools").GetObject()) {
        auto& p = r.services[m.name.GetString()];
        p.maxConnections = int(jsInt(m.value, "maxConns"));
        p.slots = int(jsInt(m.value, "slots"));
        p.eventTokens = int(jsInt(m.value, "stride"));
        p.coldDuration = jsInt(m.value, "coldUs");
        p.coldRate = jsNum(m.value, "coldRate");
        p.memoryTokens = jsInt(m.value, "kvTokens");
        p.isEngine = jsBool(m.value, "engine");
    }
    for (auto& m : sub(c, "models").GetObject()) {
        auto& d = r.models[m.name.GetString()];
        d.migrationLimit = int(jsInt(m.value, "migrationLimit", 0));
        d.maxSequenceTokens = jsInt(m.value, "maxSequence", d.maxSequenceTokens);
    }
    if (!c.HasMember("mappings")) return r;
    r.routes.reserve(c["mappings"].Size());
    for (auto& v : c["mappings"].GetArray()) {
        auto m = Route();
        m.name = jsStr(v, "name");
        m.host = toLower(jsStr(v, "host"));
        m.method = jsStr(v, "method", "POST");
        m.path = jsStr(v, "path");
        if (m.path.ends_with("*")) m.pathIsPrefix = true, m.path.pop_back();
        m.service = jsStr(v, "pool");
        if (v.HasMember("pools"))
            for (auto& p : v["pools"].GetArray())
                m.serviceShares.emplace_back(jsStr(p, "pool"), jsInt(p, "share"));
        if (!m.serviceShares.empty()) m.service = m.serviceShares[0].first;
        m.model = jsStr(v, "model");
        m.homes = jsList(v, "homes");
        if (auto h = jsStr(v, "home"); !h.empty()) m.homes.push_back(h);
        m.spillRegions = jsList(v, "spill");
        m.spillOccupancy = jsNum(v, "spillAt", m.spillOccupancy);
        m.stream = jsBool(v, "stream");
        m.resumable = jsBool(v, "Resumable");
        m.repeatable = jsBool(v, "repeatable");
        m.maxAttempts = int(jsInt(v, "MaxTries", m.maxAttempts));
        m.urgency = int(jsInt(v, "urgency", m.urgency));
        m.timeout = jsInt(v, "deadlineUs", m.timeout);
        m.firstByteTarget = jsInt(v, "aimUs");
        m.eventGapTarget = jsInt(v, "gapUs");
        m.idleTimeoutConfigured = v.HasMember("idleUs");
        m.idleTimeout = jsInt(v, "idleUs", m.idleTimeout);
        // Whoever waits longer than a quarter of the aim would better have been told at once.
        m.queueTimeout = jsInt(v, "queueUs",
            m.firstByteTarget ? std::min(m.queueTimeout, m.firstByteTarget / 5) : m.queueTimeout);
        m.queueCapacity = std::size_t(jsInt(v, "queue", std::int64_t(m.queueCapacity)));
        m.affinityBytes = std::size_t(jsInt(v, "affinity"));
        if (auto i = r.models.find(m.model); i != r.models.end())
            m.migrationLimit = i->second.migrationLimit, m.maxSequenceTokens = i->second.maxSequenceTokens;
        m.steps = {{SelectionStage::Service}, {SelectionStage::Listed}, {SelectionStage::Evacuated}};
        if (!m.homes.empty()) m.steps.push_back({SelectionStage::Home});
        m.steps.push_back({SelectionStage::Weights});
        m.steps.push_back({SelectionStage::Untried});
        m.steps.push_back({SelectionStage::Fit, 0.3});
        m.steps.push_back({SelectionStage::Ramp});
        // Less urgent work leaves a little room for what is more urgent.
        m.steps.push_back({SelectionStage::Room, m.urgency >= 5 ? 1.0 : 0.85});
        // Several homes are weighed as regions are; a single one leaves nothing to weigh.
        if (m.homes.size() != 1) m.steps.push_back({SelectionStage::Near, m.spillOccupancy});
        m.steps.push_back({SelectionStage::Pick, double(m.affinityBytes > 0)});
        auto& h = r.hosts[m.host];
        (m.pathIsPrefix ? h.prefix : h.exact)[m.path].push_back(int(r.routes.size()));
        if (m.pathIsPrefix) h.lengths.insert(m.path.size());
        r.routes.push_back(std::move(m));
    }
    return r;
}

auto RouteTable::match(std::string_view me, std::string_view host, std::string_view p) const -> int {
    p = p.substr(0, p.find('?'));
    if (!host.empty() && host.back() != ']')  // the colons of an address in brackets are no port
        if (auto i = host.rfind(':'); i != std::string_view::npos) host = host.substr(0, i);
    // Of one host and path the mapping of this very method counts first, then the first named.
    auto best = [&](const Table<std::vector<int>>& t, std::string_view k) {
        auto b = -1;
        if (auto i = t.find(k); i != t.end())
            for (auto j : i->second) {
                auto& m = routes[std::size_t(j)].method;
                if (m == me) return j;
                if (m == "*" && b < 0) b = j;
            }
        return b;
    };
    auto in = [&](const std::string& h) {
        auto i = hosts.find(h);
        if (i == hosts.end()) return -1;
        auto b = best(i->second.exact, p);
        for (auto n : i->second.lengths) {
            if (n > p.size()) continue;
            if (b >= 0 && n < p.size()) break;
            // As long as a prefix can be, it is as long as the path itself: the first named counts.
            if (auto j = best(i->second.prefix, p.substr(0, n)); j >= 0) {
                auto same = b >= 0
                    && (routes[std::size_t(b)].method == "*") == (routes[std::size_t(j)].method == "*");
                if (b < 0 || (same ? j < b : routes[std::size_t(b)].method == "*")) b = j;
                break;
            }
        }
        return b;
    };
    auto b = host.empty() ? -1 : in(toLower(host));
    return b >= 0 ? b : in("");
}

// What is an exchange's own in its mapping: the pool that its name draws, and its model.
auto Edge::adapt(Request& x, const Route& m) const -> Route {
    auto o = m;
    if (!o.serviceShares.empty()) {
        auto sum = std::int64_t(0);
        for (auto& [p, k] : o.serviceShares) sum += k;
        auto at = std::int64_t(hash64(x.received.name, 11) % std::uint64_t(std::max<std::int64_t>(1, sum)));
        for (auto& [p, k] : o.serviceShares) {
            if (at < k) {
                o.service = p;
                break;
            }
            at -= k;
        }
    }
    if (!x.received.model.empty() && o.stream) {
        o.model = x.received.model;
        auto i = routes_.models.find(o.model);
        o.migrationLimit = i == routes_.models.end() ? 0 : i->second.migrationLimit;
        if (i != routes_.models.end()) o.maxSequenceTokens = i->second.maxSequenceTokens;
    }
    return o;
}

// The newest configuration binds an exchange under way in all but its deadline: what it says
// of this method and path is what counts. False if that is another mapping now.
auto Edge::bind(Request& x) -> bool {
    if (x.limits.routesRevision == routesRevision_ || broken.oldRules) return true;
    auto i = routes_.match(x.received.method, x.received.host, x.received.path);
    if (i < 0) return false;
    auto m = adapt(x, routes_.routes[std::size_t(i)]);
    auto begun = x.attempts.tracker.mayHaveRun() || x.attempts.sent > 0 || !dialect_.clientNamesRequests;
    if (begun && (m.name != x.route.name || m.model != x.route.model || m.stream != x.route.stream))
        return false;
    x.route = m;
    x.limits.routesRevision = routesRevision_;
    x.limits.immovable = x.limits.immovable || x.limits.sequenceTokens > x.route.maxSequenceTokens;
    return true;
}

}  // namespace duneturn
