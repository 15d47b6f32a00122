// The part of QuotaSimulation that simulates granters, voters and the faults of nodes.
#include <algorithm>
#include <utility>

#include "quota/quota_simulation.hpp"
#include "quota/thread_cpu_timer.hpp"

namespace duneturn {
namespace {

constexpr Microseconds ASK_INTERVAL = 100 * MILLISECOND;
/// How long a new granter waits, after a majority has promised to follow it, for a majority that knows all
/// recent images. Then it starts without an image.
constexpr Microseconds IMAGE_WAIT_TIMEOUT = 1 * SECOND;

}  // namespace

// ---- faults

auto QuotaSimulation::restart(int node) -> void {
    auto& restarted = nodes_[std::size_t(node)];
    restarted.frozenUntil = 0;
    start(restarted);
}

auto QuotaSimulation::freeze(int node, Microseconds until) -> void {
    auto& frozenUntil = nodes_[std::size_t(node)].frozenUntil;
    frozenUntil = std::max(frozenUntil, until);
}

auto QuotaSimulation::isolate(int node, Microseconds until) -> void {
    for (auto i = 0; i < settings_.nodes; i++)
        if (i != node) network_.partition(node, i, until);
}

auto QuotaSimulation::elect(int voter, Microseconds predecessorLearnsAt) -> void {
    auto isReachable = [&](int other) {
        return !network_.isPartitioned(voter, other, now_) && nodes_[std::size_t(other)].frozenUntil <= now_;
    };
    auto votes = std::size_t(0);
    for (auto i = 0; i < settings_.voters; i++)
        if (isReachable(i)) votes++;
    if (!isMajority(votes) || nodes_[std::size_t(voter)].frozenUntil > now_) return;
    term_++;
    for (auto i = 0; i < settings_.voters; i++)
        if (isReachable(i)) nodes_[std::size_t(i)].durableTerm = term_;
    for (auto& node : nodes_)
        if (node.granter) node.granter->learnsOfSuccessorAt = predecessorLearnsAt;
    leader_ = voter;
    auto& granter = nodes_[std::size_t(voter)].granter;
    granter = std::make_unique<Granter>();
    granter->term = term_;
}

// ---- granters

auto QuotaSimulation::tickGranter(int index) -> void {
    auto& node = nodes_[std::size_t(index)];
    auto& granter = *node.granter;
    auto knowsSuccessor = granter.learnsOfSuccessorAt && now_ >= granter.learnsOfSuccessorAt;
    if (knowsSuccessor && granter.term < term_) return node.granter.reset();
    if (!granter.ledger) return collectImages(index);
    auto timer = ThreadCpuTimer(measuresCpuTime ? &ledgerMicroseconds : nullptr);
    granter.ledger->tick(clock(node));
    if (granter.ledger->imageDue(clock(node))) sendImage(index);
}

// Asks the voters for the images of earlier terms until a majority that knows them has answered.
auto QuotaSimulation::collectImages(int index) -> void {
    auto& granter = *nodes_[std::size_t(index)].granter;
    if (granter.majorityPromisedAt && now_ - granter.majorityPromisedAt >= IMAGE_WAIT_TIMEOUT)
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
    auto emptyImage = wire::QuotaImage();
    if (settings_.faults.ignorePredecessors) predecessors = &emptyImage;
    granter.ledger.emplace(granter.term, predecessors, age, counters_, clock(node));
    granter.ledger->faults = settings_.faults;
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
    granter.pendingImages.emplace_back(image.sequence, clock(node));
    for (auto i = 0; i < settings_.voters; i++) network_.send(index, i, image, now_);
}

auto QuotaSimulation::confirmAcknowledgedImages(Granter& granter) -> void {
    while (!granter.pendingImages.empty()) {
        auto [sequence, sentAt] = granter.pendingImages.front();
        auto acknowledgements =
            std::count_if(granter.acknowledgedSequences.begin(), granter.acknowledgedSequences.end(),
                [sequence = sequence](auto& entry) { return entry.second >= sequence; });
        if (!isMajority(std::size_t(acknowledgements))) return;
        granter.ledger->confirmImage(sequence, sentAt);
        granter.pendingImages.pop_front();
    }
}

// ---- messages

auto QuotaSimulation::handle(int index, int from, const wire::QuotaReport& report) -> void {
    auto& node = nodes_[std::size_t(index)];
    if (!node.granter || !node.granter->ledger) return;
    auto& ledger = *node.granter->ledger;
    if (!ledger.hasGranterLease(clock(node)) && !settings_.faults.answerWithoutLease) return;
    auto timer = ThreadCpuTimer(measuresCpuTime ? &ledgerMicroseconds : nullptr);
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
    if (image.term < node.durableTerm && !settings_.faults.ignorePromise) return;
    if (!node.replica->take(image, clock(node))) return;
    auto reply = wire::QuotaImageReply();
    reply.term = image.term;
    reply.sequence = image.sequence;
    network_.send(index, from, reply, now_);
}

auto QuotaSimulation::handle(int index, int from, const wire::QuotaImageReply& reply) -> void {
    auto& granter = nodes_[std::size_t(index)].granter;
    if (!granter || !granter->ledger || reply.term != granter->term) return;
    auto& acknowledged = granter->acknowledgedSequences[from];
    acknowledged = std::max(acknowledged, reply.sequence);
    confirmAcknowledgedImages(*granter);
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
    if (isMajority(granter->promises.size()) && !granter->majorityPromisedAt)
        granter->majorityPromisedAt = now_;
    auto knowingVoters = std::size_t(0);
    auto newest = &granter->promises.begin()->second;
    auto imageOrder = [](auto& promise) {
        return std::pair(promise->first.image.term, promise->first.image.sequence);
    };
    for (auto& [voter, promise] : granter->promises) {
        if (!promise.first.known) continue;
        knowingVoters++;
        auto candidate = &promise;
        if (imageOrder(candidate) > imageOrder(newest) || !newest->first.known) newest = candidate;
    }
    if (!isMajority(knowingVoters)) return;
    auto image = newest->first.image;
    activate(index, &image, newest->first.age + clock(node) - newest->second);
}

}  // namespace duneturn
