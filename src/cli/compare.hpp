#pragma once
// The comparison of what two nodes believe.
#include <array>
#include <string>
#include <vector>

#include "base/json.hpp"

namespace duneturn {

/// Where two nodes differ: the path of a belief, and what each holds there.
struct Difference {
    std::string path, first, second;
};
/// The differences of two documents as Node::beliefs gives them.
auto compareBeliefs(const rapidjson::Value& first, const rapidjson::Value& second) -> std::vector<Difference>;
/// Asks two nodes at their operator addresses and shows the differences; 0 if they agree, 1 if not,
/// 3 if one cannot be asked.
auto compareRun(const std::string& first, const std::string& second, bool json) -> int;

}  // namespace duneturn
