#pragma once
// Calls of the node whose outcome comes later, as orders and confirmed reads: coroutines wait here for it.
#include <cstdint>
#include <functional>
#include <map>

#include "control/operator_connection_watch.hpp"
#include "daemon/logic.hpp"
#include "net/http.hpp"

namespace duneturn {

class NodeCalls {
  public:
    /// Begins a call under the number that it is given. Called with Logic::mutex held.
    using Begin = std::function<void(std::int64_t)>;

    explicit NodeCalls(Logic& logic) : logic_(logic) {}

    /// Begins a call and waits for its outcome. `watch`, if there is one, knows the call's number meanwhile.
    auto run(Begin begin, OperatorConnectionWatch* watch = nullptr) -> asio::awaitable<Outcome>;
    /// The outcome of a call (NodePort::done). With Logic::mutex held.
    auto finish(std::int64_t call, const Outcome& outcome) -> void;
    /// The caller of a watched request is gone: the call under way, if any, ends.
    auto cancel(const OperatorConnectionWatch& watch) -> void;

  private:
    Logic& logic_;
    // Guarded by Logic::mutex.
    std::map<std::int64_t, std::function<void(const Outcome&)>> waiting_;
    std::int64_t lastCall_ = 0;
};

}  // namespace duneturn
