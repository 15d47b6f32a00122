#include "ctl.hpp"

#include <unistd.h>

#include <array>
#include <thread>

#include "http.hpp"

namespace dt {

auto ctlHelp() -> Str {
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

static auto code(int st) -> int {
    return st < 300 ? DONE : st == 504 ? UNKNOWN : st == 503 ? UNREACHED : DENIED;
}

static auto cell(const Val& v) -> Str { return v.IsString() ? Str(v.GetString()) : v.IsNull() ? "-" : js(v); }

static auto table(const Val& rows, const std::vector<const char*>& cols) -> Str {
    auto w = std::vector<std::size_t>();
    for (auto c : cols) w.push_back(std::strlen(c));
    auto cs = std::vector<std::vector<Str>>();
    for (auto& r : rows.GetArray()) {
        auto l = std::vector<Str>();
        for (auto i = std::size_t(0); i < cols.size(); i++) {
            l.push_back(r.HasMember(cols[i]) ? cell(r[cols[i]]) : "-");
            w[i] = std::max(w[i], l[i].size());
        }
        cs.push_back(l);
    }
    auto o = Str();
    for (auto i = std::size_t(0); i < cols.size(); i++) o += fmt::format("{:<{}}", cols[i], w[i] + 2);
    o += "\n";
    for (auto& l : cs) {
        for (auto i = std::size_t(0); i < cols.size(); i++) o += fmt::format("{:<{}}", l[i], w[i] + 2);
        o += "\n";
    }
    return o;
}

static auto ask(const CtlOptions& o, const Str& m, const Str& p, const Str& body, Doc& d, int& rc) -> bool {
    auto h = Headers();
    // The key is drawn here, so that an order whose reply never came can be looked up.
    auto key = o.key.empty() ? fmt::format("ctl-{:x}-{:x}", wallNow(), getpid()) : o.key;
    if (m != "GET") h.emplace_back("Idempotency-Key", key);
    auto r = call(o.node, m, p, body, h, 5 * SEC);
    if (!r) {
        rc = m == "GET" ? UNREACHED : UNKNOWN;
        fmt::print(stderr, "duneturn ctl: {}{}\n", r.error().why,
            rc == UNKNOWN ? "; the outcome is not known, look it up with: order " + key : "");
        return false;
    }
    rc = code(int(r->result_int()));
    if (!jsParse(r->body(), d)) {
        fmt::print(stderr, "duneturn ctl: the node's reply is not JSON (status {})\n", r->result_int());
        rc = UNREACHED;
        return false;
    }
    if (rc != DONE) {
        fmt::print(stderr, "duneturn ctl: {} ({}){}\n", jsStr(d, "error", "denied"), r->result_int(),
            rc == UNKNOWN ? "; look it up with: order " + key : "");
        if (d.IsObject() && d.HasMember("faults"))
            for (auto& f : d["faults"].GetArray())
                fmt::print(stderr, "  {}: {}\n", jsStr(f, "path"), jsStr(f, "why"));
        if (d.IsObject() && d.HasMember("configGeneration"))
            fmt::print(stderr, "  the newest generation is {}\n", jsInt(d, "configGeneration"));
    }
    return rc == DONE;
}

// The nodes that this one knows alive, by name, with where their operators go.
static auto fleet(const CtlOptions& o, int& rc) -> std::vector<std::pair<Str, Str>> {
    auto d = Doc();
    auto v = std::vector<std::pair<Str, Str>>();
    if (!ask(o, "GET", "/v1/beliefs", "", d, rc)) return v;
    for (auto& n : d["nodes"].GetArray())
        if (jsBool(n, "alive") && (!o.here || jsStr(n, "node") == jsStr(d, "node")))
            v.emplace_back(jsStr(n, "node"), jsStr(n, "operator"));
    return v;
}

auto ctlRun(const CtlOptions& o, const std::vector<Str>& a) -> int {
    auto use = [&](Str s) {
        fmt::print(stderr, "duneturn ctl: {}\n", s);
        return int(USAGE);
    };
    if (a.empty()) return use("a command is missing; see duneturn ctl --help");
    if (auto x = addrParse(o.node); !x) return use("--node: " + x.error());
    auto& c = a[0];
    auto d = Doc();
    auto rc = 0;
    auto need = [&](std::size_t n) { return a.size() == n + 1; };
    auto show = [&](const Val& v) { fmt::print("{}\n", jsPretty(v)); };
    auto rows = [&](const char* k, const std::vector<const char*>& cols) {
        if (o.json) show(d);
        else fmt::print("{}", table(d[k], cols));
    };
    auto order = [&](const Str& op, const Str& body) {
        if (ask(o, "POST", "/v1/orders/" + op, body, d, rc)) show(d);
        return rc;
    };
    if (c == "status" && need(0)) {
        if (ask(o, "GET", "/v1/status", "", d, rc)) {
            if (o.json) show(d);
            else
                for (auto& m : d.GetObject()) fmt::print("{:<18}{}\n", m.name.GetString(), cell(m.value));
        }
        return rc;
    }
    if ((c == "nodes" || c == "servers" || c == "beliefs") && need(0)) {
        if (!ask(o, "GET", "/v1/beliefs", "", d, rc)) return rc;
        if (c == "nodes")
            rows("nodes",
                {"node", "district", "region", "alive", "ready", "settled", "reign", "generation", "leader",
                    "disk", "credit", "operator"});
        else if (c == "servers")
            rows("servers",
                {"server", "pool", "region", "district", "state", "weights", "occupancy", "toldUs"});
        else show(d);
        return rc;
    }
    if (c == "rescue" && need(2)) {
        auto b = fmt::format(
            "{{\"reign\":{},\"generation\":{}}}", std::atoll(a[1].c_str()), std::atoll(a[2].c_str()));
        if (ask(o, "POST", "/v1/rescue", b, d, rc)) show(d);
        return rc;
    }
    if (c == "config" && need(0)) {
        if (ask(o, "GET", "/v1/config", "", d, rc)) show(d);
        return rc;
    }
    if ((c == "apply" || c == "change") && need(1)) {
        auto t = fileRead(a[1]);
        if (!t) return use(t.error());
        auto f = Doc();
        if (!jsParse(*t, f)) return use(a[1] + ": not JSON");
        auto b = o.base;
        if (b < 0) {
            if (!ask(o, "GET", "/v1/config", "", d, rc)) return rc == UNKNOWN ? int(UNREACHED) : rc;
            b = jsInt(d, "generation");
        }
        if (ask(o, c == "apply" ? "PUT" : "PATCH", "/v1/config",
                bodyOf({{"base", fmt::to_string(b)}, {c == "apply" ? "config" : "patch", js(f)}}), d, rc))
            show(d);
        return rc;
    }
    if (c == "plan" && need(0)) {
        if (!ask(o, "GET", "/v1/plan", "", d, rc)) return rc;
        if (o.json) {
            show(d);
            return rc;
        }
        for (auto& m : d["plan"].GetArray()) {
            auto& mv = m["move"];
            auto f = jsInt(m, "fired");
            fmt::print("{:<8}{}  {:<10}{} {}{}\n", jsStr(m, "id"), wallText(jsInt(m, "at")),
                jsStr(m, "state"), jsStr(mv, "op"), jsStr(mv, "district"), f ? "  fired " + wallText(f) : "");
        }
        for (auto& e : d["empties"].GetObject())
            fmt::print("emptied {} since {}\n", e.name.GetString(), wallText(e.value.GetInt64()));
        return rc;
    }
    if ((c == "empty" || c == "give-back") && need(1)) return order(c, bodyOf({{"district", jsQuote(a[1])}}));
    if (c == "cancel" && need(1)) return order(c, bodyOf({{"move", jsQuote(a[1])}}));
    if (c == "book" && need(3)) {
        auto mv = Str();
        if (a[2] == "apply") {
            auto t = fileRead(a[3]);
            auto f = Doc();
            if (!t || !jsParse(*t, f)) return use(t ? a[3] + ": not JSON" : t.error());
            mv = bodyOf({{"op", "\"config\""}, {"config", js(f)}});
        } else mv = bodyOf({{"op", jsQuote(a[2])}, {"district", jsQuote(a[3])}});
        return order("book", bodyOf({{"at", jsQuote(a[1])}, {"move", mv}}));
    }
    if (c == "roster" && need(2) && (a[1] == "add" || a[1] == "remove"))
        return order("roster", bodyOf({{"node", jsQuote(a[2])}, {"add", a[1] == "add" ? "true" : "false"}}));
    if (c == "order" && need(1)) {
        if (ask(o, "GET", "/v1/orders/" + a[1], "", d, rc)) show(d);
        return rc;
    }
    if (c == "live" && need(0)) {
        auto all = Doc(rapidjson::kArrayType);
        auto any = false;
        for (auto& [n, a] : fleet(o, rc)) {
            auto at = o;
            at.node = a;
            if (!ask(at, "GET", "/v1/exchanges", "", d, rc)) continue;
            any = true;
            for (auto& x : d["exchanges"].GetArray())
                all.PushBack(Val(x, all.GetAllocator())
                                 .AddMember("node", Val(n, all.GetAllocator()), all.GetAllocator()),
                    all.GetAllocator());
        }
        if (!any) return rc ? rc : int(UNREACHED);
        d.SetObject();
        d.AddMember("exchanges", Val(all, d.GetAllocator()), d.GetAllocator());
        rows("exchanges",
            {"exchange", "mapping", "phase", "server", "ageUs", "sends", "migrationsLeft", "lastEventId"});
        return DONE;
    }
    if (c == "explain" && need(1)) {
        // NODE-BOOT-NUMBER names its node; a bare number is of this one.
        auto at = o;
        auto i = a[1].rfind('-');
        auto j = i == Str::npos || i == 0 ? Str::npos : a[1].rfind('-', i - 1);
        if (j != Str::npos)
            for (auto& [n, to] : fleet(o, rc))
                if (n == a[1].substr(0, j)) at.node = to;
        if (rc) return rc;
        if (!ask(at, "GET", "/v1/exchanges/" + a[1], "", d, rc)) return rc;
        if (o.json) show(d);
        else {
            fmt::print("{} ({})\n", jsStr(d, "exchange"), jsStr(d, "mapping"));
            for (auto& s : d["steps"].GetArray()) fmt::print("  {}\n", s.GetString());
        }
        return rc;
    }
    if (c == "watch" && need(0)) {
        auto seen = std::map<Str, std::int64_t>();
        while (true) {
            auto any = false;
            for (auto& [n, to] : fleet(o, rc)) {
                auto at = o;
                at.node = to;
                if (!ask(at, "GET", fmt::format("/v1/decisions?after={}", seen[n]), "", d, rc)) continue;
                any = true;
                for (auto& x : d["decisions"].GetArray()) {
                    seen[n] = jsInt(x, "seq");
                    if (o.json) fmt::print("{}\n", js(x));
                    else {
                        fmt::print("{} {} {}\n", jsStr(x, "exchange"), jsStr(x, "mapping"), jsStr(x, "end"));
                        for (auto& s : x["steps"].GetArray()) fmt::print("  {}\n", s.GetString());
                    }
                }
            }
            std::fflush(stdout);
            if (!any) return rc ? rc : int(UNREACHED);
            if (o.once) return DONE;
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
    }
    if (c == "where" && need(0)) {
        if (ask(o, "GET", "/v1/where", "", d, rc)) rows("nodes", {"node", "address", "region", "district"});
        return rc;
    }
    return use("no such command, or not with " + fmt::to_string(a.size() - 1) + " words behind it: " + c
        + "; see duneturn ctl --help");
}

auto compareBeliefs(const Val& a, const Val& b) -> std::vector<std::array<Str, 3>> {
    auto o = std::vector<std::array<Str, 3>>();
    auto cmp = [&](const Str& p, const Val& x, const Val& y, std::initializer_list<const char*> ks) {
        for (auto k : ks) {
            auto l = x.HasMember(k) ? cell(x[k]) : "-", r = y.HasMember(k) ? cell(y[k]) : "-";
            if (l != r) o.push_back({p + k, l, r});
        }
    };
    cmp("", a, b, {"reign", "generation", "configGeneration", "wordHash", "leader", "empties", "fresh"});
    auto lists = [&](const char* k, const char* id, std::initializer_list<const char*> ks) {
        auto m = std::map<Str, std::pair<const Val*, const Val*>>();
        for (auto& v : a[k].GetArray()) m[jsStr(v, id)].first = &v;
        for (auto& v : b[k].GetArray()) m[jsStr(v, id)].second = &v;
        for (auto& [n, p] : m) {
            auto at = fmt::format("{}/{}/", k, n);
            if (!p.first || !p.second)
                o.push_back({at, p.first ? "known" : "unknown", p.second ? "known" : "unknown"});
            else cmp(at, *p.first, *p.second, ks);
        }
    };
    lists("nodes", "node",
        {"boot", "district", "region", "peer", "sender", "operator", "alive", "reign", "generation", "disk",
            "leader", "ready", "settled"});
    lists("servers", "server", {"address", "region", "district", "pool", "weights", "state", "generation"});
    auto& ra = a["relays"];
    auto& rb = b["relays"];
    for (auto& m : ra.GetObject())
        if (auto i = rb.FindMember(m.name); i == rb.MemberEnd() || i->value != m.value)
            o.push_back({Str("relays/") + m.name.GetString(), cell(m.value),
                i == rb.MemberEnd() ? "-" : cell(i->value)});
    return o;
}

auto compareRun(const Str& a, const Str& b, bool json) -> int {
    Doc d[2];
    auto k = 0;
    for (auto& n : {a, b}) {
        auto r = call(n, "GET", "/v1/beliefs", "", {}, 5 * SEC);
        if (!r || !jsParse(r->body(), d[k])) {
            fmt::print(stderr, "duneturn compare: {}\n", r ? n + ": not JSON" : r.error().why);
            return UNREACHED;
        }
        k++;
    }
    auto o = compareBeliefs(d[0], d[1]);
    if (json) {
        auto l = Str();
        for (auto& x : o)
            l += (l.empty() ? "" : ",")
                + bodyOf({{"what", jsQuote(x[0])}, {"a", jsQuote(x[1])}, {"b", jsQuote(x[2])}});
        fmt::print("{{\"differences\":[{}]}}\n", l);
    } else {
        fmt::print("{} and {}: {} nodes, {} servers, {} differences\n", jsStr(d[0], "node"),
            jsStr(d[1], "node"), d[0]["nodes"].Size(), d[0]["servers"].Size(), o.size());
        for (auto& x : o) fmt::print("  {:<36} {:<28} {}\n", x[0], x[1], x[2]);
    }
    return o.empty() ? DONE : DENIED;
}

}  // namespace dt
