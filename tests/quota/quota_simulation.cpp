#include "quota/quota_simulation.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/json.hpp"
#include "quota/thread_cpu_timer.hpp"

namespace duneturn {
namespace {

/// How long a request waits for a token before it is rejected.
constexpr Microseconds MAX_WAIT = 250 * MILLISECOND;
/// How long it takes at most until each running node applies a new configuration.
constexpr Microseconds CONFIGURE_TIME = 1 * SECOND;
/// How long a node's granter has not answered before the node may report to the leader instead.
constexpr Microseconds GRANTER_LOST_TIMEOUT = 1 * SECOND;
/// The lowest reading of a node's clock.
constexpr Microseconds CLOCK_START = 100 * SECOND;
/// How much faster or slower than virtual time a node's clock runs at most, as a fraction.
constexpr double CLOCK_DRIFT = 0.01;

auto makeTenantTable(const std::vector<TenantWorkload>& tenants) -> std::shared_ptr<const TenantTable> {
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
        // Dated back, so that the voter counts as running long enough to know that no earlier image exists.
        voter.replica = std::make_unique<QuotaReplica>(clock(voter) - 100 * SECOND);
        voter.replica->faults = settings_.faults;
    }
    elect(0, 0);
}

auto QuotaSimulation::clock(const Node& node) const -> Microseconds {
    return CLOCK_START + node.clockOffset + Microseconds(double(now_) * node.clockRate);
}

auto QuotaSimulation::isMajority(std::size_t voters) const -> bool {
    return int(voters) * 2 > settings_.voters;
}

auto QuotaSimulation::start(Node& node) -> void {
    node.account = std::make_unique<QuotaAccount>(std::int64_t(random_.next() >> 1), counters_);
    node.account->faults = settings_.faults;
    node.requests.clear();
    node.granter.reset();
    if (node.replica) {
        node.replica = std::make_unique<QuotaReplica>(clock(node));
        node.replica->faults = settings_.faults;
    }
    if (settings_.losesDurableTerms) node.durableTerm = 0;
    if (node.tenants) node.account->setTenants(*node.tenants, clock(node));
}

// ---- configuration

auto QuotaSimulation::configure() -> void {
    constexpr auto EXTRA_ATTEMPT_SHARE = 0.2;  // the share of the tolerance that is withheld from grants
    tenants_ = makeTenantTable(settings_.tenants);
    auto bounds = tenants_->bounds();
    for (auto i = std::size_t(0); i < settings_.tenants.size(); i++) {
        auto& tenant = settings_.tenants[i];
        auto limit = tenant.ratePerSecond * double(bounds.window) / double(SECOND) + tenant.burst;
        auto tolerance = bounds.overrun * limit + bounds.slack;
        results_[i].bounds.emplace_back(now_, limit + tolerance);
        results_[i].grantBounds.emplace_back(now_, limit + tolerance - EXTRA_ATTEMPT_SHARE * tolerance);
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

// Advances the node's requests and sends a report if one is due. If the known granter has not answered for
// GRANTER_LOST_TIMEOUT, half of the reports go to the leader. name() is inverted to get the granter's index.
auto QuotaSimulation::tickAccount(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    for (auto& request : node.requests) advance(node, request);
    std::erase_if(node.requests, [](auto& request) { return request.isFinished; });
    auto timer = ThreadCpuTimer(measuresCpuTime ? &accountMicroseconds : nullptr);
    auto& account = *node.account;
    if (!account.reportDue(clock(node))) return;
    auto report = account.report(clock(node));
    report.node = name(index);
    auto asksLeader = clock(node) - account.answeredAt() > GRANTER_LOST_TIMEOUT && random_.chance(0.5);
    auto granter = account.granter().empty() || asksLeader ? leader_ : std::stoi(account.granter().substr(1));
    network_.send(index, granter, report, now_);
}

auto QuotaSimulation::clientNode(const TenantWorkload& tenant) -> int {
    constexpr auto MOVE_INTERVAL = 7 * SECOND;
    auto count = std::uint64_t(settings_.nodes);
    if (tenant.placement == ClientPlacement::OneNode) return settings_.nodes - 1;
    if (tenant.placement == ClientPlacement::Moving) return int(std::uint64_t(now_ / MOVE_INTERVAL) % count);
    return int(random_.below(count));
}

auto QuotaSimulation::makeRequests() -> void {
    constexpr auto MAX_PROBABILITY = 0.5;  // of a request per draw; if more are expected, draws are repeated
    for (auto i = std::size_t(0); i < settings_.tenants.size(); i++) {
        auto& tenant = settings_.tenants[i];
        auto expected = tenant.demandPerSecond * double(settings_.step) / double(SECOND);
        for (; expected > 0; expected -= MAX_PROBABILITY)
            if (random_.chance(std::min(expected, MAX_PROBABILITY))) receiveRequest(clientNode(tenant), i);
    }
}

auto QuotaSimulation::sendTime(const TenantWorkload& tenant) -> Microseconds {
    constexpr auto MAX_DELAY = 30 * MILLISECOND;  // between arrival and the first byte to a server
    auto soon = now_ + Microseconds(random_.below(MAX_DELAY));
    if (!random_.chance(tenant.batchedFraction)) return soon;
    return soon - soon % tenant.batchInterval + tenant.batchInterval;
}

auto QuotaSimulation::receiveRequest(int index, std::size_t tenant) -> void {
    auto& node = nodes_[std::size_t(index)];
    if (node.frozenUntil > now_) return;
    auto request = Request();
    request.tenant = tenant;
    request.arrivedAt = now_;
    request.sendAt = sendTime(settings_.tenants[tenant]);
    results_[tenant].requests++;
    auto timer = ThreadCpuTimer(measuresCpuTime ? &accountMicroseconds : nullptr);
    applyDecision(
        request, node.account->reserve(settings_.tenants[tenant].name, request.reservation, clock(node)));
    if (!request.isFinished) node.requests.push_back(request);
}

auto QuotaSimulation::applyDecision(Request& request, QuotaDecision decision) -> void {
    if (!request.isWaiting) request.waitsSince = now_;
    request.isWaiting = decision == QuotaDecision::Wait;
    if (decision == QuotaDecision::Granted) results_[request.tenant].waited += now_ - request.arrivedAt;
    if (decision != QuotaDecision::Refused) return;
    request.isFinished = true;
    results_[request.tenant].rejected++;
}

// Retries a waiting request, or sends an admitted one when its time has come. A few are cancelled instead.
auto QuotaSimulation::advance(Node& node, Request& request) -> void {
    constexpr auto CANCEL_PROBABILITY = 0.02;
    auto& account = *node.account;
    auto& tenant = settings_.tenants[request.tenant].name;
    auto timer = ThreadCpuTimer(measuresCpuTime ? &accountMicroseconds : nullptr);
    if (request.isWaiting) {
        if (now_ - request.waitsSince > MAX_WAIT) {
            account.stopWaiting(tenant);
            return applyDecision(request, QuotaDecision::Refused);
        }
        return applyDecision(request, account.reserveWaiting(tenant, request.reservation, clock(node)));
    }
    if (now_ < request.sendAt) return;
    if (random_.chance(CANCEL_PROBABILITY)) {
        account.release(request.reservation, clock(node));
        request.isFinished = true;
        return;
    }
    if (!account.spend(request.reservation, clock(node)))
        return applyDecision(request, account.reserve(tenant, request.reservation, clock(node)));
    results_[request.tenant].spends.push_back(now_);
    request.isFinished = true;
}

// ---- checks

namespace {

/// The highest bound that is allowed at any time from `from` to `to`. After a change of the limit the
/// previous bound stays allowed for PREVIOUS_BOUND_GRACE, since tokens granted under it may still be spent.
auto allowedIn(const std::vector<std::pair<Microseconds, double>>& bounds, Microseconds from, Microseconds to)
    -> double {
    constexpr auto PREVIOUS_BOUND_GRACE = 15 * SECOND;
    auto allowed = 0.0;
    for (auto i = std::size_t(0); i < bounds.size(); i++) {
        auto isReplaced = i + 1 < bounds.size() && bounds[i + 1].first + PREVIOUS_BOUND_GRACE < from;
        if (!isReplaced && bounds[i].first <= to) allowed = std::max(allowed, bounds[i].second);
    }
    return allowed;
}

}  // namespace

auto QuotaSimulation::boundViolations() const -> std::vector<std::string> {
    auto window = tenants_->bounds().window;
    auto violations = std::vector<std::string>();
    for (auto i = std::size_t(0); i < results_.size(); i++) {
        auto& spends = results_[i].spends;
        auto first = std::size_t(0);
        for (auto last = std::size_t(0); last < spends.size(); last++) {
            while (spends[last] - spends[first] >= window) first++;
            auto requestCount = last - first + 1;
            auto allowed = allowedIn(results_[i].bounds, spends[first], spends[last]);
            if (double(requestCount) <= allowed) continue;
            violations.push_back(
                fmt::format("seed {}: tenant {} ran {} requests in the window that ends at {} us, allowed {}",
                    settings_.seed, settings_.tenants[i].name, requestCount, spends[last], allowed));
            break;
        }
    }
    return violations;
}

// The grant bound limits the requests sent in the last window plus the tokens that nodes may still spend.
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
        if (double(total) <= allowed || !invariantViolations_.empty()) continue;
        invariantViolations_.push_back(
            fmt::format("seed {}: tenant {} has {} tokens spent and outstanding at {} us, allowed {}",
                settings_.seed, settings_.tenants[i].name, total, now_, allowed));
    }
}

}  // namespace duneturn
