#include "net/envelope_compression.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "base/compression.hpp"
#include "base/hash.hpp"

namespace duneturn {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// The longest envelope that is accepted, decompressed; one that is sent has half of that at most.
constexpr std::size_t MAX_ENVELOPE_BYTES = std::size_t(32) << 20;
constexpr int MAX_NESTING = 64;
constexpr int MAX_CONTAINER_ITEMS = 100000;

auto thriftLimits() -> std::shared_ptr<TConfiguration> {
    return std::make_shared<TConfiguration>(int(MAX_ENVELOPE_BYTES), int(MAX_ENVELOPE_BYTES), MAX_NESTING);
}

/// The bytes of the fields that can be long.
auto longFieldBytes(const wire::Envelope& envelope) -> std::size_t {
    auto bytes = envelope.replicatedState.document.size() + envelope.orderRequest.body.size()
        + envelope.orderReply.body.size() + envelope.installSnapshot.document.size();
    if (!envelope.__isset.appendEntries) return bytes;
    for (auto& entry : envelope.appendEntries.entries) bytes += entry.body.size();
    return bytes;
}

auto serialize(const wire::Envelope& envelope) -> std::string {
    auto buffer = std::make_shared<TMemoryBuffer>(thriftLimits());
    auto protocol = TCompactProtocolT<TMemoryBuffer>(buffer);
    envelope.write(&protocol);
    return buffer->getBufferAsString();
}

/// None if the bytes are no envelope.
auto deserialize(std::string& bytes) -> std::optional<wire::Envelope> {
    try {
        auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t*>(bytes.data()),
            std::uint32_t(bytes.size()), TMemoryBuffer::OBSERVE, thriftLimits());
        auto protocol = TCompactProtocolT<TMemoryBuffer>(buffer, 0, MAX_CONTAINER_ITEMS);
        auto envelope = wire::Envelope();
        envelope.read(&protocol);
        return envelope;
    } catch (const apache::thrift::TException&) {
        return std::nullopt;
    }
}

}  // namespace

auto EnvelopeCompressor::operator()(const wire::Envelope& envelope) -> std::optional<wire::Envelope> {
    auto longBytes = longFieldBytes(envelope);
    if (longBytes < COMPRESSION_MIN_BYTES || longBytes > MAX_ENVELOPE_BYTES / 2
        || envelope.__isset.compressed)
        return std::nullopt;
    auto bytes = serialize(envelope);
    auto key = std::pair(hash64(bytes), bytes.size());
    auto result = wire::Envelope();
    result.wire = envelope.wire;
    result.node = envelope.node;
    result.disk = envelope.disk;
    result.epoch = envelope.epoch;
    auto lock = std::lock_guard(mutex_);
    if (lastCompressed_.empty() || key != lastKey_) {
        auto compressed = deflateBytes(bytes);
        if (!compressed) return std::nullopt;
        lastCompressed_ = std::move(*compressed);
        lastKey_ = key;
        runs_++;
    }
    result.__set_compressed(lastCompressed_);
    return result;
}

auto decompressEnvelope(const wire::Envelope& envelope) -> std::optional<wire::Envelope> {
    auto bytes = inflateBytes(envelope.compressed, MAX_ENVELOPE_BYTES);
    if (!bytes) return std::nullopt;
    auto content = deserialize(*bytes);
    if (!content) return std::nullopt;
    if (content->wire != envelope.wire || content->node != envelope.node || content->__isset.compressed)
        return std::nullopt;
    return content;
}

}  // namespace duneturn
