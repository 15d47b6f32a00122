#include "state/replicated_state.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/time.hpp"
#include "state/accepted_changes.hpp"
#include "state/configuration_validation.hpp"
#include "state/evacuations.hpp"

namespace duneturn {

auto bodyOf(std::initializer_list<std::pair<const char*, std::string>> kv) -> std::string {
    auto o = std::string("{");
    for (auto& [k, v] : kv) o += fmt::format("{}{}:{}", o.size() > 1 ? "," : "", jsonQuote(k), v);
    return o + "}";
}
auto errorBody(const std::vector<Fault>& fs) -> std::string {
    auto l = std::string();
    for (auto& f : fs)
        l += (l.empty() ? "" : ",") + bodyOf({{"path", jsonQuote(f.path)}, {"why", jsonQuote(f.why)}});
    return bodyOf({{"error", jsonQuote(fs.empty() ? "denied" : fs[0].path + ": " + fs[0].why)},
        {"faults", "[" + l + "]"}});
}

ReplicatedState::ReplicatedState() {
    bootstrap({}, {});
    version = 0;
}
ReplicatedState::ReplicatedState(const ReplicatedState& o) : epoch(o.epoch), version(o.version) {
    d.CopyFrom(o.d, d.GetAllocator());
}
auto ReplicatedState::operator=(const ReplicatedState& o) -> ReplicatedState& {
    if (this == &o) return *this;
    // A new document, since an allocator never gives back what was erased.
    auto n = rapidjson::Document();
    n.CopyFrom(o.d, n.GetAllocator());
    d.Swap(n);
    epoch = o.epoch;
    version = o.version;
    return *this;
}

auto ReplicatedState::bootstrap(const std::vector<std::string>& ro, const std::vector<VoterIdentity>& vs)
    -> void {
    auto n = rapidjson::Document();
    parseJson(
        R"({"reign":0,"generation":0,"configGeneration":0,"config":{"mappings":[]},"empties":{},"plan":[],"roster":[],"voters":[],"outcomes":[]})",
        n);
    OrderOutcomes::load(n);
    Evacuations::load(n);
    d.Swap(n);
    for (auto& r : ro) d["roster"].PushBack(rapidjson::Value(r, d.GetAllocator()), d.GetAllocator());
    epoch = 1;
    version = 1;
    d["reign"].SetInt64(epoch);
    d["generation"].SetInt64(version);
    setVoters(vs);
}

auto ReplicatedState::load(const std::string& s) -> bool {
    auto n = rapidjson::Document();
    if (!parseJson(s, n) || !n.IsObject()) return false;
    for (auto k : {"config", "empties"})
        if (!n.HasMember(k) || !n[k].IsObject()) return false;
    for (auto k : {"plan", "roster", "voters", "outcomes"})
        if (!n.HasMember(k) || !n[k].IsArray()) return false;
    for (auto k : {"reign", "generation", "configGeneration"})
        if (!n.HasMember(k) || !n[k].IsInt64()) return false;
    if (!OrderOutcomes::load(n) || !Evacuations::load(n)) return false;
    d.Swap(n);
    epoch = jsonInteger(d, "reign");
    version = jsonInteger(d, "generation");
    return true;
}

auto ReplicatedState::rise() -> void {
    version++;
    d["generation"].SetInt64(version);
    d["reign"].SetInt64(epoch);
}

auto ReplicatedState::setVoters(const std::vector<VoterIdentity>& vs) -> void {
    auto& al = d.GetAllocator();
    auto a = rapidjson::Value(rapidjson::kArrayType);
    for (auto& v : vs)
        a.PushBack(rapidjson::Value(rapidjson::kObjectType)
                       .AddMember("seat", rapidjson::Value(v.node, al), al)
                       .AddMember("disk", rapidjson::Value(v.disk, al), al),
            al);
    d["voters"] = a;
}

auto ReplicatedState::applyVoters(const std::vector<VoterIdentity>& voters) -> void {
    setVoters(voters);
    rise();
}

auto ReplicatedState::beginEpoch(std::int64_t newEpoch, const std::vector<VoterIdentity>& voters) -> void {
    epoch = newEpoch;
    applyVoters(voters);
}

auto ReplicatedState::evacuatedZones() const -> std::vector<std::string> {
    auto zones = std::vector<std::string>();
    for (auto& zone : d["empties"].GetObject()) zones.emplace_back(zone.name.GetString());
    return zones;
}

auto ReplicatedState::scheduledOperations() const -> std::vector<ScheduledOperation> {
    auto operations = std::vector<ScheduledOperation>();
    for (auto& operation : d["plan"].GetArray())
        if (jsonString(operation, "state") == "booked")
            operations.push_back({jsonString(operation, "id"), jsonInteger(operation, "at")});
    return operations;
}

auto ReplicatedState::voters() const -> std::vector<VoterIdentity> {
    auto o = std::vector<VoterIdentity>();
    for (auto& v : d["voters"].GetArray()) o.push_back({jsonString(v, "seat"), jsonString(v, "disk")});
    return o;
}
auto ReplicatedState::evacuated(const std::string& z) const -> bool {
    return d["empties"].HasMember(z.c_str());
}

auto ReplicatedState::accepted(const std::string& key) const -> Outcome {
    return OrderOutcomes::accepted(d, key);
}
auto ReplicatedState::outcome(const std::string& key) const -> Outcome {
    auto known = OrderOutcomes::accepted(d, key);
    return known.status ? known : OrderOutcomes::refused(d, key);
}

// What an order's base says against it, by the newest configuration generation.
static auto baseRefusal(const ReplicatedState& w, std::int64_t base) -> Outcome {
    // A change on so old a base may have been accepted, and be forgotten since.
    if (base < AcceptedChanges::forgottenGeneration(w.d["acceptedChanges"])) return outcomeUnknown();
    return {409,
        bodyOf({{"error", jsonQuote("based on a generation that is not the newest")},
            {"configGeneration", fmt::to_string(w.configVersion())}})};
}
auto outcomeUnknown() -> Outcome {
    return {
        504, bodyOf({{"error", jsonQuote("the outcome is not known")}, {"outcome", jsonQuote("unknown")}})};
}

// One change, on a word whose caller raises the generation if it was accepted.
auto ReplicatedState::change(rapidjson::Value& o, bool planned) -> Outcome {
    auto& al = d.GetAllocator();
    auto op = jsonString(o, "op");
    auto no = [](int st, std::string why) { return Outcome{st, bodyOf({{"error", jsonQuote(why)}})}; };
    if (op == "config") {
        if (auto base = jsonInteger(o, "base", -1); !planned && base != configVersion())
            return baseRefusal(*this, base);
        d["config"] = o["config"];
        d["configGeneration"].SetInt64(configVersion() + 1);
        return {200, bodyOf({{"configGeneration", fmt::to_string(configVersion())}})};
    }
    if (op == "empty" || op == "give-back") {
        auto z = jsonString(o, "district");
        auto revision = Evacuations::zone(d, z).revision;
        if (o.HasMember("revision") && jsonInteger(o, "revision") != revision)
            return {409,
                bodyOf({{"error", jsonQuote("superseded: the zone has changed since")},
                    {"revision", fmt::to_string(revision)}})};
        Evacuations::set(d, z, op == "empty", jsonInteger(o, "at"), version + 1);
        return {200, bodyOf({{"district", jsonQuote(z)}, {"emptied", op == "empty" ? "true" : "false"}})};
    }
    if (op == "book") {
        auto id = fmt::format("m{}", version + 1);
        auto b = rapidjson::Value(rapidjson::kObjectType);
        b.AddMember("id", rapidjson::Value(id, al), al)
            .AddMember("at", rapidjson::Value(jsonInteger(o, "when")), al)
            .AddMember("state", "booked", al)
            .AddMember("move", rapidjson::Value(o["move"], al), al);
        auto& p = d["plan"];
        p.PushBack(b, al);
        for (auto i = p.Begin(); p.Size() > 500 && i != p.End();)
            if (jsonString(*i, "state") != "booked") i = p.Erase(i);
            else ++i;
        return {200, bodyOf({{"move", jsonQuote(id)}})};
    }
    if (op == "cancel" || op == "fire") {
        for (auto& m : d["plan"].GetArray()) {
            if (jsonString(m, "id") != jsonString(o, "move")) continue;
            if (jsonString(m, "state") != "booked")
                return no(409, "the move is already " + jsonString(m, "state"));
            if (op == "cancel") {
                m["state"] = "cancelled";
                return {200, bodyOf({{"move", jsonQuote(jsonString(o, "move"))}})};
            }
            auto mv = rapidjson::Value(m["move"], al);
            auto r = change(mv, true);
            m["state"] = rapidjson::Value(rapidjson::StringRef(r.status == 200 ? "done" : "failed"));
            m.AddMember("fired", rapidjson::Value(jsonInteger(o, "at")), al);
            return r.status == 200 ? r : Outcome{200, r.body};
        }
        return no(404, "no such move");
    }
    if (op == "roster") {
        auto ns = jsonStrings(d, "roster");
        auto n = jsonString(o, "node");
        ns.erase(std::remove(ns.begin(), ns.end(), n), ns.end());
        if (jsonBool(o, "add")) ns.push_back(n);
        auto a = rapidjson::Value(rapidjson::kArrayType);
        for (auto& x : ns) a.PushBack(rapidjson::Value(x, al), al);
        d["roster"] = a;
        return {200, bodyOf({{"roster", jsonText(d["roster"])}})};
    }
    return no(422, "unknown order: " + op);
}

auto ReplicatedState::apply(const std::string& order) -> Outcome {
    auto r = lay(order);
    // A new document, since an allocator never gives back what was overwritten.
    auto n = rapidjson::Document();
    n.CopyFrom(d, n.GetAllocator());
    d.Swap(n);
    return r;
}
// The number that the operator's own document bears; 0 if there is none.
static auto documentVersion(const rapidjson::Value& config) -> std::int64_t {
    return config.HasMember("origin") ? jsonInteger(config["origin"], "number") : 0;
}
auto ReplicatedState::lay(const std::string& order) -> Outcome {
    auto o = rapidjson::Document(&d.GetAllocator());  // so that what an order brings is moved, not copied
    if (!parseJson(order, o) || !o.IsObject()) return {422, bodyOf({{"error", jsonQuote("not an order")}})};
    auto key = jsonString(o, "key");
    if (auto known = OrderOutcomes::accepted(d, key); known.status) return known;
    auto base = jsonInteger(o, "base", -1);
    if (auto known = OrderOutcomes::refused(d, key, base); known.status) return known;
    auto before = configVersion();
    auto r = change(o, false);
    if (r.status == 200) {
        rise();
        // The outcome names the generation that carries it.
        r.body.insert(r.body.size() - 1, fmt::format(",\"generation\":{}", version));
    }
    if (configVersion() != before) OrderOutcomes::keepConfiguration(d, key, documentVersion(config()));
    else if (r.status == 200 && !key.empty()) OrderOutcomes::keepAccepted(d, key, r);
    else if (r.status != outcomeUnknown().status && !key.empty()) OrderOutcomes::keepRefused(d, key, base, r);
    return r;
}

static auto moveCheck(const ReplicatedState& w, const rapidjson::Value& m, const std::string& path,
    std::vector<Fault>& f) -> void {
    auto op = jsonString(m, "op");
    if (op == "empty" || op == "give-back") {
        if (jsonString(m, "district").empty()) f.push_back({path + "/district", "missing"});
        for (auto& k : m.GetObject())
            if (std::string_view n = k.name.GetString(); n != "op" && n != "district")
                f.push_back({path + "/" + std::string(n), "unknown field"});
    } else if (op == "config") {
        if (!m.HasMember("config")) f.push_back({path + "/config", "missing"});
        else
            for (auto& x : validateConfiguration(m["config"]))
                f.push_back({path + "/config" + x.path, x.why});
    } else f.push_back({path + "/op", "wants empty, give-back or config"});
    (void)w;
}

auto orderPrepare(const ReplicatedState& w, const std::string& op, const std::string& key,
    const std::string& body, Microseconds wall) -> tl::expected<std::string, OrderRefusal> {
    auto b = rapidjson::Document();
    if (!parseJson(body.empty() ? "{}" : body, b))
        return tl::make_unexpected(OrderRefusal{{400, errorBody({{"/", "malformed JSON"}})}});
    if (!b.IsObject()) return tl::make_unexpected(OrderRefusal{{422, errorBody({{"/", "wants an object"}})}});
    auto f = std::vector<Fault>();
    auto o = rapidjson::Document();
    o.SetObject();
    auto& al = o.GetAllocator();
    auto only = [&](std::initializer_list<std::string_view> ks) {
        for (auto& m : b.GetObject())
            if (std::find(ks.begin(), ks.end(), std::string_view(m.name.GetString())) == ks.end())
                f.push_back({std::string("/") + m.name.GetString(), "unknown field"});
    };
    o.AddMember("key", rapidjson::Value(key, al), al);
    o.AddMember("op", rapidjson::Value(op == "merge" ? std::string("config") : op, al), al);
    if (op == "config" || op == "merge") {
        auto k = op == "merge" ? "patch" : "config";
        only({"base", k});
        if (!b.HasMember("base") || !b["base"].IsInt64())
            f.push_back({"/base", "wants the generation that this is based on"});
        if (!b.HasMember(k)) f.push_back({std::string("/") + k, "missing"});
        if (f.empty()) {
            auto c = rapidjson::Value();
            if (op == "merge") {
                c.CopyFrom(w.config(), al);
                applyMergePatch(c, b["patch"], al);
            } else c.CopyFrom(b["config"], al);
            for (auto& x : validateConfiguration(c))
                f.push_back({"/config" + (x.path == "/" ? "" : x.path), x.why});
            o.AddMember("base", jsonInteger(b, "base"), al);  // a Val would be moved out of b
            o.AddMember("config", c, al);
            // A patch laid on another generation than it names must lose, not win by chance.
            if (op == "merge" && jsonInteger(b, "base") != w.configVersion() && f.empty())
                return tl::make_unexpected(OrderRefusal{baseRefusal(w, jsonInteger(b, "base")), true});
        }
    } else if (op == "empty" || op == "give-back") {
        only({"district", "revision"});
        if (b.HasMember("revision") && !b["revision"].IsInt64()) f.push_back({"/revision", "wants a number"});
        if (b.HasMember("revision")) o.AddMember("revision", jsonInteger(b, "revision"), al);
        if (jsonString(b, "district").empty()) f.push_back({"/district", "missing"});
        o.AddMember("district", rapidjson::Value(jsonString(b, "district"), al), al);
        o.AddMember("at", rapidjson::Value(std::int64_t(wall)), al);
    } else if (op == "book") {
        only({"at", "move"});
        auto t = parseWallTime(jsonString(b, "at"));
        if (t < 0) f.push_back({"/at", "wants a time such as 2026-01-31T06:00:00Z"});
        if (!b.HasMember("move") || !b["move"].IsObject()) f.push_back({"/move", "missing"});
        else moveCheck(w, b["move"], "/move", f);
        if (f.empty()) {
            o.AddMember("when", rapidjson::Value(std::int64_t(t)), al);
            o.AddMember("move", rapidjson::Value(b["move"], al), al);
        }
    } else if (op == "cancel" || op == "fire") {
        only({"move"});
        if (jsonString(b, "move").empty()) f.push_back({"/move", "missing"});
        o.AddMember("move", rapidjson::Value(jsonString(b, "move"), al), al);
        o.AddMember("at", rapidjson::Value(std::int64_t(wall)), al);
    } else if (op == "roster") {
        only({"node", "add"});
        if (jsonString(b, "node").empty()) f.push_back({"/node", "missing"});
        o.AddMember("node", rapidjson::Value(jsonString(b, "node"), al), al);
        o.AddMember("add", rapidjson::Value(jsonBool(b, "add", true)), al);
    } else return tl::make_unexpected(OrderRefusal{{404, errorBody({{"/op", "unknown order: " + op}})}});
    // A merge's faults are those of what it is laid upon, too.
    if (!f.empty()) return tl::make_unexpected(OrderRefusal{{422, errorBody(f)}, op == "merge"});
    return jsonText(o);
}

}  // namespace duneturn
