// The simulated operators and the platform: orders, configurations, readbacks and listings of servers.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/time.hpp"
#include "sim/simulation.hpp"

namespace duneturn {

namespace {

constexpr auto OPERATOR_TIMEOUT = 5 * SECOND;  // as that of `ctl`; the outcome is unknown then
constexpr auto READBACK_TIMEOUT = 6 * SECOND;
constexpr auto LISTING_REPLY_TIMEOUT = 4 * SECOND;
constexpr auto LISTING_INTERVAL = SECOND;

// Restricts the routes and models of a configuration in one respect.
auto restrictConfiguration(rapidjson::Document& configuration, const std::string& restriction) -> void {
    auto& allocator = configuration.GetAllocator();
    for (auto& route : configuration["mappings"].GetArray()) {
        if (restriction == "no-resume") route.RemoveMember("Resumable");
        if (restriction == "one-try" && route.HasMember("MaxTries")) route["MaxTries"] = 1;
        if (restriction == "home" && route.HasMember("spill")) {
            route.RemoveMember("spill");
            route.AddMember("home", "@near", allocator);
        }
        if (restriction == "no-spill") route.RemoveMember("spill");
    }
    if (restriction == "no-move")
        for (auto& model : configuration["models"].GetObject()) model.value.RemoveMember("migrationLimit");
}

}  // namespace

// ---- orders

auto Simulation::sendOrder(const std::string& operation, const std::string& body, const std::string& subject,
    std::int64_t base, std::function<void(int)> onOutcome) -> void {
    auto index = nextOrderMachine >= 0 ? nextOrderMachine : randomRunningMachine();
    nextOrderMachine = -1;
    if (index < 0) return;
    auto number = orders.size();
    orders.push_back({now, 0, 0, 0, base, operation, subject, {}});
    if (operation == "config") {
        auto document = rapidjson::Document();
        if (parseJson(body, document) && document.HasMember("config")) {
            auto configuration = std::make_shared<rapidjson::Document>();
            configuration->CopyFrom(document["config"], configuration->GetAllocator());
            orders.back().configuration = configuration;
        }
    }
    result.orders++;
    auto& target = machine(index);
    trace(
        fmt::format("order {}: {} {} base {} at {}", number, operation, subject, base, target.settings.node));
    scheduleOnMachine(
        index, target.incarnation, networkDelay(), [this, index, number, operation, body, onOutcome] {
            auto& target = machine(index);
            auto call = target.addCall([this, number, onOutcome](const Outcome& outcome) {
                if (orders[number].over) return;  // the operator has timed out
                onOrderOutcome(number, outcome);
                if (onOutcome) onOutcome(outcome.status);
            });
            target.node->order(call, operation, fmt::format("op-{}", number), body, target.now());
        });
    schedule(OPERATOR_TIMEOUT, [this, number, onOutcome] {
        auto& order = orders[number];
        if (order.over) return;
        order.over = now;
        order.status = 504;
        result.unknownOrders++;
        trace(fmt::format("order {}: no reply", number));
        if (onOutcome) onOutcome(504);
    });
}

auto Simulation::onOrderOutcome(std::size_t number, const Outcome& outcome) -> void {
    auto& order = orders[number];
    order.over = now;
    order.status = outcome.status;
    auto document = rapidjson::Document();
    if (parseJson(outcome.body, document) && document.IsObject()) {
        auto configured = order.operation == "config" && outcome.status == 200;
        order.version = jsonInteger(document, configured ? "configGeneration" : "generation");
    }
    trace(fmt::format("order {}: status {} {}", number, outcome.status, outcome.body));
    if (outcome.status == 200) {
        result.acknowledgedOrders++;
        result.acknowledgementTimes.push_back(now - order.sentAt);
    }
    if (outcome.status == 200 && order.operation == "empty") checkEvacuatedZone(order);
    if (outcome.status == 504) result.unknownOrders++;
}

auto Simulation::probeConfiguration(int probe, const std::string& restriction) -> std::string {
    auto configuration = rapidjson::Document();
    parseJson(exampleConfiguration, configuration);
    auto& allocator = configuration.GetAllocator();
    restrictConfiguration(configuration, restriction);
    auto route = rapidjson::Value(rapidjson::kObjectType);
    route.AddMember("name", "probe", allocator)
        .AddMember("method", "POST", allocator)
        .AddMember("path", "/probe", allocator)
        .AddMember("pool", rapidjson::Value(fmt::format("probe-{}", probe), allocator), allocator)
        .AddMember("MaxTries", 1, allocator);
    auto spillover = rapidjson::Value(rapidjson::kArrayType);
    for (auto& region : regions) spillover.PushBack(rapidjson::Value(region, allocator), allocator);
    route.AddMember("spill", spillover, allocator);
    configuration["mappings"].PushBack(route, allocator);
    return jsonText(configuration);
}

auto Simulation::sendConfiguration(int probe, std::int64_t base, std::function<void(int)> onOutcome,
    const std::string& restriction) -> void {
    auto body = fmt::format("{{\"base\":{},\"config\":{}}}", base, probeConfiguration(probe, restriction));
    sendOrder("config", body, fmt::format("probe-{}", probe), base, std::move(onOutcome));
}

auto Simulation::newestConfigurationVersion() const -> std::int64_t {
    auto newest = std::int64_t(0);
    for (auto& order : orders)
        if (order.operation == "config" && order.status == 200) newest = std::max(newest, order.version);
    return newest;
}

auto Simulation::restoreZone(const std::string& zone) -> void {
    sendOrder("give-back", bodyOf({{"district", jsonQuote(zone)}}), zone, 0, [this, zone](int status) {
        if (status == 200) openEvacuations = 0;
        else schedule(SECOND, [this, zone] { restoreZone(zone); });
    });
}

// ---- readbacks

auto Simulation::readBack(std::function<void(bool, const std::string&)> onResult) -> void {
    auto index = randomRunningMachine();
    if (index < 0) {
        schedule(200 * MILLISECOND, [onResult] { onResult(false, ""); });
        return;
    }
    auto over = std::make_shared<bool>(false);
    auto sentAt = now;
    scheduleOnMachine(
        index, machine(index).incarnation, networkDelay(), [this, index, onResult, over, sentAt] {
            auto& target = machine(index);
            auto call = target.addCall([this, onResult, over, sentAt](const Outcome& outcome) {
                if (*over) return;
                *over = true;
                if (outcome.status == 200) checkReadback(sentAt, outcome.body);
                onResult(outcome.status == 200, outcome.body);
            });
            target.node->read(call, target.now());
        });
    schedule(READBACK_TIMEOUT, [over, onResult] {
        if (*over) return;
        *over = true;
        onResult(false, "");
    });
}

// Records what was read for checkLinearizability(), and checks that some order can have written it.
auto Simulation::checkReadback(Microseconds sentAt, const std::string& body) -> void {
    auto state = ReplicatedState();
    state.load(body);
    auto service = std::string();
    for (auto& route : state.config()["mappings"].GetArray())
        if (jsonString(route, "name") == "probe") service = jsonString(route, "pool");
    auto readback = HistoryOperation();
    readback.read = true;
    readback.start = sentAt;
    readback.end = now;
    readback.version = state.configVersion();
    readback.value = service;
    for (auto i = std::size_t(0); i < orders.size(); i++)
        if (orders[i].operation == "config" && state.outcome(fmt::format("op-{}", i)).status == 200)
            readback.appliedOrders.push_back(int(i));
    readbacks.push_back(readback);
    auto canHaveWritten = [&](const SimOrder& order) {
        return order.operation == "config" && order.subject == service
            && (order.outcomeUnknown() || (order.status == 200 && order.version == state.configVersion()));
    };
    if (state.configVersion() && std::none_of(orders.begin(), orders.end(), canHaveWritten))
        reportViolation("what was refused never takes effect",
            fmt::format("generation {} reads {}", state.configVersion(), service));
}

// ---- the platform

auto Simulation::listing() -> std::string {
    auto entries = std::string();
    for (auto& server : servers)
        entries += (entries.empty() ? "" : ",")
            + bodyOf({{"name", jsonQuote(server.name)}, {"address", jsonQuote(server.address)},
                {"region", jsonQuote(server.region)}, {"district", jsonQuote(server.zone)},
                {"pool", jsonQuote(server.service)}, {"weights", jsonQuote(server.weights)},
                {"slots", fmt::to_string(server.slots)}, {"state", server.leaving ? "\"leaving\"" : "\"up\""},
                {"incarnation", fmt::to_string(server.incarnation)}});
    return fmt::format("{{\"revision\":{},\"servers\":[{}]}}", ++platformRevision, entries);
}

auto Simulation::sendListing(std::function<void(bool)> onResult, int tries) -> void {
    if (tries <= 0) return onResult(false);
    auto index = randomRunningMachine();
    if (index < 0 || machine(index).frozen) {
        schedule(500 * MILLISECOND, [this, onResult, tries] { sendListing(onResult, tries - 1); });
        return;
    }
    auto over = std::make_shared<bool>(false);
    auto text = listing();
    scheduleOnMachine(
        index, machine(index).incarnation, networkDelay(), [this, index, onResult, tries, over, text] {
            auto& target = machine(index);
            auto call = target.addCall([this, onResult, tries, over](const Outcome& outcome) {
                if (*over) return;
                *over = true;
                if (outcome.status == 200) onResult(true);
                else sendListing(onResult, tries - 1);
            });
            target.node->list(call, text, target.now());
        });
    schedule(LISTING_REPLY_TIMEOUT, [this, onResult, tries, over] {
        if (*over) return;
        *over = true;
        sendListing(onResult, tries - 1);
    });
}

auto Simulation::scheduleListings() -> void {
    schedule(LISTING_INTERVAL, [this] { scheduleListings(); });
    sendListing([](bool) {}, 1);
}

}  // namespace duneturn
