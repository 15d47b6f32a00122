#include "state/text_change.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <tl/expected.hpp>

#include "base/json.hpp"

namespace duneturn {

namespace {

constexpr auto PIECE_END = '}';
/// The longest text that a change may make, so that one can't ask for any amount of memory.
constexpr auto MAX_TEXT_BYTES = std::size_t(32) << 20;

struct Piece {
    std::size_t offset, length;
};

auto pieces(std::string_view text) -> std::vector<Piece> {
    auto found = std::vector<Piece>();
    auto from = std::size_t(0);
    while (from < text.size()) {
        auto end = text.find(PIECE_END, from);
        auto to = end == std::string_view::npos ? text.size() : end + 1;
        found.push_back({from, to - from});
        from = to;
    }
    return found;
}

auto sameBytes(std::string_view older, std::size_t offset, std::string_view piece) -> bool {
    return offset + piece.size() <= older.size() && older.compare(offset, piece.size(), piece) == 0;
}

// Neighbours are made one part.
auto addCopy(TextChange& change, std::size_t offset, std::size_t length) -> void {
    auto follows =
        !change.empty() && change.back().length > 0 && change.back().offset + change.back().length == offset;
    if (follows) change.back().length += length;
    else change.push_back({offset, length, ""});
}
auto addLiteral(TextChange& change, std::string_view bytes) -> void {
    if (change.empty() || change.back().length > 0) change.emplace_back();
    change.back().literal += bytes;
}

}  // namespace

auto textChange(std::string_view older, std::string_view newer) -> TextChange {
    auto known = std::unordered_map<std::string_view, std::size_t>();
    for (auto& piece : pieces(older)) known.emplace(older.substr(piece.offset, piece.length), piece.offset);
    auto change = TextChange();
    auto expected = std::size_t(0);  // where the older text goes on behind the last copied part
    for (auto& piece : pieces(newer)) {
        auto bytes = newer.substr(piece.offset, piece.length);
        auto offset = expected;
        auto found = sameBytes(older, expected, bytes);
        if (!found)
            if (auto other = known.find(bytes); other != known.end()) {
                offset = other->second;
                found = true;
            }
        if (found) addCopy(change, offset, bytes.size());
        else addLiteral(change, bytes);
        // A piece that was replaced is passed over in the older text, too.
        auto next = found ? offset + bytes.size() : older.find(PIECE_END, expected);
        expected = found ? next : next == std::string_view::npos ? older.size() : next + 1;
    }
    return change;
}

auto applyTextChange(std::string_view older, const TextChange& change)
    -> tl::expected<std::string, std::string> {
    auto total = std::size_t(0);
    for (auto& part : change) {
        if (part.length > older.size() || part.offset > older.size() - part.length)
            return tl::make_unexpected(std::string("a part lies outside the older text"));
        total += part.length + part.literal.size();
        if (total > MAX_TEXT_BYTES) return tl::make_unexpected(std::string("the text is too long"));
    }
    auto newer = std::string();
    newer.reserve(total);
    for (auto& part : change)
        if (part.length > 0) newer += older.substr(part.offset, part.length);
        else newer += part.literal;
    return newer;
}

auto textChangeValue(const TextChange& change, rapidjson::Document::AllocatorType& allocator)
    -> rapidjson::Value {
    auto list = rapidjson::Value(rapidjson::kArrayType);
    for (auto& part : change) {
        if (part.length == 0) {
            list.PushBack(rapidjson::Value(part.literal, allocator), allocator);
            continue;
        }
        auto range = rapidjson::Value(rapidjson::kArrayType);
        range.PushBack(std::uint64_t(part.offset), allocator);
        range.PushBack(std::uint64_t(part.length), allocator);
        list.PushBack(range, allocator);
    }
    return list;
}

auto textChangeParse(const rapidjson::Value& value) -> tl::expected<TextChange, std::string> {
    auto malformed = [] { return tl::make_unexpected(std::string("not a change of a text")); };
    if (!value.IsArray()) return malformed();
    auto change = TextChange();
    for (auto& part : value.GetArray()) {
        if (part.IsString()) {
            change.push_back({0, 0, std::string(part.GetString(), part.GetStringLength())});
            continue;
        }
        if (!part.IsArray() || part.Size() != 2 || !part[0].IsUint64() || !part[1].IsUint64())
            return malformed();
        change.push_back({std::size_t(part[0].GetUint64()), std::size_t(part[1].GetUint64()), ""});
    }
    return change;
}

}  // namespace duneturn
