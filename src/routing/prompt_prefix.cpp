#include "routing/prompt_prefix.hpp"

#include <algorithm>
#include <cstddef>

#include "base/hash.hpp"
#include "routing/headers.hpp"

namespace duneturn {
namespace {

constexpr auto MAX_PARTS = std::size_t(256);
constexpr auto MAX_KNOWN_BEGINNINGS = std::size_t(16384);
constexpr auto BEGINNING_STEP = std::size_t(512);  // bytes
constexpr auto PART_SEED = 3;                      // each use of hash64 has a seed of its own
constexpr auto BEGINNING_SEED = 1;
constexpr auto KEY_MULTIPLIER = std::uint64_t(0x9e3779b97f4a7c15);  // of Fibonacci hashing

}  // namespace

auto parsePromptParts(const std::string& text) -> std::optional<PromptParts> {
    auto prompt = PromptParts();
    for (auto from = std::size_t(0); from < text.size() && prompt.parts.size() < MAX_PARTS;) {
        auto end = std::min(text.find(',', from), text.size());
        auto begin = std::min(text.find_first_not_of(' ', from), end);
        auto colon = text.find(':', begin);
        if (colon == std::string::npos || colon >= end) return std::nullopt;
        auto last = text.find_last_not_of(' ', end - 1);
        auto tokens = parseNumber(text.substr(colon + 1, last - colon));
        if (tokens < 0 || colon == begin) return std::nullopt;
        auto name = toLower(std::string_view(text).substr(begin, colon - begin));
        prompt.parts.emplace_back(hash64(name, PART_SEED), tokens);
        from = end + 1;
    }
    if (prompt.parts.empty()) return std::nullopt;
    auto shared = prompt.parts.size() > 1 ? prompt.parts.size() - 1 : 1;
    prompt.prefixKey = 1;
    for (auto i = std::size_t(0); i < shared; i++) {
        prompt.prefixKey = (prompt.prefixKey * KEY_MULTIPLIER) ^ prompt.parts[i].first;
        prompt.sharedTokens += prompt.parts[i].second;
    }
    prompt.prefixKey |= 1;  // 0 stands for none
    return prompt;
}

auto PrefixHistory::keyOf(std::string_view body) -> std::uint64_t {
    auto key = std::uint64_t(0);
    for (auto length = BEGINNING_STEP; length <= body.size(); length += BEGINNING_STEP) {
        auto hash = hash64(body.substr(0, length), BEGINNING_SEED) | 1;
        if (known_.count(hash)) {
            key = hash;
        } else {
            known_.insert(hash);
            order_.push_back(hash);
        }
    }
    while (order_.size() > MAX_KNOWN_BEGINNINGS) {
        known_.erase(order_.front());
        order_.pop_front();
    }
    return key;
}

}  // namespace duneturn
