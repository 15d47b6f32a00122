#pragma once
// A snapshot replaces the log up to an entry by the replicated state after that entry.
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/replicated_state.hpp"

namespace duneturn {

/// A voter's newest snapshot; index 0 if it has none.
struct Snapshot {
    std::int64_t index = 0;  // the last entry included
    std::int64_t term = 0;   // the term of that entry
    /// The encoded state. Shared with the transfers that send it.
    std::shared_ptr<const std::string> document = std::make_shared<const std::string>();
    std::vector<VoterIdentity> voters;  // the voters named in the document
};

}  // namespace duneturn
