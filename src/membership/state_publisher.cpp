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

/// Steps of so few bytes are shorter than any whole state.
constexpr std::size_t SHORT_STEPS_BYTES = 1024;

auto bodyBytes(const std::vector<wire::StateStep>& steps) -> std::size_t {
    auto bytes = std::size_t(0);
    for (auto& step : steps) bytes += step.body.size();
    return bytes;
}

}  // namespace

auto StatePublisher::noteEntry(const wire::Entry& entry) -> void {
    auto step = wire::StateStep();
    step.version = context_.state.version;
    step.kind = entry.kind;
    step.body = entry.body;
    history_.record(context_.state.epoch, step);
}

auto StatePublisher::noteSteps(const wire::StateChange& change) -> void {
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

auto StatePublisher::keepOnly(const std::vector<std::string>& nodes) -> void {
    std::erase_if(sent_,
        [&](auto& entry) { return std::find(nodes.begin(), nodes.end(), entry.first) == nodes.end(); });
}

auto StatePublisher::send(const std::string& address, StateVersion held, bool readsChanges) -> void {
    auto mayChange = readsChanges && !context_.faults.wholeStatesOnly;
    auto change = mayChange ? changeSince(held) : std::nullopt;
    if (!change) return sendWhole(address, readsChanges);
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

auto StatePublisher::sendWhole(const std::string& address, bool readsCompressed) -> void {
    auto whole = wire::ReplicatedState();
    whole.epoch = context_.state.epoch;
    whole.version = context_.state.version;
    if (readsCompressed) whole.__set_compressed(compressedDocument());
    if (whole.compressed.empty()) whole.document = context_.state.text();
    auto message = context_.envelope();
    message.__set_replicatedState(whole);
    context_.port.send(address, message);
    context_.counters.add("whole_states_sent_total");
}

auto StatePublisher::followState() -> void {
    if (workedOutFor_ == versionOf(context_.state)) return;
    workedOutFor_ = versionOf(context_.state);
    compressedDocument_.clear();
    digest_.reset();
}

/// Empty if zlib fails.
auto StatePublisher::compressedDocument() -> const std::string& {
    followState();
    if (compressedDocument_.empty())
        compressedDocument_ = deflateBytes(context_.state.text()).value_or(std::string());
    return compressedDocument_;
}

auto StatePublisher::digest() -> std::int64_t {
    followState();
    if (!digest_) digest_ = std::int64_t(stateDigest(context_.state));
    return *digest_;
}

}  // namespace duneturn
