#include "routing/request_phases.hpp"

#include <memory>

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "base/counters.hpp"

namespace duneturn {

namespace msm = boost::msm;
namespace mpl = boost::mpl;

struct EvSend {};
struct EvBytes {};
struct EvLoss {};
struct EvWait {};
struct EvEnd {};

struct RequestDef : msm::front::state_machine_def<RequestDef> {
    struct Queued : msm::front::state<> {};
    struct Sending : msm::front::state<> {};
    struct Delivering : msm::front::state<> {};
    struct Migrating : msm::front::state<> {};
    struct Finished : msm::front::state<> {};
    using initial_state = Queued;
    template <class S, class E, class T>
    using R = msm::front::Row<S, E, T, msm::front::none, msm::front::none>;
    struct transition_table
        : mpl::vector<R<Queued, EvSend, Sending>, R<Queued, EvEnd, Finished>, R<Sending, EvBytes, Delivering>,
              R<Sending, EvLoss, Migrating>, R<Sending, EvEnd, Finished>, R<Delivering, EvBytes, Delivering>,
              R<Delivering, EvLoss, Migrating>, R<Delivering, EvEnd, Finished>, R<Migrating, EvSend, Sending>,
              R<Migrating, EvWait, Queued>, R<Migrating, EvEnd, Finished>> {};
    template <class F, class E>
    void no_transition(E const&, F&, int) {
        wrong = true;
    }
    bool wrong = false;
};

struct RequestMachine {
    msm::back::state_machine<RequestDef> m;
    RequestMachine() { m.start(); }
    template <class E>
    auto go(E e) -> bool {
        m.wrong = false;
        m.process_event(e);
        return !m.wrong;
    }
};

Request::Request() : machine(std::make_unique<RequestMachine>()) {}
Request::Request(Request&&) noexcept = default;
auto Request::operator=(Request&&) noexcept -> Request& = default;
Request::~Request() = default;
auto Request::phase() const -> Phase { return Phase(machine->m.current_state()[0]); }

auto turn(Request& request, Counters& counters, PhaseEvent event) -> void {
    auto& machine = *request.machine;
    auto legal = false;
    switch (event) {
    case PhaseEvent::Send: legal = machine.go(EvSend{}); break;
    case PhaseEvent::Bytes: legal = machine.go(EvBytes{}); break;
    case PhaseEvent::Loss: legal = machine.go(EvLoss{}); break;
    case PhaseEvent::Wait: legal = machine.go(EvWait{}); break;
    case PhaseEvent::End: legal = machine.go(EvEnd{}); break;
    }
    if (!legal) counters.add("illegal_transitions_total");
}

}  // namespace duneturn
