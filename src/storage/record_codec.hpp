#pragma once
// The records of a voter's store: their keys, their bytes and their checksums.
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "wire_types.h"

namespace duneturn {

/// The newest format of the records that this program reads and writes. A store is of format 1 until it is
/// written an entry that programs of format 1 cannot read (ENTRY_COMPACT), and of format 2 from then on.
constexpr std::int32_t FORMAT = 2;
constexpr std::int32_t FIRST_FORMAT = 1;

/// The keys of the record of the voter (term, vote and the like) and of the snapshot.
constexpr auto META_KEY = std::string_view("meta");
constexpr auto SNAPSHOT_KEY = std::string_view("snap");
/// The key of a log entry; keys sort as their indices do.
[[nodiscard]] auto entryKey(std::int64_t index) -> std::string;
/// The index that an entry's key names; none if it is another record's.
[[nodiscard]] auto entryIndex(std::string_view key) -> std::optional<std::int64_t>;

/// The name of a record in log lines: "meta", "snap", "entry-INDEX", or "key-" with the key's bytes in
/// hexadecimal for one of another key.
[[nodiscard]] auto recordName(std::string_view key) -> std::string;

/// Copies what the record of the voter holds between a state of the disk and wire::Meta, either way.
template <class From, class To>
auto copyVoterFields(const From& from, To& to) -> void {
    to.disk = from.disk;
    to.epoch = from.epoch;
    to.term = from.term;
    to.vote = from.vote;
    to.commit = from.commit;
    to.snapshotIndex = from.snapshotIndex;
    to.snapshotTerm = from.snapshotTerm;
}

/// A record's bytes behind the checksum of its key and bytes.
[[nodiscard]] auto sealRecord(std::string_view key, std::string_view bytes) -> std::string;
/// The bytes of a sealed record; none if the checksum does not match.
[[nodiscard]] auto openRecord(std::string_view key, std::string_view sealed)
    -> std::optional<std::string_view>;

/// A Thrift struct as bytes, in the compact protocol.
template <class T>
[[nodiscard]] auto packRecord(const T& record) -> std::string {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    auto protocol = apache::thrift::protocol::TCompactProtocol(buffer);
    record.write(&protocol);
    return buffer->getBufferAsString();
}
/// Reads a Thrift struct; false if the bytes are none. `record` is unspecified then.
template <class T>
[[nodiscard]] auto unpackRecord(std::string_view bytes, T& record) -> bool {
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
