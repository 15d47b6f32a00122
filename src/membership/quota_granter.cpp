// QuotaGranter: how a leader becomes the granter, and its ledger's images on the other voters.
#include "membership/quota_service.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.hpp"

namespace duneturn {
namespace {

constexpr Microseconds ASK_INTERVAL = 100 * MILLISECOND;  // between two questions to the other voters
/// How long the voters that have forgotten may keep the granter waiting for those that remember.
constexpr Microseconds REMEMBER_TIMEOUT = 1 * SECOND;
constexpr auto EPOCH_SHIFT = 32;  // of the epoch above the voters' term

}  // namespace

auto QuotaGranter::leaderTerm() const -> std::int64_t {
    return context_.voter && context_.voter->ready() ? voterTerm() : 0;
}

auto QuotaGranter::voterTerm() const -> std::int64_t {
    return (context_.voter->epoch() << EPOCH_SHIFT) + context_.voter->term();
}

auto QuotaGranter::setTenants(const TenantTable& tenants) -> void {
    auto& all = tenants.all();
    hasLimits_ = hasLimits_
        || std::any_of(all.begin(), all.end(), [](auto& entry) { return entry.second.isLimited(); });
    if (ledger_) ledger_->setTenants(tenants, context_.now);
}

auto QuotaGranter::tick() -> void {
    if (votes()) replica();
    else replica_.reset();
    auto term = leaderTerm();
    if (term != term_) beginTerm(term);
    if (!term_) return;
    if (!ledger_ && !context_.state.configVersion()) {
        auto nothing = wire::QuotaImage();  // there was never a limit
        return activate(&nothing, 0);
    }
    if (!hasLimits_) return;
    if (!ledger_) return collect();
    ledger_->tick(context_.now);
    if (ledger_->imageDue(context_.now)) sendImage();
}

auto QuotaGranter::beginTerm(std::int64_t term) -> void {
    if (ledger_) logEvent("quota_granter_ended", "term={}", term_);
    term_ = term;
    ledger_.reset();
    askedAt_ = promisedAt_ = 0;
    promises_.clear();
    heldSequences_.clear();
    sentImages_.clear();
}

// ---- succession

// Asks for what predecessors granted, until a majority has promised to follow none of them any more.
auto QuotaGranter::collect() -> void {
    auto now = context_.now;
    if (promisedAt_ && now - promisedAt_ >= REMEMBER_TIMEOUT) return activateWithoutMemory();
    if (askedAt_ && now - askedAt_ < ASK_INTERVAL) return;
    askedAt_ = now;
    auto request = wire::QuotaImageRequest();
    request.term = term_;
    auto envelope = context_.envelope();
    envelope.__set_quotaImageRequest(request);
    sendToVoters(envelope);
    auto own = wire::QuotaImageAnswer();
    if (replica().promise(term_, window(), own, now)) handleImageAnswer(own, context_.members.own().node);
}

// A promise is only in memory; the voter's term, which a request may not run ahead of, is on its disk.
auto QuotaGranter::handleImageRequest(const wire::QuotaImageRequest& request, const std::string& from)
    -> void {
    if (!votes() || request.term > voterTerm()) return;
    auto answer = wire::QuotaImageAnswer();
    if (!replica().promise(request.term, window(), answer, context_.now)) return;
    auto envelope = context_.envelope();
    envelope.__set_quotaImageAnswer(answer);
    send_(from, envelope);
}

// A majority of those that remember has one in common with any majority that held a predecessor's image.
auto QuotaGranter::handleImageAnswer(const wire::QuotaImageAnswer& answer, const std::string& from) -> void {
    if (!term_ || ledger_ || answer.term != term_) return;
    promises_[diskOf(from)] = {answer, context_.now};
    auto promised = std::set<std::string>();
    auto remembering = std::set<std::string>();
    auto newest = static_cast<const Promise*>(nullptr);
    auto order = [](const Promise& promise) {
        return std::pair(promise.answer.image.term, promise.answer.image.sequence);
    };
    for (auto& [disk, promise] : promises_) {
        promised.insert(disk);
        if (!promise.answer.known) continue;
        remembering.insert(disk);
        if (!newest || order(promise) > order(*newest)) newest = &promise;
    }
    if (!promisedAt_ && isMajority(promised)) promisedAt_ = context_.now;
    if (!newest || !isMajority(remembering)) {
        if (haveAllPromised()) activateWithoutMemory();
        return;
    }
    activate(&newest->answer.image, newest->answer.age + context_.now - newest->at);
}

// Any image that a majority held was acknowledged by one of the voters that promised: before that one's
// start, or before it received the image that it has.
auto QuotaGranter::activateWithoutMemory() -> void {
    auto age = std::numeric_limits<Microseconds>::max();
    for (auto& [disk, promise] : promises_)
        age = std::min(age, promise.answer.age + context_.now - promise.at);
    activate(nullptr, age);
}

auto QuotaGranter::activate(const wire::QuotaImage* predecessors, Microseconds age) -> void {
    ledger_.emplace(term_, predecessors, age, context_.counters, context_.now);
    ledger_->setTenants(context_.state.configuration()->tenants(), context_.now);
    if (!hasLimits_) return;
    logEvent("quota_granter_began", "term={} remembered={}", term_, predecessors != nullptr);
    context_.counters.add("quota_terms_total");
    sendImage();
    announce();
}

// All nodes learn who grants now, and bring along what they hold.
auto QuotaGranter::announce() -> void {
    auto grant = wire::QuotaGrant();
    grant.term = term_;
    grant.granter = context_.members.own().node;
    for (auto& node : context_.members.aliveNodes(context_.now)) {
        grant.node = node;
        auto envelope = context_.envelope();
        envelope.__set_quotaGrant(grant);
        send_(node, envelope);
    }
}

// ---- images

auto QuotaGranter::sendImage() -> void {
    auto image = ledger_->image(context_.now);
    sentImages_.push_back({image.sequence, context_.now});
    if (!replica().take(image, context_.now)) return;
    heldSequences_[context_.voter->disk()] = image.sequence;
    auto envelope = context_.envelope();
    envelope.__set_quotaImage(image);
    sendToVoters(envelope);
    noteHeld();
}

auto QuotaGranter::handleImage(const wire::QuotaImage& image, const std::string& from) -> void {
    if (!votes() || image.term < voterTerm() || !replica().take(image, context_.now)) return;
    auto reply = wire::QuotaImageReply();
    reply.term = image.term;
    reply.sequence = image.sequence;
    auto envelope = context_.envelope();
    envelope.__set_quotaImageReply(reply);
    send_(from, envelope);
}

auto QuotaGranter::handleImageReply(const wire::QuotaImageReply& reply, const std::string& from) -> void {
    if (!ledger_ || reply.term != term_) return;
    auto& held = heldSequences_[diskOf(from)];
    held = std::max(held, reply.sequence);
    noteHeld();
}

// The newest image that a majority holds, or a newer one in its place.
auto QuotaGranter::noteHeld() -> void {
    while (!sentImages_.empty()) {
        auto oldest = sentImages_.front();
        auto holders = std::set<std::string>();
        for (auto& [disk, sequence] : heldSequences_)
            if (sequence >= oldest.sequence) holders.insert(disk);
        if (!isMajority(holders)) return;
        ledger_->confirmImage(oldest.sequence, oldest.sentAt);
        sentImages_.erase(sentImages_.begin());
    }
}

// ---- reports

auto QuotaGranter::handleReport(const wire::QuotaReport& report, const std::string& from) -> void {
    if (!ledger_ || !ledger_->hasGranterLease(context_.now)) return;
    auto grant = ledger_->take(report.node, report, context_.now);
    grant.granter = context_.members.own().node;
    auto envelope = context_.envelope();
    envelope.__set_quotaGrant(grant);
    send_(from, envelope);
    if (ledger_->imageDue(context_.now)) sendImage();
}

// ---- voters

auto QuotaGranter::voters() const -> VoterConfiguration {
    auto& voter = *context_.voter;
    if (!voter.joint()) return VoterConfiguration(voter.voters());
    return VoterConfiguration::joint(voter.outgoingVoters(), voter.voters());
}

auto QuotaGranter::votes() const -> bool {
    auto& voter = context_.voter;
    return voter && !voter->blank() && voters().isVoter(voter->disk());
}

// A voter's name is that of its place, which may pass to another node's disk.
auto QuotaGranter::diskOf(const std::string& node) const -> std::string {
    if (node == context_.members.own().node) return context_.voter->disk();
    auto record = context_.members.find(node);
    return record ? record->disk : "";
}

auto QuotaGranter::isMajority(const std::set<std::string>& disks) const -> bool {
    return voters().hasMajority([&](auto& disk) { return disks.count(disk) > 0; }, {});
}

auto QuotaGranter::haveAllPromised() const -> bool {
    auto disks = voters().disks();
    return std::all_of(disks.begin(), disks.end(), [&](auto& disk) { return promises_.count(disk) > 0; });
}

auto QuotaGranter::sendToVoters(const wire::Envelope& envelope) -> void {
    for (auto& disk : voters().disks())
        if (auto known = context_.members.withDisk(disk)) send_(known->record.node, envelope);
}

auto QuotaGranter::window() const -> Microseconds {
    return context_.state.configuration()->tenants().bounds().window;
}

// A disk that has not voted before was sent no images, and remembers nothing of that time.
auto QuotaGranter::replica() -> QuotaReplica& {
    if (!replica_) replica_.emplace(context_.now);
    return *replica_;
}

}  // namespace duneturn
