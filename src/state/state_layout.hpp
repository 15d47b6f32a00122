#pragma once
// The members of a stored state's document in their order. States of earlier formats have another order
// than new ones, and those of later formats may have further members; both are kept, so that the text of a
// state is the same on replicas of all versions.
#include <memory>
#include <string>
#include <vector>

#include "state/json_fragment.hpp"

namespace duneturn {

struct StateLayout {
    struct Member {
        std::string name;
        std::shared_ptr<const JsonFragment> unknown;  // null for a member that this version knows
    };
    /// Null: the members of a new state, in its order.
    std::shared_ptr<const std::vector<Member>> members;
};

}  // namespace duneturn
