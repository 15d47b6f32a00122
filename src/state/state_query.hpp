#pragma once
// Questions to the replicated state, answered by the leader after a confirmed read. Each answer holds
// what its caller needs and no more.
#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "state/evacuations.hpp"
#include "state/replicated_state.hpp"

namespace duneturn {

/// A question, and how it travels to the leader.
struct StateQuery {
    enum class Kind { Document, Change, Zone };
    Kind kind = Kind::Document;
    std::string name;  // Change: its key, empty if only the configuration is asked for; Zone: the zone

    static auto document() -> StateQuery { return {Kind::Document, ""}; }
    static auto change(const std::string& key) -> StateQuery { return {Kind::Change, key}; }
    static auto zone(const std::string& zone) -> StateQuery { return {Kind::Zone, zone}; }

    auto text() const -> std::string;
    /// What cannot be read asks for the whole document, as an empty text does.
    static auto parse(const std::string& text) -> StateQuery;
    /// The answer's JSON out of `state`.
    auto answer(const ReplicatedState& state) const -> std::string;
};

/// The answer to StateQuery::change.
struct ChangeState {
    bool accepted = false;              // the change is known to have been accepted
    std::int64_t forgottenVersion = 0;  // a change of an earlier document may have been, and be forgotten
    std::int64_t configVersion = 0;     // of the configuration in force
    std::int64_t version = 0;           // of the operator's document in force; 0 if there is none
    std::string document;               // that document

    static auto parse(const std::string& answer) -> tl::expected<ChangeState, std::string>;
};

/// The answer to StateQuery::zone, read.
auto zoneStateParse(const std::string& answer) -> tl::expected<ZoneState, std::string>;

}  // namespace duneturn
