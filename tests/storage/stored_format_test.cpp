// What is stored and sent stays as it was: the bytes in tests/pinned were written by the build of
// commit 90903c3. They are read with the same values, and written again byte for byte.
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>
#include <zlib.h>

#include <fmt/format.h>

#include "base/file.hpp"
#include "base/json.hpp"
#include "base/log.hpp"
#include "base/time.hpp"
#include "consensus/consensus_fixture.hpp"
#include "net/envelope_compression.hpp"
#include "pinned_files.hpp"
#include "state/state_query.hpp"
#include "storage/storage_fixture.hpp"
#include "storage/store.hpp"

namespace duneturn {
namespace {

constexpr auto MAP_BYTES = std::size_t(1) << 20;

using Records = std::vector<std::pair<std::string, std::string>>;  // key, sealed value

/// Whether `bytes` are a struct of these values, as this program reads and writes it.
template <class T>
auto matches(std::string_view bytes, const std::string& values) -> bool {
    auto record = T();
    if (!unpackRecord(bytes, record)) return false;
    return valuesText(record) == values && packRecord(record) == bytes;
}

/// As `matches`, from the values to the bytes too; shows what was found instead.
template <class T>
auto checkPinned(const std::string& bytes, const std::string& values) -> void {
    auto record = T();
    CPPUNIT_ASSERT_MESSAGE(values, unpackRecord(bytes, record));
    CHECK_EQ(values, valuesText(record));
    CHECK_EQ(toHex(bytes), toHex(packRecord(record)));
    CHECK_EQ(toHex(bytes), toHex(packRecord(valuesRead<T>(values))));
}

auto pinnedRecords() -> Records {
    auto records = Records();
    for (auto& line : readPinned("store.txt", 2)) records.emplace_back(fromHex(line[0]), fromHex(line[1]));
    return records;
}

auto recordsText(const Records& records) -> std::string {
    auto text = std::string();
    for (auto& [key, sealed] : records) text += toHex(key) + "\t" + toHex(sealed) + "\n";
    return text;
}

/// The records of the store under `directory`, past Store.
auto dumpStore(const std::string& directory) -> Records {
    auto records = Records();
    auto environment = Environment::open(directory + STORE_FILE, MAP_BYTES, Environment::Sync::ByCaller);
    CHECK(bool(environment));
    auto error = (*environment)->forEach([&](std::string_view key, std::string_view sealed) {
        records.emplace_back(key, sealed);
        return true;
    });
    CHECK_EQ(0, error);
    return records;
}

/// Makes a store of these records under `directory`, past Store.
auto makeStore(const std::string& directory, const Records& records) -> void {
    std::filesystem::remove(directory + STORE_FILE);
    auto environment = Environment::open(directory + STORE_FILE, MAP_BYTES, Environment::Sync::ByCaller);
    CHECK(bool(environment));
    auto error = (*environment)->change([&](Transaction& transaction) {
        for (auto& [key, sealed] : records) transaction.put(key, sealed);
    });
    CHECK_EQ(0, error);
}

auto copyPinnedStore(const std::string& directory) -> void {
    std::filesystem::copy_file(pinnedPath("store.mdb"), directory + STORE_FILE);
}

/// The damaged store that was set aside under `directory`; empty if there is not exactly one.
auto asideBytes(const std::string& directory) -> std::string {
    auto found = std::vector<std::string>();
    for (auto& file : std::filesystem::directory_iterator(directory))
        if (file.path().string().find(std::string(STORE_FILE) + ".bad-") != std::string::npos)
            found.push_back(file.path().string());
    return found.size() == 1 ? *readFile(found[0]) : std::string();
}

/// The record that a store of these records is refused for, as recordName names it; empty if it is not
/// refused. A refused store is renamed as it is, and nothing of it is taken.
auto refusedRecord(const Records& records) -> std::string {
    auto directory = TemporaryDirectory();
    makeStore(directory.path, records);
    auto before = *readFile(directory.path + STORE_FILE);
    auto store = Store();
    muteLog(true);
    auto state = store.open(directory.path);
    muteLog(false);
    if (!state || !store.setAside()) return "";
    CHECK(sameState(*state, DiskState()));
    CHECK(asideBytes(directory.path) == before);
    return store.damage()->record;
}

/// The state that the pinned orders begin with.
auto foundedState() -> ReplicatedState {
    auto state = ReplicatedState();
    state.bootstrap(
        {"node-1", "node-2", "node-3"}, {{"node-1", "disk-1"}, {"node-2", "disk-2"}, {"node-3", "disk-3"}});
    return state;
}

/// Performs the pinned orders and compares each outcome.
auto performOrders(ReplicatedState& state) -> void {
    for (auto& line : readPinned("orders.txt", 7)) {
        auto operation = fromHex(line[0]), key = fromHex(line[1]), request = fromHex(line[3]);
        auto order = orderPrepare(state, operation, key, request, std::stoll(line[2]));
        auto outcome = order ? state.apply(*order) : Outcome{order.error().status, order.error().body};
        CHECK_EQ(line[4], toHex(order ? *order : std::string()));
        CHECK_EQ(line[5], fmt::to_string(outcome.status));
        CHECK_EQ(line[6], toHex(outcome.body));
    }
}

auto pinnedState() -> std::string { return fromHex(readPinned("state.txt", 1)[0][0]); }

/// The bodies of the entries of a kind in the log of `disk`, each once.
auto bodiesOf(ConsensusFixture& cluster, const std::string& disk, std::int32_t kind)
    -> std::set<std::string> {
    auto bodies = std::set<std::string>();
    for (auto& entry : cluster.members.at(disk)->held.log)
        if (entry.kind == kind) bodies.insert(entry.body);
    return bodies;
}

}  // namespace

// ---- what processes send

TEST(StoredFormat, envelopes) {
    for (auto& line : readPinned("envelopes.txt", 2)) checkPinned<wire::Envelope>(fromHex(line[1]), line[0]);
}

// The pinned envelopes hold every content that the definitions know, by its field's number.
TEST(StoredFormat, everyKindOfEnvelope) {
    auto pinned = std::set<int>();
    for (auto& line : readPinned("envelopes.txt", 2)) {
        auto values = rapidjson::Document();
        CHECK(parseJson(line[0], values) && values.IsObject());
        for (auto& field : values.GetObject()) pinned.insert(std::stoi(field.name.GetString()));
    }
    auto known = std::set<int>();
    for (auto field = 5; field < 64; field++) {
        // Only a known field is written again after it was read; contents are empty structs or bytes.
        for (auto content : {R"({"rec":{}})", R"({"str":"AA=="})"}) {
            auto values = fmt::format(R"({{"{}":{}}})", field, content);
            try {
                auto written = valuesText(valuesRead<wire::Envelope>(values));
                if (written.find(fmt::format("\"{}\":", field) + std::string(content).substr(0, 6))
                    != std::string::npos)
                    known.insert(field);
            } catch (const std::exception&) {
                continue;
            }
        }
    }
    CHECK(known.size() >= 15);
    known.insert({1, 2, 3, 4});  // the fields of every envelope
    CHECK(known == pinned);
}

TEST(StoredFormat, compressedEnvelopes) {
    for (auto& line : readPinned("compressed.txt", 3)) {
        auto bytes = fromHex(line[2]);
        auto envelope = wire::Envelope();
        CHECK(unpackRecord(bytes, envelope));
        auto content = decompressEnvelope(envelope);
        CHECK(bool(content));
        CHECK_EQ(line[1], valuesText(*content));
        auto compressor = EnvelopeCompressor();
        auto again = compressor(*content);
        CHECK(bool(again));
        CHECK(decompressEnvelope(*again) == content);
        // Another release of zlib may compress the same bytes otherwise.
        if (std::string(zlibVersion()) == line[0]) CHECK_EQ(toHex(bytes), toHex(packRecord(*again)));
    }
}

TEST(StoredFormat, alteredEnvelopesAreSeen) {
    for (auto& line : readPinned("envelopes.txt", 2)) {
        auto bytes = fromHex(line[1]);
        CHECK(matches<wire::Envelope>(bytes, line[0]));
        for (auto i = std::size_t(0); i < bytes.size(); i++) {
            auto altered = bytes;
            altered[i] ^= 1;
            CHECK(!matches<wire::Envelope>(altered, line[0]));
            auto envelope = wire::Envelope();
            CHECK(!unpackRecord(std::string_view(bytes).substr(0, i), envelope));
        }
    }
}

// ---- the replicated state

TEST(StoredFormat, ordersMakeTheState) {
    auto state = foundedState();
    performOrders(state);
    CHECK_EQ(toHex(pinnedState()), toHex(state.text()));
}

TEST(StoredFormat, stateIsReadAndWritten) {
    auto state = ReplicatedState();
    CHECK(state.load(pinnedState()));
    CHECK_EQ(toHex(pinnedState()), toHex(state.text()));
    for (auto& line : readPinned("queries.txt", 2)) {
        auto query = StateQuery::parse(fromHex(line[0]));
        CHECK_EQ(line[0], toHex(query.text()));
        CHECK_EQ(line[1], toHex(query.answer(state)));
    }
}

TEST(StoredFormat, earlierStatesAreRead) {
    for (auto& line : readPinned("earlier-states.txt", 2)) {
        auto state = ReplicatedState();
        CHECK(state.load(fromHex(line[0])));
        CHECK_EQ(line[1], toHex(state.text()));
    }
}

TEST(StoredFormat, cutStateIsRefused) {
    auto text = pinnedState();
    auto state = foundedState();
    auto before = state.text();
    for (auto length = std::size_t(0); length < text.size(); length++)
        CHECK(!state.load(text.substr(0, length)));
    CHECK_EQ(before, state.text());
    // One character of a state is enough for another text.
    auto altered = text;
    auto at = altered.find("disk-2");
    CHECK(at != std::string::npos);
    altered[at] = 'D';
    CHECK(state.load(altered));
    CHECK(state.text() != text);
}

// ---- the store

TEST(StoredFormat, storeIsRead) {
    auto directory = TemporaryDirectory();
    copyPinnedStore(directory.path);
    auto state = openSound(directory.path);
    CHECK_EQ(std::string("disk-1"), state.disk);
    CHECK_EQ(std::int64_t(3), state.epoch);
    CHECK_EQ(std::int64_t(9), state.term);
    CHECK_EQ(std::string("disk-2"), state.vote);
    CHECK_EQ(std::int64_t(6), state.commit);
    CHECK_EQ(std::int64_t(4), state.snapshotIndex);
    CHECK_EQ(std::int64_t(8), state.snapshotTerm);
    CHECK_EQ(toHex(pinnedState()), toHex(state.snapshotDocument));
    auto entries = readPinned("entries.txt", 2);
    CHECK_EQ(entries.size(), state.log.size());
    for (auto i = std::size_t(0); i < entries.size(); i++) {
        checkPinned<wire::Entry>(fromHex(entries[i][1]), fromHex(entries[i][0]));
        CHECK_EQ(fromHex(entries[i][0]), valuesText(state.log[i]));
        CHECK(isReadableEntry(state.log[i]));
    }
    CHECK_EQ(recordsText(pinnedRecords()), recordsText(dumpStore(directory.path)));
}

TEST(StoredFormat, storeIsWritten) {
    auto source = TemporaryDirectory(), target = TemporaryDirectory();
    copyPinnedStore(source.path);
    auto write = DiskWrite();
    write.meta = openSound(source.path);
    write.entries = write.meta.log;
    write.hasSnapshot = true;
    write.document = write.meta.snapshotDocument;
    {
        auto store = Store();
        CHECK(bool(store.open(target.path)));
        CHECK(bool(store.write(write)));
    }
    CHECK_EQ(recordsText(pinnedRecords()), recordsText(dumpStore(target.path)));
    // The comparison sees a write that differs in one number.
    write.meta.term++;
    {
        auto store = Store();
        CHECK(bool(store.open(target.path)));
        CHECK(bool(store.write(write)));
    }
    CHECK(recordsText(pinnedRecords()) != recordsText(dumpStore(target.path)));
}

TEST(StoredFormat, alteredRecordIsRefused) {
    auto sound = pinnedRecords();
    CHECK_EQ(std::string(), refusedRecord(sound));
    for (auto i = std::size_t(0); i < sound.size(); i++) {
        auto& [key, sealed] = sound[i];
        CHECK(bool(openRecord(key, sealed)));
        CHECK(!openRecord(key + "x", sealed));
        for (auto at = std::size_t(0); at < sealed.size(); at++) {
            auto flipped = sealed;
            flipped[at] ^= 1;
            CHECK(!openRecord(key, flipped));
            CHECK(!openRecord(key, std::string_view(sealed).substr(0, at)));
        }
        auto records = sound;
        records[i].second.back() ^= 1;
        CHECK_EQ(recordName(key), refusedRecord(records));
        records = sound;
        records[i].second.pop_back();
        CHECK_EQ(recordName(key), refusedRecord(records));
    }
}

// Without the last entry a store is a sound one that was written earlier; without another record it
// is refused.
TEST(StoredFormat, missingRecordIsRefused) {
    auto sound = pinnedRecords();
    auto refused = std::size_t(0);
    for (auto i = std::size_t(0); i < sound.size(); i++) {
        auto records = sound;
        records.erase(records.begin() + std::ptrdiff_t(i));
        auto record = refusedRecord(records);
        if (record.empty()) continue;
        CHECK_EQ(recordName(sound[i].first), record);
        refused++;
    }
    CHECK_EQ(sound.size() - 1, refused);
}

// A record of a newer format's voter is left alone, file and all.
TEST(StoredFormat, newerFormatIsLeftAlone) {
    auto directory = TemporaryDirectory();
    auto records = pinnedRecords();
    for (auto& [key, sealed] : records)
        if (key == META_KEY) {
            auto meta = wire::Meta();
            CHECK(unpackRecord(*openRecord(key, sealed), meta));
            meta.format = FORMAT + 1;
            sealed = sealRecord(key, packRecord(meta));
        }
    makeStore(directory.path, records);
    auto before = *readFile(directory.path + STORE_FILE);
    auto store = Store();
    auto state = store.open(directory.path);
    CHECK(!state);
    CHECK(state.error().kind == StoreError::Kind::NewerFormat);
    CHECK_EQ(std::string("meta"), state.error().record);
    CHECK(!store.setAside());
    CHECK(before == *readFile(directory.path + STORE_FILE));
}

// A store is of the first format, which the program before this one reads, until it is written an entry that
// that program does not know.
TEST(StoredFormat, compactEntryRaisesTheFormat) {
    auto directory = TemporaryDirectory();
    copyPinnedStore(directory.path);
    auto formatOf = [&] {
        for (auto& [key, sealed] : dumpStore(directory.path)) {
            auto meta = wire::Meta();
            if (key == META_KEY && unpackRecord(*openRecord(key, sealed), meta)) return meta.format;
        }
        return 0;
    };
    auto append = [&](std::int32_t kind, const std::string& body) {
        auto store = Store();
        auto write = DiskWrite();
        auto state = store.open(directory.path);
        CHECK(bool(state));
        auto entry = wire::Entry();
        entry.term = 9;
        entry.index = state->log.back().index + 1;
        entry.kind = kind;
        entry.body = body;
        write.meta = *state;
        write.entries.push_back(entry);
        CHECK(bool(store.write(write)));
    };
    CHECK_EQ(FIRST_FORMAT, formatOf());
    append(ENTRY_ORDER, "{}");
    CHECK_EQ(FIRST_FORMAT, formatOf());
    append(ENTRY_COMPACT, "Z");
    CHECK_EQ(FORMAT, formatOf());
    append(ENTRY_ORDER, "{}");  // by a later life
    CHECK_EQ(FORMAT, formatOf());
    auto state = openSound(directory.path);
    CHECK_EQ(std::string("Z"), state.log[state.log.size() - 2].body);
}

// ---- the entries by which voters are replaced

TEST(StoredFormat, voterEntriesAreWritten) {
    auto cluster = ConsensusFixture();
    cluster.bootstrap({"a", "b", "c"});
    cluster.lead("a");
    cluster.add("d");
    cluster.spares = {{"s-b", "d"}};
    CHECK(cluster.until([&] { return !bodiesOf(cluster, "a", ENTRY_VOTERS).empty(); }, 20 * SECOND));
    auto pinned = readPinned("voter-entries.txt", 2);
    for (auto& line : pinned) {
        auto kind = std::stoi(line[0]);
        auto bodies = bodiesOf(cluster, "a", kind);
        CHECK_EQ(std::size_t(1), bodies.size());
        CHECK_EQ(line[1], toHex(*bodies.begin()));
        auto entry = wire::Entry();
        entry.kind = kind;
        entry.body = fromHex(line[1]);
        CHECK(isReadableEntry(entry));
        entry.body.pop_back();
        CHECK(!isReadableEntry(entry));
    }
}

}  // namespace duneturn
