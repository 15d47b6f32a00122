#pragma once
// The roles of a voter and the allowed transitions between them, as a Boost.MSM state machine (Ongaro 2014,
// figure 3.3, with the pre-candidate of section 9.6). An uninitialized disk belongs to no cluster yet.
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "base/counters.hpp"

namespace duneturn {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct Initialized {};         // the disk received the state of a cluster
struct Erased {};              // the disk gave up its stored state
struct ElectionTimeout {};     // no contact with a leader for an election timeout
struct PreVoteWon {};          // a majority would grant its vote
struct ElectionWon {};         // a majority granted its vote
struct LeadershipReceived {};  // the leader transferred its leadership to this voter
struct LeaderSeen {};          // a message from a leader or with a higher term arrived

/// Definition of the state machine. The states have the same order as the values of Voter::Role.
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
    // NOLINTNEXTLINE(readability-identifier-naming): Boost.MSM requires this name
    struct transition_table : mpl::vector<
        Row<Uninitialized, Initialized,        Follower>,
        Row<Follower,      ElectionTimeout,    PreCandidate>,
        Row<Follower,      LeadershipReceived, Candidate>,
        Row<Follower,      LeaderSeen,         Follower>,
        Row<Follower,      Erased,             Uninitialized>,
        Row<PreCandidate,  ElectionTimeout,    PreCandidate>,
        Row<PreCandidate,  PreVoteWon,         Candidate>,
        Row<PreCandidate,  LeaderSeen,         Follower>,
        Row<PreCandidate,  Erased,             Uninitialized>,
        Row<Candidate,     ElectionTimeout,    PreCandidate>,
        Row<Candidate,     ElectionWon,        Leader>,
        Row<Candidate,     LeaderSeen,         Follower>,
        Row<Candidate,     Erased,             Uninitialized>,
        Row<Leader,        LeaderSeen,         Follower>> {};
    // clang-format on
    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int) {
        illegal = true;
    }
    bool illegal = false;
};

/// The current role of a voter. An event that the table does not allow leaves the role unchanged and
/// increments a counter.
struct RoleMachine {
    msm::back::state_machine<RoleTable> machine;
    RoleMachine() { machine.start(); }
    /// Performs the transition for the event; false if the table does not allow it in the current role.
    template <class Event>
    auto process(Event event, Counters& counters) -> bool {
        machine.illegal = false;
        machine.process_event(event);
        if (machine.illegal) counters.add("illegal_transitions_total");
        return !machine.illegal;
    }
};

}  // namespace duneturn
