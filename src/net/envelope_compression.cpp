#include "net/envelope_compression.hpp"

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

namespace tt = apache::thrift;
using Memory = tt::transport::TMemoryBuffer;
using Compact = tt::protocol::TCompactProtocolT<Memory>;

constexpr std::size_t LONGEST = 32u << 20;

static auto longest() -> std::shared_ptr<tt::TConfiguration> {
    return std::make_shared<tt::TConfiguration>(int(LONGEST), int(LONGEST), 64);
}

auto EnvelopeCompressor::operator()(const wire::Envelope& e) -> std::optional<wire::Envelope> {
    auto n = e.replicatedState.document.size() + e.orderRequest.body.size() + e.orderReply.body.size()
        + e.installSnapshot.document.size();
    if (e.__isset.appendEntries)
        for (auto& x : e.appendEntries.entries) n += x.body.size();
    if (n < COMPRESSION_MIN_BYTES || n > LONGEST / 2 || e.__isset.compressed) return {};
    auto m = std::make_shared<Memory>(longest());
    auto p = Compact(m);
    e.write(&p);
    auto raw = static_cast<std::uint8_t*>(nullptr);
    auto len = std::uint32_t(0);
    m->getBuffer(&raw, &len);
    auto l = std::lock_guard(mu_);
    auto key = std::pair(hash64(std::string_view(reinterpret_cast<char*>(raw), len)), std::size_t(len));
    if (last_.empty() || key != key_) {
        auto z = uLongf(compressBound(len));
        auto to = std::string(z, 0);
        if (compress2(reinterpret_cast<Bytef*>(to.data()), &z, raw, len, Z_BEST_SPEED) != Z_OK) return {};
        last_.assign(to.data(), z);
        key_ = key;
        runs++;
    }
    auto o = wire::Envelope();
    o.wire = e.wire;
    o.node = e.node;
    o.disk = e.disk;
    o.epoch = e.epoch;
    o.__set_compressed(last_);
    return o;
}

auto decompressEnvelope(const wire::Envelope& e) -> std::optional<wire::Envelope> {
    auto s = z_stream();
    auto in = e.compressed;
    s.next_in = reinterpret_cast<Bytef*>(in.data());
    s.avail_in = uInt(in.size());
    if (inflateInit(&s) != Z_OK) return {};
    auto out = std::string();
    auto rc = Z_OK;
    while (rc == Z_OK && out.size() < LONGEST) {
        auto was = out.size();
        out.resize(std::min(LONGEST, std::max<std::size_t>(in.size() * 4, was * 2)));
        s.next_out = reinterpret_cast<Bytef*>(out.data() + was);
        s.avail_out = uInt(out.size() - was);
        rc = inflate(&s, Z_NO_FLUSH);
        out.resize(out.size() - s.avail_out);
    }
    inflateEnd(&s);
    if (rc != Z_STREAM_END) return {};
    try {
        auto m = std::make_shared<Memory>(reinterpret_cast<std::uint8_t*>(out.data()),
            std::uint32_t(out.size()), Memory::OBSERVE, longest());
        auto p = Compact(m, 0, 100000);
        auto o = wire::Envelope();
        o.read(&p);
        if (o.wire != e.wire || o.node != e.node || o.__isset.compressed) return {};
        return o;
    } catch (const tt::TException&) {
        return {};
    }
}

}  // namespace duneturn
