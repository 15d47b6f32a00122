#include "membership/state_publisher.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/compression.hpp"
#include "base/counters.hpp"
#include "membership/node_context.hpp"
#include "state/state_digest.hpp"

namespace duneturn {

namespace {

/// Steps of at most this size are always sent as steps: any complete state is longer.
constexpr std::size_t SHORT_STEPS_BYTES = 1024;

auto bodyBytes(const std::vector<wire::StateStep>& steps) -> std::size_t {
    auto bytes = std::size_t(0);
    for (auto& step : steps) bytes += step.body.size();
    return bytes;
}

}  // namespace

auto StatePublisher::recordEntry(const wire::Entry& entry) -> void {
    auto step = wire::StateStep();
    step.version = context_.state.version;
    step.kind = entry.kind;
    step.body = entry.body;
    history_.record(context_.state.epoch, step);
}

auto StatePublisher::recordSteps(const wire::StateChange& change) -> void {
    for (auto& step : change.steps) history_.record(change.epoch, step);
}

auto StatePublisher::push(const wire::NodeRecord& record) -> void {
    auto& sent = sent_[record.node];
    if (sent.boot != record.boot) sent = {record.boot, {}};
    send(record.peer, std::max(versionOf(record), sent.version), record.readsChanges);
    sent.version = versionOf(context_.state);
}

auto StatePublisher::answer(const wire::NodeRecord& record) -> void {
    if (versionOf(record) < versionOf(context_.state))
        send(record.peer, versionOf(record), record.readsChanges);
}

auto StatePublisher::answer(const std::string& address, const wire::ReplicatedStateRequest& request) -> void {
    auto held = StateVersion{request.epoch, request.version};
    if (held < versionOf(context_.state)) send(address, held, request.readsChanges);
}

auto StatePublisher::retainOnly(const std::vector<std::string>& nodes) -> void {
    std::erase_if(sent_,
        [&](auto& entry) { return std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end(); });
}

auto StatePublisher::send(const std::string& address, StateVersion held, bool readsChanges) -> void {
    auto sendsSteps = readsChanges && !context_.faults.wholeStatesOnly;
    auto change = sendsSteps ? changeSince(held) : std::nullopt;
    if (!change) return sendFullState(address, readsChanges);
    auto message = context_.envelope();
    message.__set_stateChange(*change);
    context_.port.send(address, message);
    context_.counters.add("state_changes_sent_total");
}

auto StatePublisher::changeSince(StateVersion held) -> std::optional<wire::StateChange> {
    auto steps = history_.since(held);
    if (!steps || steps->back().version != context_.state.version) return std::nullopt;
    auto bytes = bodyBytes(*steps);
    if (bytes > SHORT_STEPS_BYTES && bytes >= compressedDocument().size()) return std::nullopt;
    auto change = wire::StateChange();
    change.epoch = held.epoch;
    change.base = held.version;
    change.steps = std::move(*steps);
    change.digest = digest();
    return change;
}

auto StatePublisher::sendFullState(const std::string& address, bool readsCompressed) -> void {
    auto state = wire::ReplicatedState();
    state.epoch = context_.state.epoch;
    state.version = context_.state.version;
    if (readsCompressed) state.__set_compressed(compressedDocument());
    if (state.compressed.empty()) state.document = context_.state.text();
    auto message = context_.envelope();
    message.__set_replicatedState(state);
    context_.port.send(address, message);
    context_.counters.add("whole_states_sent_total");
}

auto StatePublisher::dropOutdatedCache() -> void {
    if (cachedVersion_ == versionOf(context_.state)) return;
    cachedVersion_ = versionOf(context_.state);
    compressedDocument_.clear();
    digest_.reset();
}

/// Returns an empty string if zlib fails.
auto StatePublisher::compressedDocument() -> const std::string& {
    dropOutdatedCache();
    if (compressedDocument_.empty())
        compressedDocument_ = deflateBytes(context_.state.text()).value_or(std::string());
    return compressedDocument_;
}

auto StatePublisher::digest() -> std::int64_t {
    dropOutdatedCache();
    if (!digest_) digest_ = std::int64_t(stateDigest(context_.state));
    return *digest_;
}

}  // namespace duneturn
