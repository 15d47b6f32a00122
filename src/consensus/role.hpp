#pragma once
// The roles of a voter and the transitions between them, as a table (Ongaro 2014, figure 3.3, with the
// pre-candidate of 9.6; a blank disk belongs to no cluster yet).
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "base/counters.hpp"

namespace duneturn {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct Initialized {};         // a snapshot reached this disk
struct Erased {};              // what the disk held is given up
struct ElectionTimeout {};     // no contact to a leader for an election timeout
struct PreVoteWon {};          // a majority would vote for this one
struct ElectionWon {};         // a majority did
struct LeadershipReceived {};  // the leader transferred its leadership
struct LeaderSeen {};          // a message of a leader or of a higher term

/// The state machine's definition. States stand in the order of Voter::Role.
struct RoleTable : msm::front::state_machine_def<RoleTable> {
    struct Uninitialized : msm::front::state<> {};
    struct Follower : msm::front::state<> {};
    struct PreCandidate : msm::front::state<> {};
    struct Candidate : msm::front::state<> {};
    struct Leader : msm::front::state<> {};
    using initial_state = Uninitialized;
    template <class From, class Event, class To>
    using Row = msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;
    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Boost.MSM looks for
    struct transition_table : mpl::vector<
        Row<Uninitialized,        Initialized,        Follower>,
        Row<Follower,     ElectionTimeout,    PreCandidate>,
        Row<Follower,     LeadershipReceived, Candidate>,
        Row<Follower,     LeaderSeen,         Follower>,
        Row<Follower,     Erased,             Uninitialized>,
        Row<PreCandidate, ElectionTimeout,    PreCandidate>,
        Row<PreCandidate, PreVoteWon,         Candidate>,
        Row<PreCandidate, LeaderSeen,         Follower>,
        Row<PreCandidate, Erased,             Uninitialized>,
        Row<Candidate,    ElectionTimeout,    PreCandidate>,
        Row<Candidate,    ElectionWon,        Leader>,
        Row<Candidate,    LeaderSeen,         Follower>,
        Row<Candidate,    Erased,             Uninitialized>,
        Row<Leader,       LeaderSeen,         Follower>> {};
    // clang-format on
    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int) {
        illegal = true;
    }
    bool illegal = false;
};

/// The current role; an event that the table does not allow changes nothing and is counted.
struct RoleMachine {
    msm::back::state_machine<RoleTable> machine;
    RoleMachine() { machine.start(); }
    template <class Event>
    auto process(Event event, Counters& counters) -> bool {
        machine.illegal = false;
        machine.process_event(event);
        if (machine.illegal) counters.add("illegal_transitions_total");
        return !machine.illegal;
    }
};

}  // namespace duneturn
