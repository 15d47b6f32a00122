#pragma once
// A fleet with the platform's interfaces at each node, over virtual time: operators call them as the
// platform's page says, and each call runs the adapter's own code.
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <tl/expected.hpp>

#include "base/json.hpp"
#include "base/settings.hpp"
#include "base/time.hpp"
#include "control/start_delay.hpp"
#include "membership/fleet_fixture.hpp"
#include "platform.hpp"

namespace duneturn {

/// Deliberate faults that the oracles must see.
struct ControlFaults {
    bool keyPerTry = false;        // a change sent again is not known as the same one
    bool unfenced = false;         // evacuations don't name what they rest on
    bool ageless = false;          // an order is begun however long ago its request came
    bool readUnconfirmed = false;  // the leader answers reads without asking a majority
};

struct ControlFleet;

/// One call of an operator, running at one node.
struct ControlCall : Shell {
    ControlFleet& site;
    FleetNode& box;
    std::int64_t life;
    HttpRequest request;
    std::shared_ptr<asio::steady_timer> timer;
    Microseconds arrived;
    std::int64_t pending = 0;  // the node's number of the order or read under way
    bool gone = false;         // its caller has closed the connection
    int status = 0;            // 0: not answered yet
    std::string body;

    ControlCall(ControlFleet& s, FleetNode& b, const HttpRequest& q);
    auto await(std::function<void(std::int64_t)> begin) -> asio::awaitable<Outcome>;
    auto order(const std::string& op, const std::string& key, const std::string& body)
        -> asio::awaitable<Outcome> override;
    auto readState(const StateQuery& query) -> asio::awaitable<Outcome> override;
    auto list(const std::string&) -> asio::awaitable<Outcome> override { co_return Outcome{200, "{}"}; }
    auto where(const std::string&, const std::string&) -> std::string override { return "{}"; }
    auto ready() -> bool override { return true; }
    auto duty() -> bool override { return false; }
    auto replicatedState() -> std::string override { return box.n->replicatedState().text(); }
    auto fetch(const std::string&, const std::string&, Microseconds)
        -> asio::awaitable<tl::expected<HttpResponse, CallError>> override {
        co_return tl::make_unexpected(CallError{"silent"});
    }
    auto settings() -> const Settings& override { return box.st; }
    auto alive() const -> bool { return box.up && box.life == life; }
};

using ControlCallPtr = std::shared_ptr<ControlCall>;

struct ControlFleet {
    asio::io_context io;
    Fleet fleet;
    ControlFaults faults;
    std::int64_t keys = 0;
    std::vector<ControlCallPtr> calls;
    platform::PlatformAdapter adapter;

    static auto settings() -> platform::PlatformSettings {
        auto settings = platform::PlatformSettings();
        settings.control = "10.0.0.1:1";
        settings.zones = {{"x", "punjab"}, {"y", "sindh"}};
        return settings;
    }
    ControlFleet(std::uint64_t seed, ControlFaults f) : fleet(seed), faults(f), adapter(settings(), "") {}

    auto bootstrap(int cores, int nodes) -> void {
        fleet.bootstrap(cores, nodes);
        CHECK(fleet.until(5 * SECOND, [&] { return fleet.leader() != nullptr; }));
    }
    auto call(FleetNode& box, http::verb verb, const std::string& target, const std::string& body = "",
        const std::string& base = "") -> ControlCallPtr {
        auto request = HttpRequest(verb, target, 11);
        request.body() = body;
        if (!base.empty()) request.set("If-Match", base);
        auto call = std::make_shared<ControlCall>(*this, box, request);
        calls.push_back(call);
        asio::co_spawn(io, adapter.serve("10.0.0.1:1", call->request, *call),
            [call](std::exception_ptr error, HttpResponse answer) {
                call->status = error ? 500 : int(answer.result_int());
                call->body = answer.body();
            });
        pump();
        return call;
    }
    /// The caller closes its connection; the node hears of it if it is in touch and awake.
    auto close(const ControlCallPtr& call, bool heard) -> void {
        if (!heard || !call->alive() || call->box.frozen > fleet.t) return;
        call->gone = true;
        if (call->pending) call->box.n->cancelOrder(call->pending);
    }
    auto pump() -> void {
        for (auto& call : calls)
            if (call->pending && (fleet.outcomes.count(call->pending) || !call->alive()))
                call->timer->cancel();
        io.restart();
        io.poll();
        std::erase_if(calls, [](auto& call) { return call->status != 0; });
    }
    auto step() -> void {
        if (faults.readUnconfirmed)
            for (auto& box : fleet.nodes)
                if (box->up) box->n->orderService().broken.readUnconfirmed = true;
        fleet.run(20 * MILLISECOND);
        pump();
    }
    auto run(Microseconds time) -> void {
        for (auto end = fleet.t + time; fleet.t < end;) step();
    }
    /// The status of a call that is repeated at other nodes until it has an answer other than 503.
    auto finish(http::verb verb, const std::string& target, const std::string& body, const std::string& base,
        Microseconds limit, std::string* answer = nullptr) -> int {
        for (auto end = fleet.t + limit; fleet.t < end;) {
            auto& box = *fleet.nodes[fleet.r.below(fleet.nodes.size())];
            if (!box.up || box.frozen > fleet.t) {
                run(100 * MILLISECOND);
                continue;
            }
            auto one = call(box, verb, target, body, base);
            for (auto till = fleet.t + SECOND; fleet.t < till && !one->status;) step();
            if (answer) *answer = one->body;
            if (one->status && one->status != 503) return one->status;
            close(one, true);
            run(300 * MILLISECOND);
        }
        return 0;
    }
};

inline ControlCall::ControlCall(ControlFleet& s, FleetNode& b, const HttpRequest& q)
    : site(s),
      box(b),
      life(b.life),
      request(q),
      timer(std::make_shared<asio::steady_timer>(s.io)),
      arrived(s.fleet.t) {}

inline auto ControlCall::await(std::function<void(std::int64_t)> begin) -> asio::awaitable<Outcome> {
    auto unknown = Outcome{503, "{}"};
    if (!alive() || gone) co_return unknown;
    pending = ++site.fleet.ids;
    begin(pending);
    while (alive() && !site.fleet.outcomes.count(pending)) {
        timer->expires_at(asio::steady_timer::time_point::max());
        auto failed = boost::system::error_code();
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, failed));
    }
    auto outcome = alive() ? site.fleet.outcomes[pending] : unknown;
    pending = 0;
    co_return outcome;
}

inline auto ControlCall::order(const std::string& op, const std::string& key, const std::string& body)
    -> asio::awaitable<Outcome> {
    auto late = !site.faults.ageless && isTooLateToStart(op, arrived, site.fleet.t);
    if (late) co_return Outcome{503, "{}"};
    auto text = body;
    auto name = key;
    if (site.faults.keyPerTry) name += fmt::format("-{}", ++site.keys);
    if (site.faults.unfenced && op != "config") {
        auto document = rapidjson::Document();
        parseJson(body, document);
        document.RemoveMember("revision");
        text = jsonText(document);
        name += fmt::format("-{}", ++site.keys);
    }
    auto begin = std::function<void(std::int64_t)>(
        [&](std::int64_t id) { box.n->order(id, op, name, text, site.fleet.t); });
    co_return co_await await(begin);
}

inline auto ControlCall::readState(const StateQuery& query) -> asio::awaitable<Outcome> {
    auto begin =
        std::function<void(std::int64_t)>([&](std::int64_t id) { box.n->read(id, query, site.fleet.t); });
    co_return co_await await(begin);
}

}  // namespace duneturn
