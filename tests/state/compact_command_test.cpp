// Commands in the compact form: what they make of a state is what the whole configuration makes of it.
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include <fmt/format.h>

#include "base/json.hpp"
#include "base/random.hpp"
#include "large_configuration.hpp"
#include "state/command_codec.hpp"
#include "state/command_request.hpp"
#include "state/replicated_state.hpp"
#include "state/state_digest.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

auto founded() -> ReplicatedState {
    auto state = ReplicatedState();
    state.bootstrap({}, {{"n1", "d1"}});
    return state;
}

/// The command of an operator's request to replace the configuration.
auto replacement(const ReplicatedState& state, const std::string& key, const std::string& configuration)
    -> LoggedCommand {
    auto command =
        prepareCommand(state, "config", key, replaceRequest(state.configVersion(), configuration), 0);
    if (!command) fmt::print("{}\n", command.error().body);
    CHECK(bool(command));
    return *command;
}

/// An entry as the log would hold it, of this text.
auto changeEntry(std::int64_t base, const std::string& change) -> std::string {
    return fmt::format(R"({{"key":"k","op":"change","base":{},"change":{}}})", base, change);
}

}  // namespace

TEST(CompactCommand, oneRouteOfTwoThousandIsShort) {
    auto state = founded();
    auto whole = encodeCompact(state, replacement(state, "a", largeConfiguration(2000, 2, 1)));
    CHECK(whole.form == EntryForm::Compact);
    CHECK_EQ(200, state.apply(whole.body).status);
    // The first document travels once, compressed.
    CHECK(whole.body.size() * 5 < state.text().size());
    auto change = encodeCompact(state, replacement(state, "b", largeConfiguration(2000, 3, 2)));
    CHECK(change.form == EntryForm::Compact);
    CHECK(change.body.size() < 1000);
    CHECK(std::holds_alternative<ChangeConfiguration>(decodeCommand(change.body)->command));
    CHECK_EQ(200, state.apply(change.body).status);
    CHECK_EQ(std::int64_t(2), state.configVersion());
    CHECK_EQ(std::string(R"({"Number":2,)"), jsonString(state.config()["origin"], "text").substr(0, 12));
}

// Whatever the form, the state's text and its digest are the same.
TEST(CompactCommand, sameStateAsTheWholeConfiguration) {
    auto random = RandomSource{7};
    auto byChange = founded(), byDocument = founded();
    auto changes = 0;
    for (auto number = 1; number < 60; number++) {
        auto configuration = largeConfiguration(1 + int(random.below(60)), 1 + int(random.below(5)), number);
        auto command = replacement(byDocument, fmt::format("k{}", number), configuration);
        auto entry = encodeCompact(byChange, command);
        changes += entry.form == EntryForm::Compact;
        auto outcome = byDocument.apply(encodeCommand(command));
        CHECK_EQ(outcome.body, byChange.apply(entry.body).body);
        CHECK_EQ(byDocument.text(), byChange.text());
        CHECK_EQ(stateDigest(byDocument), stateDigest(byChange));
    }
    CHECK(changes > 50);
}

TEST(CompactCommand, shortCommandsStayReadableByEarlierVersions) {
    auto state = founded();
    auto evacuation = prepareCommand(state, "empty", "e", R"({"district":"z"})", 5);
    auto entry = encodeCompact(state, *evacuation);
    CHECK(entry.form == EntryForm::Document);
    CHECK_EQ(encodeCommand(*evacuation), entry.body);
}

// A configuration that does not rest on the newest one loses, as a whole one does.
TEST(CompactCommand, anOlderBaseIsRefused) {
    auto state = founded();
    auto late = encodeCompact(state, replacement(state, "late", largeConfiguration(400, 2, 1)));
    CHECK_EQ(200,
        state.apply(encodeCompact(state, replacement(state, "a", largeConfiguration(3, 2, 1))).body).status);
    auto digest = stateDigest(state);
    CHECK_EQ(409, state.apply(late.body).status);
    CHECK_EQ(digest, stateDigest(state));
}

// A change that cannot be applied is refused alike everywhere and leaves the configuration as it was.
TEST(CompactCommand, misfitIsRefused) {
    auto state = founded();
    CHECK_EQ(200,
        state.apply(encodeCompact(state, replacement(state, "a", largeConfiguration(5, 2, 1))).body).status);
    auto digest = stateDigest(state);
    for (auto change : {R"({"origin":{"number":2,"text":[[0,100000]]}})", R"({"colour":{}})",
             R"({"mappings":{"put":[{"path":"/nameless"}]}})", R"({"set":{"mappings":[]}})"}) {
        auto other = state;
        auto entry = changeEntry(1, change);
        auto outcome = state.apply(entry);
        CHECK_EQ(422, outcome.status);
        CHECK_EQ(outcome.body, other.apply(entry).body);
        CHECK_EQ(digest, stateDigest(state));
    }
    CHECK_EQ(422, state.apply(R"({"key":"n","op":"change","base":1,"change":7})").status);
    CHECK_EQ(digest, stateDigest(state));
}

TEST(CompactCommand, cutOrAlteredBytesAreNoCommand) {
    auto state = founded();
    auto entry = encodeCompact(state, replacement(state, "a", largeConfiguration(400, 2, 1)));
    CHECK(entry.form == EntryForm::Compact);
    CHECK(bool(decodeCommand(entry.body)));
    for (auto length = std::size_t(0); length < entry.body.size(); length += 7)
        CHECK(!decodeCommand(entry.body.substr(0, length)));
    auto digest = stateDigest(state);
    CHECK_EQ(422, state.apply(entry.body.substr(0, 100)).status);
    CHECK_EQ(digest, stateDigest(state));
}

// Two states that differ in one thing that operators order have different digests.
TEST(StateDigest, seesWhatDiffers) {
    auto state = founded();
    auto digest = stateDigest(state);
    auto evacuated = state;
    CHECK_EQ(200, evacuated.apply(*orderPrepare(state, "empty", "k", R"({"district":"z"})", 5)).status);
    auto configured = state;
    CHECK_EQ(
        200, configured.apply(encodeCommand(replacement(state, "a", largeConfiguration(1, 2, 1)))).status);
    auto otherTries = state;
    CHECK_EQ(
        200, otherTries.apply(encodeCommand(replacement(state, "a", largeConfiguration(1, 3, 1)))).status);
    auto voters = state;
    voters.applyVoters({{"n1", "d2"}});
    CHECK(stateDigest(evacuated) != digest);
    CHECK(stateDigest(configured) != digest);
    CHECK(stateDigest(configured) != stateDigest(otherTries));
    CHECK(stateDigest(voters) != stateDigest(evacuated));
    // Refusals do not raise the version, and are left out.
    auto refused = configured;
    CHECK_EQ(409, refused.apply(encodeCommand({"r", 0, ReplaceConfiguration{state.configuration()}})).status);
    CHECK_EQ(stateDigest(configured), stateDigest(refused));
}

}  // namespace duneturn
