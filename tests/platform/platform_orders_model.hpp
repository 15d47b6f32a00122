#pragma once
// Operators, the troubles that they meet, and what is judged of it: only what operators sent and were
// told, and the state of a zone as its leader holds it.
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "platform/platform_orders_fixture.hpp"

namespace duneturn {

constexpr auto CONFIG = "/v1/config";
constexpr auto ZONE = "/v1/evacuation/x";

inline auto document(std::int64_t version, std::int64_t mark) -> std::string {
    return fmt::format(
        R"({{"ConfigVersion":{},"Routes":[{{"Name":"r","Hostname":"h{}","PathPrefix":"/","DeadlineMs":100,"Backend":"b"}}],"Backends":[{{"Name":"b"}}]}})",
        version, mark);
}
inline auto versionOf(const std::string& text) -> std::int64_t {
    auto parsed = rapidjson::Document();
    return parseJson(text, parsed) && parsed.IsObject() ? jsonInteger(parsed, "ConfigVersion") : 0;
}

/// What an operator knows of one configuration change.
struct Change {
    std::string body;
    std::int64_t base = 0, version = 0;
    Microseconds acknowledged = 0, refused = 0;  // when it was first told so; 0: never
};
/// A readback that was answered.
struct Readback {
    Microseconds begun = 0, ended = 0;
    std::int64_t version = 0;
};
/// What operators sent and were told, and what is wrong with it.
struct History {
    std::vector<Change> changes;
    std::vector<Readback> readbacks;
    std::vector<std::string> zoneFaults;

    auto change(const std::string& body) -> Change& {
        for (auto& known : changes)
            if (known.body == body) return known;
        return changes.emplace_back(Change{body, 0, 0, 0, 0});
    }
    auto judge() const -> std::vector<std::string> {
        auto faults = zoneFaults;
        judgeChanges(faults);
        judgeReadbacks(faults);
        return faults;
    }

  private:
    auto judgeChanges(std::vector<std::string>& faults) const -> void {
        auto winners = std::map<std::int64_t, std::string>();
        for (auto& change : changes) {
            if (change.acknowledged && change.refused)
                faults.push_back(fmt::format("version {} was acknowledged and refused", change.version));
            if (!change.acknowledged) continue;
            auto [other, first] = winners.emplace(change.base, change.body);
            if (!first && other->second != change.body)
                faults.push_back(fmt::format("two changes on version {} were acknowledged", change.base));
        }
    }
    auto judgeReadbacks(std::vector<std::string>& faults) const -> void {
        for (auto& read : readbacks) {
            for (auto& change : changes) {
                if (change.acknowledged && change.acknowledged < read.begun && read.version < change.version)
                    faults.push_back(fmt::format(
                        "version {} was read after {} was acknowledged", read.version, change.version));
                if (change.refused && change.refused < read.begun && read.version == change.base)
                    faults.push_back(fmt::format(
                        "a change on version {} was refused while that was in place", change.base));
            }
            for (auto& later : readbacks)
                if (read.ended < later.begun && later.version < read.version)
                    faults.push_back(
                        fmt::format("version {} was read after {}", later.version, read.version));
        }
    }
};

/// An operator: one call at a time, sent again to any node after a silence, a failure or a 503.
struct Operator {
    ControlFleet& site;
    RandomSource random;
    double lostAnswers;
    http::verb verb = http::verb::get;
    std::string target, body, base;
    ControlCallPtr call;
    Microseconds begun = 0, sent = 0, next = 0, limit = 0;
    bool busy = false;
    int status = 0;
    std::string answer;

    Operator(ControlFleet& s, std::uint64_t seed, double lost) : site(s), random{seed}, lostAnswers(lost) {}

    auto begin(http::verb v, const std::string& t, const std::string& b, const std::string& ifMatch,
        Microseconds most) -> void {
        verb = v, target = t, body = b, base = ifMatch;
        begun = next = site.fleet.t;
        limit = most;
        busy = true;
        call = nullptr;
    }
    /// True once the operation is over; `status` is 0 if its outcome is not known.
    auto over() -> bool {
        auto now = site.fleet.t;
        if (!busy) return false;
        if (!call && now - begun > limit) return end(0);
        if (!call) {
            if (now >= next) send();
            return false;
        }
        if (call->status) return answered(now);
        if (now - sent < SECOND) return false;
        site.close(call, !cutOff(call->box));
        retry(now);
        return false;
    }

  private:
    auto cutOff(const FleetNode& box) const -> bool {
        auto self = site.fleet.indexByAddress[box.st.peer];
        auto other = self ? std::size_t(0) : std::size_t(1);
        return site.fleet.cut.count({self, other}) > 0;
    }
    auto end(int result) -> bool {
        status = result;
        busy = false;
        call = nullptr;
        return true;
    }
    auto retry(Microseconds now) -> void {
        call = nullptr;
        next = now + 100 * MILLISECOND + Microseconds(random.below(400 * MILLISECOND));
    }
    auto send() -> void {
        auto& box = *site.fleet.nodes[random.below(site.fleet.nodes.size())];
        sent = site.fleet.t;
        if (!box.up || box.frozen > site.fleet.t) return retry(sent + (box.up ? SECOND : 0));
        call = site.call(box, verb, target, body, base);
    }
    auto answered(Microseconds now) -> bool {
        auto result = call->status;
        answer = call->body;
        if (result == 503 || random.chance(lostAnswers)) {
            retry(now);
            return false;
        }
        return end(result);
    }
};

/// Changes the configuration, at times sends an older change again, and reads back.
struct ConfigOperator : Operator {
    History& history;
    std::int64_t mark = 0, known = 0, newest = 0;
    std::string change;

    ConfigOperator(ControlFleet& s, History& h, std::uint64_t seed, double lost)
        : Operator(s, seed, lost), history(h), mark(std::int64_t(seed) * 100000) {}
    auto step() -> void {
        if (!busy) return choose();
        if (!over() || !status) return;
        if (verb == http::verb::get) return readBack();
        auto& record = history.change(change);
        if (status == 200 && !record.acknowledged) record.acknowledged = site.fleet.t;
        if (status == 412 && !record.refused) record.refused = site.fleet.t;
        if (status == 200) known = std::max(known, record.version);
        if (status != 200 && status != 412)
            history.zoneFaults.push_back(fmt::format("a sound change was answered with {}", status));
    }

  private:
    auto choose() -> void {
        auto dice = random.below(10);
        if (dice < 3) return begin(http::verb::get, CONFIG, "", "", 8 * SECOND);
        if (dice < 5 && !history.changes.empty()) return sendAgain();
        auto version = known + 1 + std::int64_t(random.below(3));
        change = document(version, ++mark);
        auto& record = history.change(change);
        record.base = known, record.version = version;
        begin(http::verb::put, CONFIG, change, fmt::to_string(known), 8 * SECOND);
    }
    auto sendAgain() -> void {
        auto record = history.changes[random.below(history.changes.size())];
        change = record.body;
        begin(http::verb::put, CONFIG, change, fmt::to_string(record.base), 8 * SECOND);
    }
    auto readBack() -> void {
        known = status == 200 ? versionOf(answer) : 0;
        history.readbacks.push_back({begun, site.fleet.t, known});
    }
};

/// Evacuates a zone and withdraws that in turn. What was acknowledged last must stay so.
struct ZoneOperator : Operator {
    History& history;
    bool wanted = false, acknowledged = false;
    Microseconds calmTill = 0;

    ZoneOperator(ControlFleet& s, History& h, std::uint64_t seed, double lost)
        : Operator(s, seed, lost), history(h) {}
    auto step() -> void {
        if (busy) {
            if (over())
                acknowledged = status == 200,
                calmTill = site.fleet.t + Microseconds(random.below(6 * SECOND));
            return;
        }
        look();
        if (site.fleet.t < calmTill) return;
        wanted = !wanted;
        acknowledged = false;
        begin(wanted ? http::verb::post : http::verb::delete_, ZONE, "", "", 8 * SECOND);
    }

  private:
    auto look() -> void {
        auto leader = site.fleet.leader();
        if (!acknowledged || !leader) return;
        if (leader->n->voter()->replicatedState().evacuated("x") == wanted) return;
        history.zoneFaults.push_back(fmt::format(
            "the zone is {} again after the other was acknowledged", wanted ? "not evacuated" : "evacuated"));
        acknowledged = false;
    }
};

/// One fault at a time: cuts, freezes and losses of power of a leader or another node.
struct Trouble {
    ControlFleet& site;
    RandomSource random;
    Microseconds next = 0;
    std::function<void()> undo;

    Trouble(ControlFleet& s, std::uint64_t seed) : site(s), random{seed} {}
    auto step() -> void {
        if (site.fleet.t < next) return;
        if (undo) {
            std::exchange(undo, nullptr)();
            next = site.fleet.t + SECOND + Microseconds(random.below(2 * SECOND));
            return;
        }
        auto leader = site.fleet.leader();
        auto& box =
            leader && random.chance(.7) ? *leader : *site.fleet.nodes[random.below(site.fleet.nodes.size())];
        begin(box, random.below(3));
    }
    auto end() -> void {
        if (undo) std::exchange(undo, nullptr)();
        next = INT64_MAX;
    }

  private:
    auto begin(FleetNode& box, std::uint64_t kind) -> void {
        auto& fleet = site.fleet;
        if (kind == 0) {
            fleet.lone(box, true);
            undo = [&] { site.fleet.lone(box, false); };
            next = fleet.t + SECOND + Microseconds(random.below(19 * SECOND));
        } else if (kind == 1) {
            auto time = 1500 * MILLISECOND + Microseconds(random.below(6 * SECOND));
            box.frozen = fleet.t + time;
            undo = [] {};
            next = box.frozen;
        } else {
            fleet.stop(box);
            undo = [&] { site.fleet.restart(box); };
            next = fleet.t + 500 * MILLISECOND + Microseconds(random.below(2 * SECOND));
        }
    }
};

}  // namespace duneturn
