#pragma once
// A snapshot: the replicated state after an entry, in place of the log up to that entry.
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "state/replicated_state.hpp"

namespace duneturn {

/// The newest snapshot that a voter has; index 0 if it has none.
struct Snapshot {
    std::int64_t index = 0;  // the last entry that it includes
    std::int64_t term = 0;   // of that entry
    /// The state as a document; shared with the transfers that send it.
    std::shared_ptr<const std::string> document = std::make_shared<const std::string>();
    std::vector<VoterIdentity> voters;  // as the document names them
};

}  // namespace duneturn
