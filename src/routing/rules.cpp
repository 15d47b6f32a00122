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

auto compile(const rapidjson::Value& c, std::int64_t configVersion) -> Rules {
    auto r = Rules();
    r.configVersion = configVersion;
    auto sub = [](const rapidjson::Value& v, const char* k) -> const rapidjson::Value& {
        static const auto none = rapidjson::Value(rapidjson::kObjectType);
        return v.IsObject() && v.HasMember(k) ? v[k] : none;
    };
    r.share = jsonNumber(sub(c, "budget"), "share", r.share);
    r.cap = jsonInteger(sub(c, "budget"), "cap", r.cap);
    r.slack = jsonNumber(sub(c, "budget"), "slack", r.slack);
    r.rampOver = jsonInteger(sub(c, "ramp"), "overUs", r.rampOver);
    r.rampFirst = int(jsonInteger(sub(c, "ramp"), "first", r.rampFirst));
    r.coldOverrun = jsonNumber(sub(c, "cold"), "overrun", r.coldOverrun);
    r.coldSlack = jsonNumber(sub(c, "cold"), "slack", r.coldSlack);
    for (auto& m : sub(c, "pools").GetObject()) {
        auto& p = r.services[m.name.GetString()];
        p.maxConns = int(jsonInteger(m.value, "maxConns"));
        p.slots = int(jsonInteger(m.value, "slots"));
        p.stride = int(jsonInteger(m.value, "stride"));
        p.coldUs = jsonInteger(m.value, "coldUs");
        p.coldRate = jsonNumber(m.value, "coldRate");
        p.kvTokens = jsonInteger(m.value, "kvTokens");
        p.engine = jsonBool(m.value, "engine");
    }
    for (auto& m : sub(c, "models").GetObject()) {
        auto& d = r.models[m.name.GetString()];
        d.limit = int(jsonInteger(m.value, "migrationLimit", 0));
        d.maxSequence = jsonInteger(m.value, "maxSequence", d.maxSequence);
    }
    if (!c.HasMember("mappings")) return r;
    r.ms.reserve(c["mappings"].Size());
    for (auto& v : c["mappings"].GetArray()) {
        auto m = Route();
        m.name = jsonString(v, "name");
        m.host = toLower(jsonString(v, "host"));
        m.method = jsonString(v, "method", "POST");
        m.path = jsonString(v, "path");
        if (m.path.ends_with("*")) m.prefix = true, m.path.pop_back();
        m.service = jsonString(v, "pool");
        if (v.HasMember("pools"))
            for (auto& p : v["pools"].GetArray())
                m.services.emplace_back(jsonString(p, "pool"), jsonInteger(p, "share"));
        if (!m.services.empty()) m.service = m.services[0].first;
        m.model = jsonString(v, "model");
        m.homes = jsonStrings(v, "homes");
        if (auto h = jsonString(v, "home"); !h.empty()) m.homes.push_back(h);
        m.spill = jsonStrings(v, "spill");
        m.spillAt = jsonNumber(v, "spillAt", m.spillAt);
        m.stream = jsonBool(v, "stream");
        m.resumable = jsonBool(v, "Resumable");
        m.repeatable = jsonBool(v, "repeatable");
        m.maxTries = int(jsonInteger(v, "MaxTries", m.maxTries));
        m.urgency = int(jsonInteger(v, "urgency", m.urgency));
        m.deadline = jsonInteger(v, "deadlineUs", m.deadline);
        m.aim = jsonInteger(v, "aimUs");
        m.gap = jsonInteger(v, "gapUs");
        m.idleSaid = v.HasMember("idleUs");
        m.idle = jsonInteger(v, "idleUs", m.idle);
        // Whoever waits longer than a quarter of the aim would better have been told at once.
        m.queueUs = jsonInteger(v, "queueUs", m.aim ? std::min(m.queueUs, m.aim / 5) : m.queueUs);
        m.queue = std::size_t(jsonInteger(v, "queue", std::int64_t(m.queue)));
        m.affinity = std::size_t(jsonInteger(v, "affinity"));
        if (auto i = r.models.find(m.model); i != r.models.end())
            m.limit = i->second.limit, m.maxSequence = i->second.maxSequence;
        m.prog = {{Op::Service}, {Op::Listed}, {Op::Evacuated}};
        if (!m.homes.empty()) m.prog.push_back({Op::Home});
        m.prog.push_back({Op::Weights});
        m.prog.push_back({Op::Untried});
        m.prog.push_back({Op::Fit, 0.3});
        m.prog.push_back({Op::Ramp});
        // Less urgent work leaves a little room for what is more urgent.
        m.prog.push_back({Op::Room, m.urgency >= 5 ? 1.0 : 0.85});
        // Several homes are weighed as regions are; a single one leaves nothing to weigh.
        if (m.homes.size() != 1) m.prog.push_back({Op::Near, m.spillAt});
        m.prog.push_back({Op::Pick, double(m.affinity > 0)});
        auto& h = r.hosts[m.host];
        (m.prefix ? h.prefix : h.exact)[m.path].push_back(int(r.ms.size()));
        if (m.prefix) h.lengths.insert(m.path.size());
        r.ms.push_back(std::move(m));
    }
    return r;
}

auto Rules::match(std::string_view me, std::string_view host, std::string_view p) const -> int {
    p = p.substr(0, p.find('?'));
    if (!host.empty() && host.back() != ']')  // the colons of an address in brackets are no port
        if (auto i = host.rfind(':'); i != std::string_view::npos) host = host.substr(0, i);
    // Of one host and path the mapping of this very method counts first, then the first named.
    auto best = [&](const Table<std::vector<int>>& t, std::string_view k) {
        auto b = -1;
        if (auto i = t.find(k); i != t.end())
            for (auto j : i->second) {
                auto& m = ms[std::size_t(j)].method;
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
                auto same =
                    b >= 0 && (ms[std::size_t(b)].method == "*") == (ms[std::size_t(j)].method == "*");
                if (b < 0 || (same ? j < b : ms[std::size_t(b)].method == "*")) b = j;
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
    if (!o.services.empty()) {
        auto sum = std::int64_t(0);
        for (auto& [p, k] : o.services) sum += k;
        auto at = std::int64_t(hash64(x.exid, 11) % std::uint64_t(std::max<std::int64_t>(1, sum)));
        for (auto& [p, k] : o.services) {
            if (at < k) {
                o.service = p;
                break;
            }
            at -= k;
        }
    }
    if (!x.askedModel.empty() && o.stream) {
        o.model = x.askedModel;
        auto i = ru_.models.find(o.model);
        o.limit = i == ru_.models.end() ? 0 : i->second.limit;
        if (i != ru_.models.end()) o.maxSequence = i->second.maxSequence;
    }
    return o;
}

// The newest configuration binds an exchange under way in all but its deadline: what it says
// of this method and path is what counts. False if that is another mapping now.
auto Edge::bind(Request& x) -> bool {
    if (x.rulesRevision == rulesRevision_ || broken.oldRules) return true;
    auto i = ru_.match(x.method, x.host, x.path);
    if (i < 0) return false;
    auto m = adapt(x, ru_.ms[std::size_t(i)]);
    auto begun = x.attempt.mayHaveRun() || x.tries > 0 || !di_.clientNamesRequests;
    if (begun && (m.name != x.m.name || m.model != x.m.model || m.stream != x.m.stream)) return false;
    x.m = m;
    x.rulesRevision = rulesRevision_;
    x.fixed = x.fixed || x.seq > x.m.maxSequence;
    return true;
}

}  // namespace duneturn
