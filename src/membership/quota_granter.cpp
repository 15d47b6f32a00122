// QuotaGranter: how a leader becomes the granter, and how images of its ledger are replicated to the voters.
#include "membership/quota_service.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.hpp"

namespace duneturn {
namespace {

/// Between two requests to the voters for what predecessors granted.
constexpr Microseconds IMAGE_REQUEST_INTERVAL = 100 * MILLISECOND;
/// After a majority has promised: how long the granter waits for answers of voters that still know what their
/// predecessors granted.
constexpr Microseconds MEMORY_WAIT_TIMEOUT = 1 * SECOND;
/// In a quota term, the position of the epoch above the voters' term.
constexpr auto EPOCH_SHIFT = 32;

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
        auto emptyImage = wire::QuotaImage();  // no limit has ever been configured
        return activate(&emptyImage, 0);
    }
    if (!hasLimits_) return;
    if (!ledger_) return collectPromises();
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

// Repeats the request for images until a majority has promised to accept no predecessor any more.
auto QuotaGranter::collectPromises() -> void {
    auto now = context_.now;
    if (promisedAt_ && now - promisedAt_ >= MEMORY_WAIT_TIMEOUT) return activateWithoutImage();
    if (askedAt_ && now - askedAt_ < IMAGE_REQUEST_INTERVAL) return;
    askedAt_ = now;
    auto request = wire::QuotaImageRequest();
    request.term = term_;
    auto envelope = context_.envelope();
    envelope.__set_quotaImageRequest(request);
    sendToVoters(envelope);
    auto ownAnswer = wire::QuotaImageAnswer();
    if (replica().promise(term_, window(), ownAnswer, now))
        handleImageAnswer(ownAnswer, context_.members.own().node);
}

// Promises are kept in memory only. A request is therefore accepted only up to the voter's term, which is on
// its disk.
auto QuotaGranter::handleImageRequest(const wire::QuotaImageRequest& request, const std::string& from)
    -> void {
    if (!votes() || request.term > voterTerm()) return;
    auto answer = wire::QuotaImageAnswer();
    if (!replica().promise(request.term, window(), answer, context_.now)) return;
    auto envelope = context_.envelope();
    envelope.__set_quotaImageAnswer(answer);
    send_(from, envelope);
}

// A majority of voters that know what was granted intersects every majority that held a predecessor's image.
auto QuotaGranter::handleImageAnswer(const wire::QuotaImageAnswer& answer, const std::string& from) -> void {
    if (!term_ || ledger_ || answer.term != term_) return;
    promises_[diskOf(from)] = {answer, context_.now};
    auto promised = std::set<std::string>();
    auto withMemory = std::set<std::string>();
    auto newest = static_cast<const Promise*>(nullptr);
    auto position = [](const Promise& promise) {
        return std::pair(promise.answer.image.term, promise.answer.image.sequence);
    };
    for (auto& [disk, promise] : promises_) {
        promised.insert(disk);
        if (!promise.answer.known) continue;
        withMemory.insert(disk);
        if (!newest || position(promise) > position(*newest)) newest = &promise;
    }
    if (!promisedAt_ && isMajority(promised)) promisedAt_ = context_.now;
    if (!newest || !isMajority(withMemory)) {
        if (haveAllPromised()) activateWithoutImage();
        return;
    }
    activate(&newest->answer.image, newest->answer.age + context_.now - newest->receivedAt);
}

// Every image that a majority held was acknowledged by at least one of the voters that promised, either
// before that voter started or before it received the image that it holds now. What predecessors granted is
// therefore at least as old as the youngest of these events.
auto QuotaGranter::activateWithoutImage() -> void {
    auto age = std::numeric_limits<Microseconds>::max();
    for (auto& [disk, promise] : promises_)
        age = std::min(age, promise.answer.age + context_.now - promise.receivedAt);
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

// Informs all nodes who the granter is, so that they report the tokens that they hold.
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
    confirmHeldImages();
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
    confirmHeldImages();
}

// Removes the images that a majority holds, or for which it holds newer ones, and confirms them to the
// ledger.
auto QuotaGranter::confirmHeldImages() -> void {
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

// Voters are identified by disk: the node name in a voter's identity stays the same when the disk of another
// node replaces it.
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

// A disk that has only become a voter was sent no images before, so its memory begins now.
auto QuotaGranter::replica() -> QuotaReplica& {
    if (!replica_) replica_.emplace(context_.now);
    return *replica_;
}

}  // namespace duneturn
