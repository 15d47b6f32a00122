#include "word.hpp"

#include <algorithm>

namespace dt {

static constexpr auto CONFIG = R"({
 "type":"object","additionalProperties":false,"required":["mappings"],
 "properties":{
  "name":{"type":"string"},
  "models":{"type":"object","additionalProperties":{"type":"object","additionalProperties":false,"properties":{
    "migrationLimit":{"type":"integer","minimum":0,"maximum":16},
    "maxSequence":{"type":"integer","minimum":1,"maximum":1048576}}}},
  "budget":{"type":"object","additionalProperties":false,"properties":{
    "share":{"type":"number","minimum":0,"maximum":1},"cap":{"type":"integer","minimum":1,"maximum":10000}}},
  "ramp":{"type":"object","additionalProperties":false,"properties":{
    "overUs":{"type":"integer","minimum":0,"maximum":600000000},"first":{"type":"integer","minimum":1,"maximum":1000}}},
  "mappings":{"type":"array","maxItems":200,"items":{"type":"object","additionalProperties":false,
   "required":["name","path","pool"],
   "properties":{
    "name":{"type":"string","pattern":"^[A-Za-z0-9_.-]+$"},
    "method":{"type":"string","enum":["GET","POST","PUT"]},
    "path":{"type":"string","pattern":"^/"},
    "pool":{"type":"string","minLength":1},"model":{"type":"string"},
    "stream":{"type":"boolean"},"Resumable":{"type":"boolean"},
    "MaxTries":{"type":"integer","minimum":1,"maximum":16},
    "home":{"type":"string","minLength":1},
    "spill":{"type":"array","items":{"type":"string"}},
    "spillAt":{"type":"number","minimum":0,"maximum":10},
    "urgency":{"type":"integer","minimum":0,"maximum":9},
    "deadlineUs":{"type":"integer","minimum":1000,"maximum":3600000000},
    "idleUs":{"type":"integer","minimum":1000,"maximum":3600000000},
    "queue":{"type":"integer","minimum":0,"maximum":100000},
    "queueUs":{"type":"integer","minimum":0,"maximum":600000000},
    "affinity":{"type":"integer","minimum":0,"maximum":1048576}
   }}}}})";

auto configCheck(const Val& v) -> std::vector<Fault> {
    auto f = jsCheck(v, CONFIG);
    if (!f.empty() || !v.IsObject()) return f;
    auto names = std::vector<Str>();
    auto& ms = v["mappings"];
    for (auto i = 0u; i < ms.Size(); i++) {
        auto n = jsStr(ms[i], "name"), m = jsStr(ms[i], "model");
        if (std::find(names.begin(), names.end(), n) != names.end())
            f.push_back({fmt::format("/mappings/{}/name", i), "named twice: " + n});
        names.push_back(n);
        if (!m.empty() && !(v.HasMember("models") && v["models"].HasMember(m)))
            f.push_back({fmt::format("/mappings/{}/model", i), "no such model under /models: " + m});
        if (jsBool(ms[i], "Resumable") && !jsBool(ms[i], "stream"))
            f.push_back({fmt::format("/mappings/{}/Resumable", i), "only a stream can be resumed"});
        if (ms[i].HasMember("home") && ms[i].HasMember("spill"))
            f.push_back({fmt::format("/mappings/{}/spill", i), "a mapping with a home never spills"});
    }
    return f;
}

auto bodyOf(std::initializer_list<std::pair<const char*, Str>> kv) -> Str {
    auto o = Str("{");
    for (auto& [k, v] : kv) o += fmt::format("{}{}:{}", o.size() > 1 ? "," : "", jsQuote(k), v);
    return o + "}";
}
auto errorBody(const std::vector<Fault>& fs) -> Str {
    auto l = Str();
    for (auto& f : fs)
        l += (l.empty() ? "" : ",") + bodyOf({{"path", jsQuote(f.path)}, {"why", jsQuote(f.why)}});
    return bodyOf({{"error", jsQuote(fs.empty() ? "denied" : fs[0].path + ": " + fs[0].why)},
        {"faults", "[" + l + "]"}});
}

Word::Word() {
    found({}, {});
    gen = 0;
}
Word::Word(const Word& o) : reign(o.reign), gen(o.gen) { d.CopyFrom(o.d, d.GetAllocator()); }
auto Word::operator=(const Word& o) -> Word& {
    if (this == &o) return *this;
    // A new document, since an allocator never gives back what was erased.
    auto n = Doc();
    n.CopyFrom(o.d, n.GetAllocator());
    d.Swap(n);
    reign = o.reign;
    gen = o.gen;
    return *this;
}

auto Word::found(const std::vector<Str>& ro, const std::vector<Seat>& vs) -> void {
    auto n = Doc();
    jsParse(
        R"({"reign":0,"generation":0,"configGeneration":0,"config":{"mappings":[]},"empties":{},"plan":[],"roster":[],"voters":[],"outcomes":[]})",
        n);
    d.Swap(n);
    for (auto& r : ro) d["roster"].PushBack(Val(r, d.GetAllocator()), d.GetAllocator());
    reign = 1;
    gen = 1;
    d["reign"].SetInt64(reign);
    d["generation"].SetInt64(gen);
    setVoters(vs);
}

auto Word::load(const Str& s) -> bool {
    auto n = Doc();
    if (!jsParse(s, n) || !n.IsObject()) return false;
    for (auto k : {"config", "empties"})
        if (!n.HasMember(k) || !n[k].IsObject()) return false;
    for (auto k : {"plan", "roster", "voters", "outcomes"})
        if (!n.HasMember(k) || !n[k].IsArray()) return false;
    for (auto k : {"reign", "generation", "configGeneration"})
        if (!n.HasMember(k) || !n[k].IsInt64()) return false;
    d.Swap(n);
    reign = jsInt(d, "reign");
    gen = jsInt(d, "generation");
    return true;
}

auto Word::rise() -> void {
    gen++;
    d["generation"].SetInt64(gen);
    d["reign"].SetInt64(reign);
}

auto Word::setVoters(const std::vector<Seat>& vs) -> void {
    auto& al = d.GetAllocator();
    auto a = Val(rapidjson::kArrayType);
    for (auto& v : vs)
        a.PushBack(Val(rapidjson::kObjectType)
                       .AddMember("seat", Val(v.seat, al), al)
                       .AddMember("disk", Val(v.disk, al), al),
            al);
    d["voters"] = a;
}

auto Word::voters() const -> std::vector<Seat> {
    auto o = std::vector<Seat>();
    for (auto& v : d["voters"].GetArray()) o.push_back({jsStr(v, "seat"), jsStr(v, "disk")});
    return o;
}
auto Word::emptied(const Str& z) const -> bool { return d["empties"].HasMember(z.c_str()); }

auto Word::outcome(const Str& key) const -> Outcome {
    for (auto& o : d["outcomes"].GetArray())
        if (jsStr(o, "key") == key) return {int(jsInt(o, "status")), js(o["body"])};
    return {};
}

auto Word::keep(const Str& key, const Outcome& o) -> void {
    auto& al = d.GetAllocator();
    auto b = Doc(&al);
    jsParse(o.body, b);
    auto& a = d["outcomes"];
    a.PushBack(Val(rapidjson::kObjectType)
                   .AddMember("key", Val(key, al), al)
                   .AddMember("status", o.status, al)
                   .AddMember("body", Val(b, al), al),
        al);
    while (a.Size() > 256) a.Erase(a.Begin());
}

// One change, on a word whose caller raises the generation if it was accepted.
auto Word::change(const Val& o, bool planned) -> Outcome {
    auto& al = d.GetAllocator();
    auto op = jsStr(o, "op");
    auto no = [](int st, Str why) { return Outcome{st, bodyOf({{"error", jsQuote(why)}})}; };
    if (op == "config") {
        if (!planned && jsInt(o, "base", -1) != configGen())
            return {409,
                bodyOf({{"error", jsQuote("based on a generation that is not the newest")},
                    {"configGeneration", fmt::to_string(configGen())}})};
        d["config"].CopyFrom(o["config"], al);
        d["configGeneration"].SetInt64(configGen() + 1);
        return {200, bodyOf({{"configGeneration", fmt::to_string(configGen())}})};
    }
    if (op == "empty" || op == "give-back") {
        auto z = jsStr(o, "district");
        auto& e = d["empties"];
        e.RemoveMember(z.c_str());
        if (op == "empty") e.AddMember(Val(z, al), Val(jsInt(o, "at")), al);
        return {200, bodyOf({{"district", jsQuote(z)}, {"emptied", op == "empty" ? "true" : "false"}})};
    }
    if (op == "book") {
        auto id = fmt::format("m{}", gen + 1);
        auto b = Val(rapidjson::kObjectType);
        b.AddMember("id", Val(id, al), al)
            .AddMember("at", Val(jsInt(o, "when")), al)
            .AddMember("state", "booked", al)
            .AddMember("move", Val(o["move"], al), al);
        auto& p = d["plan"];
        p.PushBack(b, al);
        for (auto i = p.Begin(); p.Size() > 500 && i != p.End();)
            if (jsStr(*i, "state") != "booked") i = p.Erase(i);
            else ++i;
        return {200, bodyOf({{"move", jsQuote(id)}})};
    }
    if (op == "cancel" || op == "fire") {
        for (auto& m : d["plan"].GetArray()) {
            if (jsStr(m, "id") != jsStr(o, "move")) continue;
            if (jsStr(m, "state") != "booked") return no(409, "the move is already " + jsStr(m, "state"));
            if (op == "cancel") {
                m["state"] = "cancelled";
                return {200, bodyOf({{"move", jsQuote(jsStr(o, "move"))}})};
            }
            auto mv = Doc();
            mv.CopyFrom(m["move"], mv.GetAllocator());
            auto r = change(mv, true);
            m["state"] = Val(rapidjson::StringRef(r.status == 200 ? "done" : "failed"));
            m.AddMember("fired", Val(jsInt(o, "at")), al);
            return r.status == 200 ? r : Outcome{200, r.body};
        }
        return no(404, "no such move");
    }
    if (op == "roster") {
        auto ns = jsList(d, "roster");
        auto n = jsStr(o, "node");
        ns.erase(std::remove(ns.begin(), ns.end(), n), ns.end());
        if (jsBool(o, "add")) ns.push_back(n);
        auto a = Val(rapidjson::kArrayType);
        for (auto& x : ns) a.PushBack(Val(x, al), al);
        d["roster"] = a;
        return {200, bodyOf({{"roster", js(d["roster"])}})};
    }
    return no(422, "unknown order: " + op);
}

auto Word::apply(const Str& order) -> Outcome {
    auto o = Doc();
    if (!jsParse(order, o) || !o.IsObject()) return {422, bodyOf({{"error", jsQuote("not an order")}})};
    auto key = jsStr(o, "key");
    if (auto r = outcome(key); !key.empty() && r.status) return r;
    auto r = change(o, false);
    if (r.status == 200) {
        rise();
        // The outcome names the generation that carries it.
        r.body.insert(r.body.size() - 1, fmt::format(",\"generation\":{}", gen));
    }
    if (!key.empty()) keep(key, r);
    auto c = *this;  // what was overwritten is given back
    *this = c;
    return r;
}

static auto moveCheck(const Word& w, const Val& m, const Str& path, std::vector<Fault>& f) -> void {
    auto op = jsStr(m, "op");
    if (op == "empty" || op == "give-back") {
        if (jsStr(m, "district").empty()) f.push_back({path + "/district", "missing"});
        for (auto& k : m.GetObject())
            if (View n = k.name.GetString(); n != "op" && n != "district")
                f.push_back({path + "/" + Str(n), "unknown field"});
    } else if (op == "config") {
        if (!m.HasMember("config")) f.push_back({path + "/config", "missing"});
        else
            for (auto& x : configCheck(m["config"])) f.push_back({path + "/config" + x.path, x.why});
    } else f.push_back({path + "/op", "wants empty, give-back or config"});
    (void)w;
}

auto orderPrepare(const Word& w, const Str& op, const Str& key, const Str& body, Us wall)
    -> tl::expected<Str, Outcome> {
    auto b = Doc();
    if (!jsParse(body.empty() ? "{}" : body, b))
        return tl::make_unexpected(Outcome{400, errorBody({{"/", "malformed JSON"}})});
    if (!b.IsObject()) return tl::make_unexpected(Outcome{422, errorBody({{"/", "wants an object"}})});
    auto f = std::vector<Fault>();
    auto o = Doc();
    o.SetObject();
    auto& al = o.GetAllocator();
    auto only = [&](std::initializer_list<View> ks) {
        for (auto& m : b.GetObject())
            if (std::find(ks.begin(), ks.end(), View(m.name.GetString())) == ks.end())
                f.push_back({Str("/") + m.name.GetString(), "unknown field"});
    };
    o.AddMember("key", Val(key, al), al);
    o.AddMember("op", Val(op == "merge" ? Str("config") : op, al), al);
    if (op == "config" || op == "merge") {
        auto k = op == "merge" ? "patch" : "config";
        only({"base", k});
        if (!b.HasMember("base") || !b["base"].IsInt64())
            f.push_back({"/base", "wants the generation that this is based on"});
        if (!b.HasMember(k)) f.push_back({Str("/") + k, "missing"});
        if (f.empty()) {
            auto c = Doc();
            if (op == "merge") {
                c.CopyFrom(w.config(), c.GetAllocator());
                jsMerge(c, b["patch"], c.GetAllocator());
            } else c.CopyFrom(b["config"], c.GetAllocator());
            for (auto& x : configCheck(c)) f.push_back({"/config" + (x.path == "/" ? "" : x.path), x.why});
            o.AddMember("base", jsInt(b, "base"), al);  // a Val would be moved out of b
            o.AddMember("config", Val(c, al), al);
            // A patch laid on another generation than it names must lose, not win by chance.
            if (op == "merge" && jsInt(b, "base") != w.configGen() && f.empty())
                return tl::make_unexpected(Outcome{409,
                    bodyOf({{"error", jsQuote("based on a generation that is not the newest")},
                        {"configGeneration", fmt::to_string(w.configGen())}})});
        }
    } else if (op == "empty" || op == "give-back") {
        only({"district"});
        if (jsStr(b, "district").empty()) f.push_back({"/district", "missing"});
        o.AddMember("district", Val(jsStr(b, "district"), al), al);
        o.AddMember("at", Val(std::int64_t(wall)), al);
    } else if (op == "book") {
        only({"at", "move"});
        auto t = wallParse(jsStr(b, "at"));
        if (t < 0) f.push_back({"/at", "wants a time such as 2026-01-31T06:00:00Z"});
        if (!b.HasMember("move") || !b["move"].IsObject()) f.push_back({"/move", "missing"});
        else moveCheck(w, b["move"], "/move", f);
        if (f.empty()) {
            o.AddMember("when", Val(std::int64_t(t)), al);
            o.AddMember("move", Val(b["move"], al), al);
        }
    } else if (op == "cancel" || op == "fire") {
        only({"move"});
        if (jsStr(b, "move").empty()) f.push_back({"/move", "missing"});
        o.AddMember("move", Val(jsStr(b, "move"), al), al);
        o.AddMember("at", Val(std::int64_t(wall)), al);
    } else if (op == "roster") {
        only({"node", "add"});
        if (jsStr(b, "node").empty()) f.push_back({"/node", "missing"});
        o.AddMember("node", Val(jsStr(b, "node"), al), al);
        o.AddMember("add", Val(jsBool(b, "add", true)), al);
    } else return tl::make_unexpected(Outcome{404, errorBody({{"/op", "unknown order: " + op}})});
    if (!f.empty()) return tl::make_unexpected(Outcome{422, errorBody(f)});
    return js(o);
}

}  // namespace dt
