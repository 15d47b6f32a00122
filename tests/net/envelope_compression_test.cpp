// The compression of the messages between nodes.
#include <cstdint>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/version.hpp"
#include "net/envelope_compression.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

/// An envelope that carries the state of so many routes.
auto stateOf(std::size_t routes) -> wire::Envelope {
    auto envelope = wire::Envelope();
    envelope.wire = WIRE;
    envelope.node = "a";
    envelope.epoch = 3;
    auto state = wire::ReplicatedState();
    state.version = 7;
    for (auto i = std::size_t(0); i < routes; i++)
        state.document +=
            fmt::format(R"({{"name":"r-{}","host":"h.example","path":"/p{}/*","pool":"x"}},)", i, i * 7);
    envelope.__set_replicatedState(state);
    return envelope;
}

}  // namespace

// A state of many routes goes as a small part of its length and is the same at the other end.
TEST(Compress, largeIsSmallAndComesBack) {
    auto compressor = EnvelopeCompressor();
    auto envelope = stateOf(1800);
    auto compressed = compressor(envelope);
    CHECK(bool(compressed));
    CHECK(!compressed->__isset.replicatedState);
    CHECK(compressed->compressed.size() * 5 < envelope.replicatedState.document.size());
    auto back = decompressEnvelope(*compressed);
    CHECK(bool(back));
    CHECK(*back == envelope);
    CHECK(bool(compressor(envelope)));  // to a second peer
    CHECK_EQ(std::int64_t(1), compressor.runs());
    auto other = stateOf(1801);
    CHECK(*decompressEnvelope(*compressor(other)) == other);
    CHECK_EQ(std::int64_t(2), compressor.runs());
}

TEST(Compress, smallGoesAsItIs) {
    auto compressor = EnvelopeCompressor();
    CHECK(!compressor(stateOf(3)));
    CHECK(!compressor(wire::Envelope()));
}

// Log entries, orders and their answers count as the state does.
TEST(Compress, whateverIsLong) {
    auto compressor = EnvelopeCompressor();
    auto text = stateOf(200).replicatedState.document;
    auto append = wire::Envelope(), request = append, reply = append, snapshot = append;
    auto entries = wire::AppendEntries();
    entries.entries.emplace_back();
    entries.entries.back().body = text;
    append.__set_appendEntries(entries);
    request.__set_orderRequest({});
    request.orderRequest.body = text;
    reply.__set_orderReply({});
    reply.orderReply.body = text;
    snapshot.__set_installSnapshot({});
    snapshot.installSnapshot.document = text;
    for (auto& envelope : {append, request, reply, snapshot}) {
        auto compressed = compressor(envelope);
        CHECK(bool(compressed));
        CHECK(*decompressEnvelope(*compressed) == envelope);
    }
}

// What was cut, changed or is too long is not taken, nor one that speaks for another.
TEST(Compress, unreadableIsNone) {
    auto compressor = EnvelopeCompressor();
    auto sound = *compressor(stateOf(1800));
    auto random = RandomSource{5};
    auto taken = 0;
    for (auto i = 0; i < 300; i++) {
        auto altered = sound;
        auto at = random.below(altered.compressed.size());
        altered.compressed[at] ^= char(1 + random.below(255));
        taken += bool(decompressEnvelope(altered));
        auto cut = sound;
        cut.compressed.resize(random.below(cut.compressed.size()));
        taken += bool(decompressEnvelope(cut));
    }
    CHECK_EQ(0, taken);
    auto ofAnother = sound;
    ofAnother.node = "b";
    CHECK(!decompressEnvelope(ofAnother));
    auto empty = sound;
    empty.compressed.clear();
    CHECK(!decompressEnvelope(empty));
}

}  // namespace duneturn
