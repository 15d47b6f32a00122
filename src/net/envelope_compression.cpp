#include "net/envelope_compression.hpp"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <zlib.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

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
/// Decompressed bytes are first expected to be this many times the compressed ones.
constexpr std::size_t EXPECTED_RATIO = 4;

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

/// None if zlib fails.
auto deflateBytes(const std::string& bytes) -> std::optional<std::string> {
    auto length = compressBound(bytes.size());
    auto compressed = std::string(length, 0);
    auto result = compress2(reinterpret_cast<Bytef*>(compressed.data()), &length,
        reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (result != Z_OK) return std::nullopt;
    compressed.resize(length);
    return compressed;
}

/// None if the bytes are not whole or hold more than the longest envelope.
auto inflateBytes(std::string compressed) -> std::optional<std::string> {
    auto stream = z_stream();
    stream.next_in = reinterpret_cast<Bytef*>(compressed.data());
    stream.avail_in = uInt(compressed.size());
    if (inflateInit(&stream) != Z_OK) return std::nullopt;
    auto bytes = std::string();
    auto result = Z_OK;
    while (result == Z_OK && bytes.size() < MAX_ENVELOPE_BYTES) {
        auto length = bytes.size();
        auto room = std::max(compressed.size() * EXPECTED_RATIO, length * 2);
        bytes.resize(std::min(MAX_ENVELOPE_BYTES, room));
        stream.next_out = reinterpret_cast<Bytef*>(bytes.data() + length);
        stream.avail_out = uInt(bytes.size() - length);
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.resize(bytes.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END) return std::nullopt;
    return bytes;
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
    auto bytes = inflateBytes(envelope.compressed);
    if (!bytes) return std::nullopt;
    auto content = deserialize(*bytes);
    if (!content) return std::nullopt;
    if (content->wire != envelope.wire || content->node != envelope.node || content->__isset.compressed)
        return std::nullopt;
    return content;
}

}  // namespace duneturn
