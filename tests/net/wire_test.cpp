// The messages between nodes in Thrift's compact protocol.
#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/version.hpp"
#include "storage/record_codec.hpp"
#include "test.hpp"

namespace duneturn {

namespace {

auto randomHeartbeat(RandomSource& random) -> wire::Heartbeat {
    auto heartbeat = wire::Heartbeat();
    for (auto count = random.below(6); count > 0; count--) {
        auto record = wire::NodeRecord();
        record.node = fmt::format("n{}", count);
        record.boot = std::int64_t(random.next());
        record.credit = -std::int64_t(random.below(1000));
        record.acks.resize(random.below(5));
        record.marks.resize(random.below(3));
        heartbeat.records.push_back(record);
    }
    heartbeat.listings.resize(random.below(4));
    heartbeat.loads.resize(random.below(4));
    return heartbeat;
}

auto randomEnvelope(RandomSource& random) -> wire::Envelope {
    auto envelope = wire::Envelope();
    envelope.wire = WIRE;
    envelope.node = std::string(random.below(20), 'n');
    auto diskBytes = random.below(20);
    envelope.disk = std::string(diskBytes, char(random.below(256)));
    envelope.epoch = std::int64_t(random.next());
    if (random.chance(.5)) envelope.__set_heartbeat(randomHeartbeat(random));
    if (random.chance(.5)) {
        auto append = wire::AppendEntries();
        append.entries.resize(random.below(5));
        for (auto& entry : append.entries) {
            auto bytes = random.below(300);
            entry.body = std::string(bytes, char(random.below(256)));
        }
        envelope.__set_appendEntries(append);
    }
    return envelope;
}

}  // namespace

// What processes send each other: any envelope comes out as it went in; any damage to it is
// either noticed, or gives an envelope that packs again, within bounds.
TEST(Wire, fuzzCodec) {
    auto random = RandomSource{9};
    auto unreadable = 0, readable = 0;
    for (auto i = 0; i < 3000; i++) {
        auto envelope = randomEnvelope(random);
        auto bytes = packRecord(envelope);
        auto unpacked = wire::Envelope();
        CHECK(unpackRecord(bytes, unpacked));
        CHECK(unpacked == envelope);
        // A newer process adds fields that this one does not know: they are passed over.
        for (auto changes = random.below(4) + 1; changes > 0; changes--) {
            auto at = random.below(bytes.size());
            bytes[at] = char(random.below(256));
        }
        if (random.chance(.3)) bytes.resize(random.below(bytes.size()));
        auto damaged = wire::Envelope();
        if (!unpackRecord(bytes, damaged)) {
            unreadable++;
            continue;
        }
        readable++;
        auto again = wire::Envelope();
        CHECK(unpackRecord(packRecord(damaged), again));
    }
    CHECK(unreadable > 500);
    CHECK(readable > 100);
}

}  // namespace duneturn
