#include "routing/request_phases.hpp"

#include <memory>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace duneturn {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct AttemptStarted {};
struct BytesForwarded {};
struct AttemptLost {};
struct Requeued {};
struct RequestEnded {};

// The transition table. boost::msm numbers the states by their order in the table. It must be the order of
// Phase, since Request::phase converts the numbers.
struct PhaseTable : msm::front::state_machine_def<PhaseTable> {
    struct Queued : msm::front::state<> {};
    struct Sending : msm::front::state<> {};
    struct Delivering : msm::front::state<> {};
    struct Migrating : msm::front::state<> {};
    struct Finished : msm::front::state<> {};
    using initial_state = Queued;  // NOLINT: the library's name

    template <class From, class Event, class To>
    using Transition = msm::front::Row<From, Event, To, msm::front::none, msm::front::none>;
    // clang-format off
    struct transition_table : mpl::vector<  // NOLINT: the library's name
        Transition<Queued, AttemptStarted, Sending>,
        Transition<Queued, RequestEnded, Finished>,
        Transition<Sending, BytesForwarded, Delivering>,
        Transition<Sending, AttemptLost, Migrating>,
        Transition<Sending, RequestEnded, Finished>,
        Transition<Delivering, BytesForwarded, Delivering>,
        Transition<Delivering, AttemptLost, Migrating>,
        Transition<Delivering, RequestEnded, Finished>,
        Transition<Migrating, AttemptStarted, Sending>,
        Transition<Migrating, Requeued, Queued>,
        Transition<Migrating, RequestEnded, Finished>> {};
    // clang-format on

    template <class Machine, class Event>
    void no_transition(Event const&, Machine&, int) {  // NOLINT: the library's name
        isIllegal = true;
    }
    bool isIllegal = false;
};

}  // namespace

struct RequestMachine {
    msm::back::state_machine<PhaseTable> phases;

    RequestMachine() { phases.start(); }
    // Applies the event; returns whether the table allows it in the current phase.
    template <class Event>
    auto process(Event event) -> bool {
        phases.isIllegal = false;
        phases.process_event(event);
        return !phases.isIllegal;
    }
};

Request::Request() : machine(std::make_unique<RequestMachine>()) {}
Request::Request(Request&&) noexcept = default;
auto Request::operator=(Request&&) noexcept -> Request& = default;
Request::~Request() = default;
auto Request::phase() const -> Phase { return Phase(machine->phases.current_state()[0]); }

auto applyPhaseEvent(Request& request, Counters& counters, PhaseEvent event) -> void {
    auto& machine = *request.machine;
    auto isLegal = false;
    switch (event) {
    case PhaseEvent::AttemptStarted: isLegal = machine.process(AttemptStarted{}); break;
    case PhaseEvent::BytesForwarded: isLegal = machine.process(BytesForwarded{}); break;
    case PhaseEvent::AttemptLost: isLegal = machine.process(AttemptLost{}); break;
    case PhaseEvent::Requeued: isLegal = machine.process(Requeued{}); break;
    case PhaseEvent::RequestEnded: isLegal = machine.process(RequestEnded{}); break;
    }
    if (!isLegal) counters.add("illegal_transitions_total");
}

}  // namespace duneturn
