#include "shared.hpp"

#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/address.hpp>
#include <rapidjson/error/en.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <xxhash.h>

namespace dt {

static auto clk(clockid_t c) -> Us {
    timespec t{};
    clock_gettime(c, &t);
    return Us(t.tv_sec) * SEC + t.tv_nsec / 1000;
}
auto bootNow() -> Us { return clk(CLOCK_BOOTTIME); }
auto wallNow() -> Us { return clk(CLOCK_REALTIME); }

auto wallText(Us t) -> Str {
    auto s = time_t(t / SEC);
    tm m{};
    gmtime_r(&s, &m);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", m.tm_year + 1900, m.tm_mon + 1, m.tm_mday,
        m.tm_hour, m.tm_min, m.tm_sec);
}

auto wallParse(const Str& s) -> Us {
    tm m{};
    auto e = strptime(s.c_str(), "%Y-%m-%dT%H:%M:%SZ", &m);
    if (!e || *e) return -1;
    return Us(timegm(&m)) * SEC;
}

auto hash64(View s, std::uint64_t seed) -> std::uint64_t {
    return XXH3_64bits_withSeed(s.data(), s.size(), seed);
}
auto rank(View key, View name) -> std::uint64_t { return hash64(name, hash64(key)); }

auto Rng::next() -> std::uint64_t {
    auto z = (s += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

auto Counters::add(View n, std::int64_t k) -> void {
    auto i = c.find(n);
    if (i == c.end()) i = c.emplace(Str(n), 0).first;
    i->second += k;
}
auto Counters::set(View n, std::int64_t k) -> void { c[Str(n)] = k; }
auto Counters::get(View n) const -> std::int64_t {
    auto i = c.find(n);
    return i == c.end() ? 0 : i->second;
}
auto Counters::text() const -> Str {
    auto o = Str();
    auto last = Str();
    for (auto& [n, v] : c) {
        auto b = n.substr(0, n.find('{'));
        if (b != last)
            o += fmt::format("# TYPE duneturn_{} {}\n", b, b.ends_with("_total") ? "counter" : "gauge");
        last = b;
        o += fmt::format("duneturn_{} {}\n", n, v);
    }
    return o;
}

static auto mute = false;
auto logMute(bool on) -> void { mute = on; }
auto logLine(View s) -> void {
    if (mute) return;
    static std::mutex mu;
    auto l = std::lock_guard(mu);
    fmt::print(stderr, "{} {}\n", wallText(wallNow()), s);
}

// ---- JSON

auto js(const Val& v) -> Str {
    auto b = rapidjson::StringBuffer();
    auto w = rapidjson::Writer<rapidjson::StringBuffer>(b);
    v.Accept(w);
    return {b.GetString(), b.GetSize()};
}
auto jsPretty(const Val& v) -> Str {
    auto b = rapidjson::StringBuffer();
    auto w = rapidjson::PrettyWriter<rapidjson::StringBuffer>(b);
    w.SetIndent(' ', 2);
    w.SetFormatOptions(rapidjson::kFormatSingleLineArray);
    v.Accept(w);
    return {b.GetString(), b.GetSize()};
}
static auto at(const Val& v, const char* k) -> const Val* {
    if (!v.IsObject()) return nullptr;
    auto i = v.FindMember(k);
    return i == v.MemberEnd() ? nullptr : &i->value;
}
auto jsStr(const Val& v, const char* k, View d) -> Str {
    auto p = at(v, k);
    return p && p->IsString() ? Str(p->GetString(), p->GetStringLength()) : Str(d);
}
auto jsInt(const Val& v, const char* k, std::int64_t d) -> std::int64_t {
    auto p = at(v, k);
    return p && p->IsInt64() ? p->GetInt64() : d;
}
auto jsNum(const Val& v, const char* k, double d) -> double {
    auto p = at(v, k);
    return p && p->IsNumber() ? p->GetDouble() : d;
}
auto jsBool(const Val& v, const char* k, bool d) -> bool {
    auto p = at(v, k);
    return p && p->IsBool() ? p->GetBool() : d;
}
auto jsList(const Val& v, const char* k) -> std::vector<Str> {
    auto o = std::vector<Str>();
    auto p = at(v, k);
    if (p && p->IsArray())
        for (auto& e : p->GetArray())
            if (e.IsString()) o.emplace_back(e.GetString(), e.GetStringLength());
    return o;
}
auto jsQuote(View s) -> Str {
    auto v = Val(rapidjson::StringRef(s.data(), s.size()));
    return js(v);
}
auto jsParse(View s, Doc& d) -> bool {
    // The depth is bounded before the recursive parts (schema, merge, writer) see it.
    auto n = 0;
    auto q = false;
    for (auto i = std::size_t(0); i < s.size(); i++) {
        auto ch = s[i];
        if (q) {
            if (ch == '\\') i++;
            else if (ch == '"') q = false;
        } else if (ch == '"') q = true;
        else if (ch == '{' || ch == '[') {
            if (++n > 64) return false;
        } else if (ch == '}' || ch == ']') n--;
    }
    d.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(s.data(), s.size());
    return !d.HasParseError();
}
auto jsMerge(Val& t, const Val& p, Doc::AllocatorType& al) -> void {
    if (!p.IsObject()) {
        t.CopyFrom(p, al);
        return;
    }
    if (!t.IsObject()) t.SetObject();
    for (auto& m : p.GetObject()) {
        auto i = t.FindMember(m.name);
        if (m.value.IsNull()) {
            if (i != t.MemberEnd()) t.EraseMember(i);
            continue;
        }
        if (i == t.MemberEnd()) {
            t.AddMember(Val(m.name, al), Val(), al);
            i = t.FindMember(m.name);
        }
        jsMerge(i->value, m.value, al);
    }
}

// RapidJSON stops at the first broken keyword, so that every fault is named the
// schema is walked beside the document: unknown fields here, the rest by property.
static auto walk(const Val& v, const Val& sc, const Str& path, std::vector<Fault>& out) -> void {
    if (v.IsObject()) {
        auto pr = at(sc, "properties");
        auto ap = at(sc, "additionalProperties");
        for (auto& m : v.GetObject()) {
            auto k = Str(m.name.GetString(), m.name.GetStringLength());
            auto s = pr ? at(*pr, k.c_str()) : nullptr;
            if (s) walk(m.value, *s, path + "/" + k, out);
            else if (ap && ap->IsObject()) walk(m.value, *ap, path + "/" + k, out);
            else if (ap && ap->IsBool() && !ap->GetBool()) out.push_back({path + "/" + k, "unknown field"});
        }
        if (auto rq = at(sc, "required"); rq && rq->IsArray())
            for (auto& r : rq->GetArray())
                if (!at(v, r.GetString())) out.push_back({path + "/" + r.GetString(), "missing"});
    } else if (v.IsArray()) {
        if (auto it = at(sc, "items"); it && it->IsObject())
            for (auto i = 0u; i < v.Size(); i++) walk(v[i], *it, fmt::format("{}/{}", path, i), out);
    }
    auto own = Doc();
    own.SetObject();
    for (auto& m : sc.GetObject()) {
        auto n = View(m.name.GetString());
        if (n == "properties" || n == "additionalProperties" || n == "required" || n == "items") continue;
        own.AddMember(Val(m.name, own.GetAllocator()), Val(m.value, own.GetAllocator()), own.GetAllocator());
    }
    auto sd = rapidjson::SchemaDocument(own);
    auto sv = rapidjson::SchemaValidator(sd);
    if (!v.Accept(sv)) {
        auto kw = sv.GetInvalidSchemaKeyword();
        auto lim = kw ? at(sc, kw) : nullptr;
        out.push_back({path.empty() ? "/" : path,
            fmt::format("breaks \"{}\"{}", kw ? kw : "schema", lim ? ": " + js(*lim) : "")});
    }
}

auto jsCheck(const Val& v, const char* schema) -> std::vector<Fault> {
    auto sc = Doc();
    auto out = std::vector<Fault>();
    if (!jsParse(schema, sc)) return {{"/", "the schema itself is malformed"}};
    walk(v, sc, "", out);
    return out;
}

// ---- settings

static constexpr auto SETTINGS = R"({
 "type":"object","additionalProperties":false,
 "required":["node","district","region","peer","sender","operator","seeds"],
 "properties":{
  "node":{"type":"string","pattern":"^[A-Za-z0-9_.-]+$"},
  "district":{"type":"string","minLength":1},"region":{"type":"string","minLength":1},
  "peer":{"type":"string"},"sender":{"type":"string"},"operator":{"type":"string"},
  "data":{"type":"string","minLength":1},
  "seeds":{"type":"array","minItems":1,"items":{"type":"string"}},
  "roster":{"type":"array","items":{"type":"string"}},
  "seats":{"type":"array","items":{"type":"string"}},
  "membership":{"type":"string","enum":["roster","learnt"]},
  "bootstrap":{"type":"boolean"},"outOfTouch":{"type":"string","enum":["deny","serve"]},
  "probes":{"type":"boolean"},"beatUs":{"type":"integer","minimum":50000,"maximum":5000000}
 }})";

auto addrParse(View s) -> tl::expected<Addr, Str> {
    auto i = s.rfind(':');
    if (i == View::npos) return tl::make_unexpected(Str("wants IP:PORT"));
    auto h = Str(s.substr(0, i)), p = Str(s.substr(i + 1));
    if (h.size() > 2 && h.front() == '[' && h.back() == ']') h = h.substr(1, h.size() - 2);
    auto ec = boost::system::error_code();
    boost::asio::ip::make_address(h, ec);
    if (ec) return tl::make_unexpected(Str("wants an IP by number"));
    if (p.empty() || p.size() > 5 || p.find_first_not_of("0123456789") != Str::npos || std::stoi(p) > 65535
        || std::stoi(p) < 1)
        return tl::make_unexpected(Str("wants a port from 1 to 65535"));
    return Addr{h, std::uint16_t(std::stoi(p))};
}

auto fileRead(const Str& p) -> tl::expected<Str, Str> {
    auto f = std::ifstream(p, std::ios::binary);
    if (!f) return tl::make_unexpected(fmt::format("{}: cannot be read", p));
    auto s = std::stringstream();
    s << f.rdbuf();
    return s.str();
}

auto settingsRead(const Str& file, const std::map<Str, Str>& over) -> tl::expected<Settings, SettingsError> {
    auto d = Doc();
    auto er = SettingsError();
    d.SetObject();
    if (!file.empty()) {
        auto s = fileRead(file);
        if (!s) return tl::make_unexpected(SettingsError{{{"--settings", s.error()}}});
        if (!jsParse(*s, d))
            return tl::make_unexpected(SettingsError{{{"--settings",
                fmt::format("{}: not JSON: {} at byte {}", file,
                    d.HasParseError() ? rapidjson::GetParseError_En(d.GetParseError()) : "nested too deep",
                    d.GetErrorOffset())}}});
        if (!d.IsObject()) return tl::make_unexpected(SettingsError{{{"--settings", "wants a JSON object"}}});
    }
    auto& al = d.GetAllocator();
    for (auto& [k, v] : over) {
        auto x = Val();
        if (k == "seeds" || k == "roster" || k == "seats") {
            x.SetArray();
            auto ss = std::stringstream(v);
            for (auto t = Str(); std::getline(ss, t, ',');) x.PushBack(Val(t, al), al);
        } else if ((k == "bootstrap" || k == "probes") && (v == "true" || v == "false"))
            x.SetBool(v == "true");
        else if (k == "beatUs" && !v.empty() && v.size() < 10
            && v.find_first_not_of("0123456789") == Str::npos)
            x.SetInt64(std::stoll(v));
        else x.SetString(v, al);
        d.RemoveMember(k);
        d.AddMember(Val(k, al), x, al);
    }
    er.faults = jsCheck(d, SETTINGS);
    for (auto k : {"peer", "sender", "operator"})
        if (auto p = at(d, k); p && p->IsString())
            if (auto a = addrParse(p->GetString()); !a) er.faults.push_back({Str("/") + k, a.error()});
    auto n = 0;
    for (auto& s : jsList(d, "seeds")) {
        if (auto a = addrParse(s); !a) er.faults.push_back({fmt::format("/seeds/{}", n), a.error()});
        n++;
    }
    auto s = Settings();
    s.node = jsStr(d, "node");
    s.district = jsStr(d, "district");
    s.region = jsStr(d, "region");
    s.peer = jsStr(d, "peer");
    s.sender = jsStr(d, "sender");
    s.opr = jsStr(d, "operator");
    s.data = jsStr(d, "data");
    s.seeds = jsList(d, "seeds");
    s.roster = jsList(d, "roster");
    s.seats = jsList(d, "seats");
    s.file = file;
    s.learnt = jsStr(d, "membership") == "learnt";
    s.bootstrap = jsBool(d, "bootstrap");
    s.serveOn = jsStr(d, "outOfTouch") == "serve";
    s.probes = jsBool(d, "probes", true);
    s.beat = jsInt(d, "beatUs");
    // Acknowledgements rest on the roster's leases there: none may go on without one.
    if (!s.learnt)
        for (auto [k, on] : {std::pair("/outOfTouch", s.serveOn), {"/bootstrap", s.bootstrap}})
            if (on) er.faults.push_back({k, "wants \"membership\": \"learnt\""});
    if (s.learnt && !(s.roster.empty() && s.seats.empty()))
        er.faults.push_back({"/membership", "a learnt membership takes no roster and no seats"});
    auto has = [](const std::vector<Str>& v, const Str& x) {
        return std::find(v.begin(), v.end(), x) != v.end();
    };
    for (auto& x : s.seats)
        if (!s.roster.empty() && !has(s.roster, x))
            er.faults.push_back({"/seats", x + " is not on the roster"});
    if (!er.faults.empty()) return tl::make_unexpected(er);
    return s;
}

}  // namespace dt

#ifdef DT_TEST
#include "test.hpp"
namespace dt {

TEST(Settings, everyFaultIsNamed) {
    auto s = settingsRead("",
        {{"node", "a b"}, {"peer", "host:1"}, {"sender", "127.0.0.1:99999"}, {"seeds", "127.0.0.1:1,x"},
            {"colour", "red"}});
    CHECK(!s);
    auto all = Str();
    for (auto& f : s.error().faults) all += f.path + "\n";
    for (auto p : {"/node", "/peer", "/sender", "/seeds/1", "/colour", "/operator", "/district", "/region"})
        CHECK(all.find(p) != Str::npos);
    auto ok = settingsRead("",
        {{"node", "a"}, {"peer", "127.0.0.1:1"}, {"sender", "[::1]:2"}, {"operator", "127.0.0.1:3"},
            {"seeds", "127.0.0.1:1"}, {"district", "d"}, {"region", "r"}});
    CHECK(bool(ok));
    CHECK_EQ(Str("a"), ok->node);
}

TEST(Settings, times) {
    CHECK_EQ(Str("2026-01-31T06:00:00Z"), wallText(wallParse("2026-01-31T06:00:00Z")));
    CHECK(wallParse("2026-01-31") < 0);
    CHECK(wallParse("2026-01-31T06:00:00Zx") < 0);
}

}  // namespace dt
#endif
