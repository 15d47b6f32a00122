#include <cstdint>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/version.hpp"
#include "net/envelope_compression.hpp"
#include "test.hpp"

namespace duneturn {

static auto stateOf(std::size_t routes) -> wire::Envelope {
    auto e = wire::Envelope();
    e.wire = WIRE;
    e.node = "a";
    e.epoch = 3;
    auto w = wire::ReplicatedState();
    w.version = 7;
    for (auto i = std::size_t(0); i < routes; i++)
        w.document +=
            fmt::format(R"({{"name":"r-{}","host":"h.example","path":"/p{}/*","pool":"x"}},)", i, i * 7);
    e.__set_replicatedState(w);
    return e;
}

// A word of many mappings goes as a small part of its length and is the same at the other end.
TEST(Compress, largeIsSmallAndComesBack) {
    auto c = EnvelopeCompressor();
    auto e = stateOf(1800);
    auto z = c(e);
    CHECK(bool(z));
    CHECK(!z->__isset.replicatedState);
    CHECK(z->compressed.size() * 5 < e.replicatedState.document.size());
    auto back = decompressEnvelope(*z);
    CHECK(bool(back));
    CHECK(*back == e);
    CHECK(bool(c(e)));  // to a second peer
    CHECK_EQ(std::int64_t(1), c.runs());
    auto other = stateOf(1801);
    CHECK(*decompressEnvelope(*c(other)) == other);
    CHECK_EQ(std::int64_t(2), c.runs());
}

TEST(Compress, smallGoesAsItIs) {
    auto c = EnvelopeCompressor();
    CHECK(!c(stateOf(3)));
    CHECK(!c(wire::Envelope()));
}

// Log entries, orders and their replies count as the word does.
TEST(Compress, whateverIsLong) {
    auto c = EnvelopeCompressor();
    auto doc = stateOf(200).replicatedState.document;
    auto a = wire::Envelope(), o = a, r = a, s = a;
    auto ask = wire::AppendEntries();
    ask.entries.emplace_back();
    ask.entries.back().body = doc;
    a.__set_appendEntries(ask);
    o.__set_orderRequest({});
    o.orderRequest.body = doc;
    r.__set_orderReply({});
    r.orderReply.body = doc;
    s.__set_installSnapshot({});
    s.installSnapshot.document = doc;
    for (auto& e : {a, o, r, s}) {
        auto z = c(e);
        CHECK(bool(z));
        CHECK(*decompressEnvelope(*z) == e);
    }
}

// What was cut, changed or is too long is not taken, nor one that speaks for another.
TEST(Compress, unreadableIsNone) {
    auto c = EnvelopeCompressor();
    auto z = *c(stateOf(1800));
    auto r = RandomSource{5};
    auto taken = 0;
    for (auto i = 0; i < 300; i++) {
        auto x = z;
        x.compressed[r.below(x.compressed.size())] ^= char(1 + r.below(255));
        taken += bool(decompressEnvelope(x));
        x = z;
        x.compressed.resize(r.below(x.compressed.size()));
        taken += bool(decompressEnvelope(x));
    }
    CHECK_EQ(0, taken);
    auto x = z;
    x.node = "b";
    CHECK(!decompressEnvelope(x));
    x = z;
    x.compressed.clear();
    CHECK(!decompressEnvelope(x));
}

}  // namespace duneturn
