// QuotaSimulation: granters and voters, and the troubles of nodes.
#include <algorithm>
#include <utility>

#include "quota/thread_cpu_timer.hpp"
#include "quota/quota_simulation.hpp"

namespace duneturn {
namespace {

constexpr Microseconds ASK_INTERVAL = 100 * MILLISECOND;
constexpr Microseconds REMEMBER_TIMEOUT = 1 * SECOND;

}  // namespace

// ---- troubles

auto QuotaSimulation::restart(int node) -> void {
    auto& started = nodes_[std::size_t(node)];
    started.frozenUntil = 0;
    start(started);
}

auto QuotaSimulation::freeze(int node, Microseconds until) -> void {
    auto& frozen = nodes_[std::size_t(node)].frozenUntil;
    frozen = std::max(frozen, until);
}

auto QuotaSimulation::isolate(int node, Microseconds until) -> void {
    for (auto i = 0; i < settings_.nodes; i++)
        if (i != node) network_.cut(node, i, until);
}

auto QuotaSimulation::elect(int voter, Microseconds predecessorLearnsAt) -> void {
    auto supporters = std::size_t(0);
    for (auto i = 0; i < settings_.voters; i++)
        if (!network_.isCut(voter, i, now_) && nodes_[std::size_t(i)].frozenUntil <= now_) supporters++;
    if (!isMajority(supporters) || nodes_[std::size_t(voter)].frozenUntil > now_) return;
    term_++;
    for (auto i = 0; i < settings_.voters; i++)
        if (!network_.isCut(voter, i, now_) && nodes_[std::size_t(i)].frozenUntil <= now_)
            nodes_[std::size_t(i)].durableTerm = term_;
    for (auto& node : nodes_)
        if (node.granter) node.granter->endsAt = predecessorLearnsAt;
    leader_ = voter;
    auto& granter = nodes_[std::size_t(voter)].granter;
    granter = std::make_unique<Granter>();
    granter->term = term_;
}

// ---- granters

auto QuotaSimulation::tickGranter(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = *node.granter;
    if (granter.endsAt && now_ >= granter.endsAt && granter.term < term_) return node.granter.reset();
    if (!granter.ledger) return collect(index);
    auto measure = ProcessorTime(measures ? &ledgerMicroseconds : nullptr);
    granter.ledger->tick(clock(node));
    if (granter.ledger->imageDue(clock(node))) sendImage(index);
}

auto QuotaSimulation::collect(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = *node.granter;
    if (granter.promisedAt && now_ - granter.promisedAt >= REMEMBER_TIMEOUT)
        return activate(index, nullptr, 0);
    if (granter.askedAt && now_ - granter.askedAt < ASK_INTERVAL) return;
    granter.askedAt = now_;
    auto request = wire::QuotaImageRequest();
    request.term = granter.term;
    for (auto i = 0; i < settings_.voters; i++) network_.send(index, i, request, now_);
}

auto QuotaSimulation::activate(int index, const wire::QuotaImage* predecessors, Microseconds age) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = *node.granter;
    auto nothing = wire::QuotaImage();
    if (settings_.broken.ignorePredecessors) predecessors = &nothing;
    granter.ledger.emplace(granter.term, predecessors, age, counters_, clock(node));
    granter.ledger->broken = settings_.broken;
    granter.ledger->setTenants(*node.tenants, clock(node));
    sendImage(index);
    for (auto i = 0; i < settings_.nodes; i++) {
        auto grant = wire::QuotaGrant();
        grant.term = granter.term;
        grant.granter = name(index);
        grant.node = name(i);
        network_.send(index, i, grant, now_);
    }
}

auto QuotaSimulation::sendImage(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = *node.granter;
    auto image = granter.ledger->image(clock(node));
    granter.sentImages.emplace_back(image.sequence, clock(node));
    for (auto i = 0; i < settings_.voters; i++) network_.send(index, i, image, now_);
}

auto QuotaSimulation::noteHeld(Granter& granter) -> void {
    while (!granter.sentImages.empty()) {
        auto [sequence, sentAt] = granter.sentImages.front();
        auto holders = std::count_if(granter.held.begin(), granter.held.end(),
            [sequence = sequence](auto& entry) { return entry.second >= sequence; });
        if (!isMajority(std::size_t(holders))) return;
        granter.ledger->confirmImage(sequence, sentAt);
        granter.sentImages.pop_front();
    }
}

// ---- messages

auto QuotaSimulation::handle(int index, int from, const wire::QuotaReport& report) -> void {
    auto& node = nodes_[std::size_t(index)];
    if (!node.granter || !node.granter->ledger) return;
    auto& ledger = *node.granter->ledger;
    if (!ledger.hasGranterLease(clock(node)) && !settings_.broken.answerWithoutAuthority) return;
    auto measure = ProcessorTime(measures ? &ledgerMicroseconds : nullptr);
    auto grant = ledger.take(report.node, report, clock(node));
    grant.granter = name(index);
    network_.send(index, from, grant, now_);
    if (ledger.imageDue(clock(node))) sendImage(index);
}

auto QuotaSimulation::handle(int index, int /*from*/, const wire::QuotaGrant& grant) -> void {
    auto& node = nodes_[std::size_t(index)];
    (void)node.account->take(grant, clock(node));
}

auto QuotaSimulation::handle(int index, int from, const wire::QuotaImage& image) -> void {
    auto& node = nodes_[std::size_t(index)];
    if (image.term < node.durableTerm && !settings_.broken.ignorePromise) return;
    if (!node.replica->take(image, clock(node))) return;
    auto reply = wire::QuotaImageReply();
    reply.term = image.term;
    reply.sequence = image.sequence;
    network_.send(index, from, reply, now_);
}

auto QuotaSimulation::handle(int index, int from, const wire::QuotaImageReply& reply) -> void {
    auto& granter = nodes_[std::size_t(index)].granter;
    if (!granter || !granter->ledger || reply.term != granter->term) return;
    auto& held = granter->held[from];
    held = std::max(held, reply.sequence);
    noteHeld(*granter);
}

auto QuotaSimulation::handle(int index, int from, const wire::QuotaImageRequest& request) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto answer = wire::QuotaImageAnswer();
    if (request.term < node.durableTerm) return;
    if (!node.replica->promise(request.term, node.tenants->bounds().window, answer, clock(node))) return;
    node.durableTerm = request.term;
    network_.send(index, from, answer, now_);
}

auto QuotaSimulation::handle(int index, int from, const wire::QuotaImageAnswer& answer) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = node.granter;
    if (!granter || granter->ledger || answer.term != granter->term) return;
    granter->promises[from] = {answer, clock(node)};
    if (isMajority(granter->promises.size()) && !granter->promisedAt) granter->promisedAt = now_;
    auto remembering = std::size_t(0);
    auto newest = &granter->promises.begin()->second;
    auto order = [](auto& promise) {
        return std::pair(promise->first.image.term, promise->first.image.sequence);
    };
    for (auto& [voter, promise] : granter->promises) {
        if (!promise.first.known) continue;
        remembering++;
        auto candidate = &promise;
        if (order(candidate) > order(newest) || !newest->first.known) newest = candidate;
    }
    if (!isMajority(remembering)) return;
    auto image = newest->first.image;
    activate(index, &image, newest->first.age + clock(node) - newest->second);
}

}  // namespace duneturn
