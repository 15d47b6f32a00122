#pragma once
// The records of a voter's store: their keys, their bytes and their checksums.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "consensus/voter.hpp"

namespace duneturn {

/// The newest format of the records that this program reads and writes.
constexpr std::int32_t FORMAT = 1;

/// The keys of the voter's record and of the snapshot.
constexpr auto META_KEY = std::string_view("meta");
constexpr auto SNAPSHOT_KEY = std::string_view("snap");
/// The key of a log entry; keys sort as their indices do.
auto entryKey(std::int64_t index) -> std::string;
/// The index that an entry's key names; none if it is another record's.
auto entryIndex(std::string_view key) -> std::optional<std::int64_t>;

/// A record's bytes behind the checksum of its key and bytes.
auto sealRecord(std::string_view key, std::string_view bytes) -> std::string;
/// The bytes of a sealed record; none if the checksum does not match.
auto openRecord(std::string_view key, std::string_view sealed) -> std::optional<std::string_view>;

/// A struct of the wire's definitions as bytes, and back.
template <class T>
auto packRecord(const T& record) -> std::string {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol = apache::thrift::protocol::TCompactProtocol(buffer);
    record.write(&protocol);
    return buffer->getBufferAsString();
}
template <class T>
auto unpackRecord(std::string_view bytes, T& record) -> bool {
    try {
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())), std::uint32_t(bytes.size()));
        auto protocol = apache::thrift::protocol::TCompactProtocol(buffer);
        record.read(&protocol);
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

}  // namespace duneturn
