#include "storage/state_reader.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace duneturn {

auto StateReader::fail(std::string record, std::string why) -> void {
    if (!fault_) fault_ = RecordFault{std::move(record), std::move(why)};
}

auto StateReader::take(std::string_view key, std::string_view sealed) -> bool {
    auto bytes = openRecord(key, sealed);
    if (!bytes) fail(recordName(key), "the checksum does not match");
    else if (key == META_KEY) takeMeta(*bytes);
    else if (key == SNAPSHOT_KEY) state_.snapshotDocument = std::string(*bytes);
    else if (entryIndex(key)) takeEntry(key, *bytes);
    return !fault_;
}

auto StateReader::takeMeta(std::string_view bytes) -> void {
    auto meta = wire::Meta();
    if (!unpackRecord(bytes, meta)) return fail(recordName(META_KEY), "it cannot be read");
    if (meta.format > FORMAT) {
        fail(recordName(META_KEY),
            fmt::format("written in format {}, this program knows {}", meta.format, FORMAT));
        fault_->newerFormat = true;
    }
    format_ = std::max(meta.format, FIRST_FORMAT);
    copyVoterFields(meta, state_);
    sawMeta_ = true;
}

auto StateReader::takeEntry(std::string_view key, std::string_view bytes) -> void {
    auto entry = wire::Entry();
    if (unpackRecord(bytes, entry)) state_.log.push_back(std::move(entry));
    else fail(recordName(key), "it cannot be read");
}

auto StateReader::finish() -> DiskState {
    if (!sawMeta_ && !state_.log.empty()) fail(recordName(META_KEY), "it is missing, but there are entries");
    if (!fault_) checkEntries();
    if (!fault_) checkSnapshot();
    return std::move(state_);
}

// Entries that the snapshot holds may remain of an earlier write; the others follow it without a gap.
auto StateReader::checkEntries() -> void {
    std::erase_if(state_.log, [&](auto& entry) { return entry.index <= state_.snapshotIndex; });
    auto expected = state_.snapshotIndex + 1;
    for (auto& entry : state_.log) {
        if (entry.index != expected) return fail(recordName(entryKey(expected)), "it is missing");
        expected++;
    }
}

auto StateReader::checkSnapshot() -> void {
    if (state_.snapshotIndex > 0 && state_.snapshotDocument.empty())
        fail(recordName(SNAPSHOT_KEY), "it is missing");
}

}  // namespace duneturn
