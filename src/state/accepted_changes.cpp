#include "state/accepted_changes.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace duneturn {

namespace {

constexpr auto NUMBER_SIZE = std::size_t(16);  // characters of a number in a record
constexpr auto NUMBERS = std::size_t(3);       // of a record
constexpr auto RECORD_SIZE = NUMBERS * NUMBER_SIZE;

auto numberAt(const std::string& records, std::size_t position, std::size_t number) -> std::uint64_t {
    auto text = records.substr(position * RECORD_SIZE + number * NUMBER_SIZE, NUMBER_SIZE);
    return std::strtoull(text.c_str(), nullptr, 16);
}

auto isHexadecimal(std::string_view text) -> bool {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

auto AcceptedChanges::parse(std::int64_t forgottenVersion, std::int64_t forgottenDocumentVersion,
    const std::string& records) -> std::optional<AcceptedChanges> {
    if (records.size() % RECORD_SIZE != 0 || records.size() > CAPACITY * RECORD_SIZE) return std::nullopt;
    if (!isHexadecimal(records)) return std::nullopt;
    auto changes = AcceptedChanges(forgottenVersion, forgottenDocumentVersion);
    for (auto i = std::size_t(0); i < records.size() / RECORD_SIZE; i++)
        changes.records_.push_back({numberAt(records, i, 0), std::int64_t(numberAt(records, i, 1)),
            std::int64_t(numberAt(records, i, 2))});
    return changes;
}

auto AcceptedChanges::record(const std::string& key, std::int64_t documentVersion, std::int64_t stateVersion)
    -> void {
    auto notNegative = [](std::int64_t number) { return std::max<std::int64_t>(0, number); };
    records_.push_back({hash64(key), notNegative(documentVersion), notNegative(stateVersion)});
    if (records_.size() <= CAPACITY) return;
    forgottenDocumentVersion_ = std::max(forgottenDocumentVersion_, records_.front().documentVersion);
    forgottenVersion_++;
    records_.erase(records_.begin());
}

auto AcceptedChanges::find(const std::string& key) const -> std::optional<AcceptedChange> {
    if (key.empty()) return std::nullopt;
    auto digest = hash64(key);
    for (auto position = records_.size(); position-- > 0;) {
        auto& record = records_[position];
        if (record.keyDigest != digest) continue;
        auto configVersion = forgottenVersion_ + 1 + std::int64_t(position);
        return AcceptedChange{configVersion, record.documentVersion, record.stateVersion};
    }
    return std::nullopt;
}

auto AcceptedChanges::configVersion() const -> std::int64_t {
    return forgottenVersion_ + std::int64_t(records_.size());
}

auto AcceptedChanges::recordsText() const -> std::string {
    auto text = std::string();
    text.reserve(records_.size() * RECORD_SIZE);
    for (auto& record : records_)
        fmt::format_to(std::back_inserter(text), "{:016x}{:016x}{:016x}", record.keyDigest,
            std::uint64_t(record.documentVersion), std::uint64_t(record.stateVersion));
    return text;
}

}  // namespace duneturn
