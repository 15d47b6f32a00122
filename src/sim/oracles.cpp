// The judges of a simulated day: they see what servers ran, senders got and operators were
// told, by the true clock, and nothing that the fleet says of itself.
#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/world.hpp"

namespace duneturn {

// What an order says must hold of every send: judged by the servers' own hour.
auto World::orderEffects(const Exec& e) -> void {
    auto& s = ss[std::size_t(e.s)];
    if (s.leavingSent && t > s.leavingSent) {
        r.lastDisobedient = std::max(r.lastDisobedient, t - s.leavingSent);
        if (t - s.leavingSent > op.leaveLimit)
            broke("nothing new reaches a leaving server",
                fmt::format("{} {} us after the mark was sent", s.name, t - s.leavingSent));
    }
    // Emptied districts: in the order of generations; an unknown outcome may stand or not.
    auto since = Microseconds(0);
    auto sure = true;
    auto version = std::int64_t(0);
    for (auto& d : ords)
        if ((d.op == "empty" || d.op == "give-back") && d.what == s.zone) {
            if (d.over && d.status == 200) {
                if (d.version > version) {
                    version = d.version;
                    since = d.op == "empty" ? d.born : 0;
                    sure = true;
                }
            } else if ((!d.over || d.status == 504) && d.op == "give-back") sure = false;
        }
    if (since && sure && t > since) {
        r.lastDisobedient = std::max(r.lastDisobedient, t - since);
        if (t - since > 5 * SECOND)
            broke("nothing new reaches an emptied zone",
                fmt::format("{} in {} {} us after the order", s.name, s.zone, t - since));
    }
    // The probe's pool tells which configuration the sender's node obeyed.
    if (s.service.starts_with("probe-")) {
        auto in = inForce(t);
        if (std::none_of(in.begin(), in.end(), [&](auto d) { return d->what == s.service; }))
            broke("an acknowledged configuration is obeyed within 3 s",
                fmt::format(
                    "{} was reached; in force may be {}", s.service, in.empty() ? "none" : in[0]->what));
    }
}

// The limits count from when an order was sent, so what was run while it was on its way to
// its acknowledgement is judged when that comes.
auto World::leavingTaken(int k) -> void {
    auto& s = ss[std::size_t(k)];
    for (auto& e : execs)
        if (e.s == k && e.at - s.leavingSent > op.leaveLimit)
            broke("nothing new reaches a leaving server",
                fmt::format("{} {} us after the mark was sent", s.name, e.at - s.leavingSent));
}
auto World::emptyTaken(const Order& d) -> void {
    for (auto& e : execs)
        if (ss[std::size_t(e.s)].zone == d.what && e.at - d.born > 5 * SECOND)
            broke("nothing new reaches an emptied zone",
                fmt::format("{} {} us after the order", d.what, e.at - d.born));
}

// The configurations of which one may be obeyed at this time: what was acknowledged 3 s ago
// or later, and of unknown outcome what could still have come after that.
auto World::inForce(Microseconds at) const -> std::vector<const Order*> {
    auto newest = std::int64_t(-1);
    for (auto& d : ords)
        if (d.op == "config" && d.status == 200 && d.over && at - d.over > 3 * SECOND)
            newest = std::max(newest, d.version);
    auto o = std::vector<const Order*>();
    for (auto& d : ords) {
        if (d.op != "config" || !d.cfg) continue;
        auto unknown = !d.over || d.status == 504 || d.status == 503;
        if ((d.status == 200 && d.over && d.version >= newest) || (unknown && d.base + 1 > newest))
            o.push_back(&d);
    }
    return o;
}

// The rule that this run breaks under configuration `c`; empty if it keeps them all.
auto World::allows(const rapidjson::Document& c, const Exec& e) const -> std::string {
    auto& T = trs[std::size_t(e.tr)];
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto& s = ss[std::size_t(e.s)];
    auto runs = int(T.execs.size()) + (T.from > 0);
    for (auto& v : c["mappings"].GetArray()) {
        if (jsonString(v, "name") != k.name) continue;
        if (runs > 1 && !jsonBool(v, "Resumable")) return "a stream that cannot be resumed never runs twice";
        auto h = jsonString(v, "home");
        if (h == "@near") h = x.region;
        if (!h.empty() && h != s.region) return "a home region is never left";
        auto sp = jsonStrings(v, "spill");
        if (h.empty() && s.region != x.region && std::find(sp.begin(), sp.end(), s.region) == sp.end())
            return "work goes to another region only where allowed";
        if (T.sends + (T.from > 0) > jsonInteger(v, "MaxTries", 1))
            return "a stream moves only where allowed";
        auto m = jsonString(v, "model");
        if (m.empty()) return "";
        auto& md = c["models"][m];
        if (runs - 1 > jsonInteger(md, "migrationLimit")) return "a stream moves only where allowed";
        if (runs > 1 && e.from + std::int64_t(x.body.size() / 4) > jsonInteger(md, "maxSequence", 4096))
            return "a stream moves only where allowed";
        return "";
    }
    return "an acknowledged configuration is obeyed within 3 s";
}

auto World::checkExec(const Exec& e) -> void {
    auto& T = trs[std::size_t(e.tr)];
    auto& x = asks[std::size_t(T.ask)];
    auto& k = ks[std::size_t(x.kind)];
    auto& s = ss[std::size_t(e.s)];
    if (T.notRun)
        broke("what was denied has not run",
            fmt::format("try {} of {} ran on {} after its denial", e.tr, k.name, s.name));
    // One of the configurations that may be in force must allow all of it.
    auto no = std::string();
    for (auto d : inForce(t)) {
        no = allows(*d->cfg, e);
        if (no.empty()) break;
    }
    if (!no.empty())
        broke(no,
            fmt::format("try {} of {} from {}: run {} on {} in {}, send {}, after event {}", e.tr, k.name,
                x.region, T.execs.size(), s.name, s.region, T.sends, e.from));
    if (s.region != x.region) r.kinds[k.name].spilled++;
    if (T.execs.size() > 1) say(fmt::format("try {} moves to {} after event {}", e.tr, s.name, e.from));
    if (T.from) say(fmt::format("try {} resumes on {} after event {}", e.tr, s.name, e.from));
    orderEffects(e);
}

auto World::countSend(int tr) -> void {
    auto& T = trs[std::size_t(tr)];
    T.sends++;
    sent.emplace_back(t, T.sends > 1 || T.from > 0);
}

// While a total loss is judged, each kind is asked for in each region twice a second.
auto World::canary(Microseconds till) -> void {
    auto todo = std::vector<std::pair<std::size_t, std::string>>();
    for (auto k = std::size_t(0); k < ks.size(); k++) {
        auto rs = ks[k].region.empty() ? std::set<std::string>(regions.begin(), regions.end())
                                       : std::set<std::string>{ks[k].region};
        for (auto& g : rs) todo.emplace_back(k, g);
    }
    if (t < till) {
        for (auto& [k, g] : todo) ask(k, g);
        in(SECOND / 2, [this, till] {
            if (!ended) canary(till);
        });
        return;
    }
    auto worst = Microseconds(0);
    for (auto& [k, g] : todo) {
        auto i = backAt.find({ks[k].name, g});
        if (i == backAt.end()) {
            dump();
            broke("serving is back within 12 s of a total loss",
                fmt::format("no {} from {} yet", ks[k].name, g));
        } else worst = std::max(worst, i->second - lostAt);
    }
    r.recovery = std::max(r.recovery, worst);
}

// Nothing is wrong any more: all nodes are ready, and an order is taken.
auto World::calm() -> void {
    in(3 * SECOND, [this] {
        for (auto& m : ms)
            if (!m->node->ready(m->now())) {
                dump();
                broke("all nodes are ready once nothing is wrong", m->st.node + " is not");
            }
        auto n = ords.size();
        putConfig(0, newestConfig(), {});
        in(2500 * MILLISECOND, [this, n] {
            if (ords.size() <= n || (ords[n].status != 200 && ords[n].status != 409)) {
                dump();
                broke("orders are taken once nothing is wrong", fmt::format("order {} is not", n));
            }
        });
    });
}

// No exchange, queue place or send is held by anything at the day's end.
auto World::leaks() -> void {
    for (auto& m : ms) {
        if (!m->up) continue;
        auto& e = *m->edge;
        if (e.activeRequests() || e.queuedCount() || e.inflightCount())
            broke("nothing is leaked",
                fmt::format("{}: {} exchanges, {} places, {} sends", m->st.node, e.activeRequests(),
                    e.queuedCount(), e.inflightCount()));
    }
    // Beyond four times the day's rates the servers themselves are full; see measurements.md.
    if (op.scale <= 4)
        for (auto& [k, v] : calmAsks)
            if (v.first - v.second > std::max(1, v.first / 20))
                broke("each kind is served once nothing is wrong",
                    fmt::format("{}: {} of {} whole", k, v.second, v.first));
}

// Where every process stands; into the trace when the fleet does not come back.
auto World::dump() -> void {
    for (auto& m : ms) {
        if (!m->up) {
            say(m->st.node + " is down");
            continue;
        }
        auto v = m->node->voter();
        say(fmt::format("{}{} {}", m->frozen ? "frozen " : "", m->node->status(m->now()),
            v ? fmt::format(
                "voters {} role {} disk {} bad {} reign {} term {} last {} commit {} under {}",
                [&] {
                    auto o = std::string();
                    for (auto& x : v->voters()) o += x.disk.substr(0, 4) + " ";
                    return o;
                }(),
                int(v->role()), v->disk(), v->isDiskFaulty(), v->epoch(), v->term(), v->last(), v->commit(),
                m->dk.under.size())
              : ""));
    }
}

auto World::finish() -> void {
    // Orders and readbacks of configurations must be explained by one register. A denial by
    // 503 was not logged, as far as its operator was told; it may be, as any of unknown outcome.
    auto ops = hist;
    for (auto i = std::size_t(0); i < ords.size(); i++) {
        auto& d = ords[i];
        if (d.op != "config" || !d.cfg || d.status == 422) continue;
        auto h = HistOp();
        h.who = int(i);
        h.from = d.born;
        h.base = d.base;
        h.version = d.version;
        h.what = d.what;
        if (d.over && (d.status == 200 || d.status == 409)) h.to = d.over, h.status = d.status;
        ops.push_back(h);
    }
    if (auto no = historyCheck(ops, ""); !no.empty()) broke("orders are linearizable", no);
    // Extra sends, over the day and over any minute of it; credit saved up is the configuration's cap.
    auto c = rapidjson::Document();
    parseJson(config, c);
    auto cap = c.HasMember("budget") ? double(jsonInteger(c["budget"], "cap", 50)) : 50;
    r.firsts = r.extras = 0;
    for (auto& [at, more] : sent) (more ? r.extras : r.firsts)++;
    if (r.firsts && double(r.extras) > 0.2 * double(r.firsts) + 3)
        broke("extra tries stay near a fifth", fmt::format("{} extra on {} first", r.extras, r.firsts));
    auto j = std::size_t(0);
    auto fi = 0, ex = 0;
    for (auto& [at, more] : sent) {
        (more ? ex : fi)++;
        for (; sent[j].first < at - 60 * SECOND; j++) (sent[j].second ? ex : fi)--;
        if (at > 60 * SECOND && fi > 100) r.worstMinute = std::max(r.worstMinute, int(1000.0 * ex / fi));
        if (ex > 0.2 * fi + cap + 3) {
            broke("extra tries stay near a fifth",
                fmt::format("{} extra on {} first in the minute before {}", ex, fi, at));
            break;
        }
    }
    for (auto& m : ms)
        if (m->up)
            for (auto& [k, v] : m->ct->values())
                if (k.ends_with("_total")) sumCt[k] += v;
    if (auto x = sumCt["illegal_transitions_total"])
        broke("the tables of states hold", fmt::format("{} illegal transitions", x));
    r.counters = sumCt;
}

}  // namespace duneturn
