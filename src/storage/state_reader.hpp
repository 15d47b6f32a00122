#pragma once
// Reads a voter's state from the records of its store, and finds what is wrong with them.
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "consensus/disk.hpp"
#include "storage/record_codec.hpp"

namespace duneturn {

/// What is wrong with a store.
struct RecordFault {
    std::string record;  ///< Which record, as recordName names it; FILE_RECORD if it is the file as a whole.
    std::string why;
    bool newerFormat = false;  ///< The record is sound, but of a format that this program does not know.
};
/// Stands for the file as a whole in place of a record's name.
constexpr auto FILE_RECORD = "file";

/// Gathers a state from a store's records. Takes them in any order; keeps the first fault.
class StateReader {
  public:
    /// Takes one record; false once there is a fault, after which nothing more need be taken.
    [[nodiscard]] auto take(std::string_view key, std::string_view sealed) -> bool;
    /// Checks what only all records together can show, and gives the state that they hold.
    [[nodiscard]] auto finish() -> DiskState;
    /// The format that the voter's record states; FIRST_FORMAT before it was taken.
    [[nodiscard]] auto format() const -> std::int32_t { return format_; }
    /// What is wrong; known after finish().
    [[nodiscard]] auto fault() const -> const std::optional<RecordFault>& { return fault_; }

  private:
    auto takeMeta(std::string_view bytes) -> void;
    auto takeEntry(std::string_view key, std::string_view bytes) -> void;
    auto checkEntries() -> void;
    auto checkSnapshot() -> void;
    auto fail(std::string record, std::string why) -> void;

    DiskState state_;
    std::int32_t format_ = FIRST_FORMAT;
    bool sawMeta_ = false;
    std::optional<RecordFault> fault_;
};

}  // namespace duneturn
