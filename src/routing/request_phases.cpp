#include "routing/request_phases.hpp"

#include <memory>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace duneturn {
namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct SendEvent {};
struct BytesEvent {};
struct LossEvent {};
struct WaitEvent {};
struct EndEvent {};

// The table of phases. Its states are numbered in the order of Phase.
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
        Transition<Queued, SendEvent, Sending>,
        Transition<Queued, EndEvent, Finished>,
        Transition<Sending, BytesEvent, Delivering>,
        Transition<Sending, LossEvent, Migrating>,
        Transition<Sending, EndEvent, Finished>,
        Transition<Delivering, BytesEvent, Delivering>,
        Transition<Delivering, LossEvent, Migrating>,
        Transition<Delivering, EndEvent, Finished>,
        Transition<Migrating, SendEvent, Sending>,
        Transition<Migrating, WaitEvent, Queued>,
        Transition<Migrating, EndEvent, Finished>> {};
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
    // Whether the table allows the event.
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

auto turn(Request& request, Counters& counters, PhaseEvent event) -> void {
    auto& machine = *request.machine;
    auto isLegal = false;
    switch (event) {
    case PhaseEvent::Send: isLegal = machine.process(SendEvent{}); break;
    case PhaseEvent::Bytes: isLegal = machine.process(BytesEvent{}); break;
    case PhaseEvent::Loss: isLegal = machine.process(LossEvent{}); break;
    case PhaseEvent::Wait: isLegal = machine.process(WaitEvent{}); break;
    case PhaseEvent::End: isLegal = machine.process(EndEvent{}); break;
    }
    if (!isLegal) counters.add("illegal_transitions_total");
}

}  // namespace duneturn
