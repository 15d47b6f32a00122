#include "state/state_digest.hpp"

#include <cstdint>
#include <string>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace duneturn {

auto stateDigest(const ReplicatedState& state) -> std::uint64_t {
    auto text = fmt::format("{} {} {} {:016x} ", state.epoch, state.version, state.configVersion(),
        state.configuration()->digest());
    text += state.evacuationsText() + state.planText();
    for (auto& node : state.roster()) text += fmt::format(" {}", node);
    for (auto& voter : state.voters()) text += fmt::format(" {}={}", voter.node, voter.disk);
    return hash64(text);
}

}  // namespace duneturn
