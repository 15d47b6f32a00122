#include "quota/quota_simulation.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/json.hpp"
#include "quota/thread_cpu_timer.hpp"

namespace duneturn {
namespace {

constexpr Microseconds MOST_WAIT = 250 * MILLISECOND;  // of a request for a token
constexpr Microseconds CONFIGURE_TIME = 1 * SECOND;    // until every node that runs has a configuration
constexpr Microseconds GRANTER_LOST = 1 * SECOND;      // without an answer, another granter is asked
constexpr double CLOCK_DRIFT = 0.01;

auto tableOf(const std::vector<WorldTenant>& tenants) -> std::shared_ptr<const TenantTable> {
    auto members = std::string();
    for (auto& tenant : tenants)
        members += fmt::format(R"({}"{}":{{"ratePerS":{},"burst":{}}})", members.empty() ? "" : ",",
            tenant.name, tenant.ratePerSecond, tenant.burst);
    auto document = rapidjson::Document();
    document.Parse((R"({"tenants":{)" + members + "}}").c_str());
    return std::make_shared<const TenantTable>(document);
}

}  // namespace

QuotaSimulation::QuotaSimulation(QuotaSimulationSettings settings)
    : settings_(std::move(settings)), random_{settings_.seed}, network_(random_) {
    nodes_.resize(std::size_t(settings_.nodes));
    results_.resize(settings_.tenants.size());
    for (auto& node : nodes_) {
        node.clockOffset = Microseconds(random_.below(1000 * SECOND));
        node.clockRate = 1 + CLOCK_DRIFT * (double(random_.below(1001)) / 500 - 1);
    }
    configure();
    for (auto& node : nodes_) {
        start(node);
        applyConfiguration(node);
    }
    for (auto i = 0; i < settings_.voters; i++) {
        auto& voter = nodes_[std::size_t(i)];
        voter.replica = std::make_unique<QuotaReplica>(clock(voter) - 100 * SECOND);
        voter.replica->broken = settings_.broken;
    }
    elect(0, 0);
}

auto QuotaSimulation::clock(const Node& node) const -> Microseconds {
    return 100 * SECOND + node.clockOffset + Microseconds(double(now_) * node.clockRate);
}

auto QuotaSimulation::isMajority(std::size_t voters) const -> bool {
    return int(voters) * 2 > settings_.voters;
}

auto QuotaSimulation::start(Node& node) -> void {
    node.account = std::make_unique<QuotaAccount>(std::int64_t(random_.next() >> 1), counters_);
    node.account->broken = settings_.broken;
    node.requests.clear();
    node.granter.reset();
    if (node.replica) {
        node.replica = std::make_unique<QuotaReplica>(clock(node));
        node.replica->broken = settings_.broken;
    }
    if (settings_.forgetsTerms) node.durableTerm = 0;
    if (node.tenants) node.account->setTenants(*node.tenants, clock(node));
}

// ---- configuration

auto QuotaSimulation::configure() -> void {
    tenants_ = tableOf(settings_.tenants);
    configuredAt_ = now_;
    auto bounds = tenants_->bounds();
    for (auto i = std::size_t(0); i < settings_.tenants.size(); i++) {
        auto& tenant = settings_.tenants[i];
        auto limit = tenant.ratePerSecond * double(bounds.window) / double(SECOND) + tenant.burst;
        auto tolerance = bounds.overrun * limit + bounds.slack;
        results_[i].bounds.emplace_back(now_, limit + tolerance);
        results_[i].grantBounds.emplace_back(now_, limit + tolerance - 0.2 * tolerance);
    }
}

auto QuotaSimulation::setRate(std::size_t tenant, double perSecond) -> void {
    settings_.tenants[tenant].ratePerSecond = perSecond;
    configure();
    for (auto& node : nodes_) node.configuredAt = now_ + Microseconds(random_.below(CONFIGURE_TIME));
}

auto QuotaSimulation::applyConfiguration(Node& node) -> void {
    node.tenants = tenants_;
    node.account->setTenants(*tenants_, clock(node));
    if (node.granter && node.granter->ledger) node.granter->ledger->setTenants(*tenants_, clock(node));
}

// ---- time

auto QuotaSimulation::runUntil(Microseconds end) -> void {
    while (now_ < end) step();
}

auto QuotaSimulation::step() -> void {
    now_ += settings_.step;
    for (auto& delivery : network_.receive(now_)) deliver(delivery);
    makeRequests();
    for (auto i = 0; i < settings_.nodes; i++) {
        auto& node = nodes_[std::size_t(i)];
        if (node.frozenUntil > now_) continue;
        if (node.tenants != tenants_ && now_ >= node.configuredAt) applyConfiguration(node);
        if (node.granter) tickGranter(i);
        tickAccount(i);
    }
    if (settings_.checksInvariant) checkInvariant();
}

auto QuotaSimulation::deliver(const QuotaDelivery& delivery) -> void {
    auto until = nodes_[std::size_t(delivery.to)].frozenUntil;
    if (until > now_) return network_.postpone(delivery, until);
    std::visit([&](auto& message) { handle(delivery.to, delivery.from, message); }, delivery.message);
}

// ---- accounts and requests

auto QuotaSimulation::tickAccount(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    for (auto& request : node.requests) serve(node, request);
    std::erase_if(node.requests, [](auto& request) { return request.isAbandoned; });
    auto measure = ProcessorTime(measures ? &accountMicroseconds : nullptr);
    auto& account = *node.account;
    if (!account.reportDue(clock(node))) return;
    auto report = account.report(clock(node));
    report.node = name(index);
    auto isLost = clock(node) - account.answeredAt() > GRANTER_LOST && random_.chance(0.5);
    auto granter = account.granter().empty() || isLost ? leader_ : std::stoi(account.granter().substr(1));
    network_.send(index, granter, report, now_);
}

auto QuotaSimulation::clientNode(const WorldTenant& tenant) -> int {
    constexpr auto STAY = 7 * SECOND;
    auto count = std::uint64_t(settings_.nodes);
    if (tenant.places == ClientPlaces::OneNode) return settings_.nodes - 1;
    if (tenant.places == ClientPlaces::Moving) return int(std::uint64_t(now_ / STAY) % count);
    return int(random_.below(count));
}

auto QuotaSimulation::makeRequests() -> void {
    for (auto i = std::size_t(0); i < settings_.tenants.size(); i++) {
        auto& tenant = settings_.tenants[i];
        auto expected = tenant.demandPerSecond * double(settings_.step) / double(SECOND);
        for (; expected > 0; expected -= 0.5)
            if (random_.chance(std::min(expected, 0.5))) arriveAt(clientNode(tenant), i);
    }
}

auto QuotaSimulation::sendTime(const WorldTenant& tenant) -> Microseconds {
    constexpr auto WORK = 30 * MILLISECOND;  // between admission and the first byte to a server
    auto soon = now_ + Microseconds(random_.below(WORK));
    if (!random_.chance(tenant.holding)) return soon;
    return soon - soon % tenant.together + tenant.together;
}

auto QuotaSimulation::arriveAt(int index, std::size_t tenant) -> void {
    auto& node = nodes_[std::size_t(index)];
    if (node.frozenUntil > now_) return;
    auto request = Request();
    request.tenant = tenant;
    request.arrivedAt = now_;
    request.sendAt = sendTime(settings_.tenants[tenant]);
    results_[tenant].requests++;
    auto measure = ProcessorTime(measures ? &accountMicroseconds : nullptr);
    admit(node, request,
        node.account->reserve(settings_.tenants[tenant].name, request.reservation, clock(node)));
    if (!request.isAbandoned) node.requests.push_back(request);
}

auto QuotaSimulation::admit(Node& node, Request& request, QuotaDecision answer) -> void {
    (void)node;
    if (!request.waits) request.waitsSince = now_;
    request.waits = answer == QuotaDecision::Wait;
    if (answer == QuotaDecision::Granted) results_[request.tenant].waited += now_ - request.arrivedAt;
    if (answer != QuotaDecision::Refused) return;
    request.isAbandoned = true;
    results_[request.tenant].refused++;
}

auto QuotaSimulation::serve(Node& node, Request& request) -> void {
    auto& account = *node.account;
    auto& tenant = settings_.tenants[request.tenant].name;
    auto measure = ProcessorTime(measures ? &accountMicroseconds : nullptr);
    if (request.waits) {
        if (now_ - request.waitsSince > MOST_WAIT) {
            account.stopWaiting(tenant);
            return admit(node, request, QuotaDecision::Refused);
        }
        return admit(node, request, account.reserveWaiting(tenant, request.reservation, clock(node)));
    }
    if (now_ < request.sendAt) return;
    if (random_.chance(0.02)) {
        account.release(request.reservation, clock(node));
        request.isAbandoned = true;
        return;
    }
    if (!account.spend(request.reservation, clock(node)))
        return admit(node, request, account.reserve(tenant, request.reservation, clock(node)));
    results_[request.tenant].spends.push_back(now_);
    request.isAbandoned = true;
}

// ---- judgement

namespace {

/// The highest of the bounds that may be in force within a window: a lower limit binds later.
auto allowedIn(const std::vector<std::pair<Microseconds, double>>& bounds, Microseconds from, Microseconds to)
    -> double {
    constexpr auto BINDS_AFTER = 15 * SECOND;
    auto allowed = 0.0;
    for (auto i = std::size_t(0); i < bounds.size(); i++) {
        auto isOver = i + 1 < bounds.size() && bounds[i + 1].first + BINDS_AFTER < from;
        if (!isOver && bounds[i].first <= to) allowed = std::max(allowed, bounds[i].second);
    }
    return allowed;
}

}  // namespace

auto QuotaSimulation::boundViolations() const -> std::vector<std::string> {
    auto window = tenants_->bounds().window;
    auto found = std::vector<std::string>();
    for (auto i = std::size_t(0); i < results_.size(); i++) {
        auto& spends = results_[i].spends;
        auto first = std::size_t(0);
        for (auto last = std::size_t(0); last < spends.size(); last++) {
            while (spends[last] - spends[first] >= window) first++;
            auto ran = last - first + 1;
            auto allowed = allowedIn(results_[i].bounds, spends[first], spends[last]);
            if (double(ran) <= allowed) continue;
            found.push_back(fmt::format("seed {}: {} ran {} until {} us, allowed {}", settings_.seed,
                settings_.tenants[i].name, ran, spends[last], allowed));
            break;
        }
    }
    return found;
}

auto QuotaSimulation::checkInvariant() -> void {
    auto window = tenants_->bounds().window;
    for (auto i = std::size_t(0); i < results_.size(); i++) {
        auto& result = results_[i];
        auto& spends = result.spends;
        auto& begin = result.windowBegin;
        while (begin < spends.size() && now_ - spends[begin] >= window) begin++;
        auto total = std::int64_t(spends.size() - begin);
        for (auto& node : nodes_) total += node.account->outstanding(settings_.tenants[i].name, clock(node));
        auto allowed = allowedIn(result.grantBounds, now_ - window, now_);
        if (double(total) <= allowed || !invariant_.empty()) continue;
        invariant_.push_back(fmt::format("seed {}: {} has {} spent and outstanding at {} us, allowed {}",
            settings_.seed, settings_.tenants[i].name, total, now_, allowed));
    }
}

}  // namespace duneturn
