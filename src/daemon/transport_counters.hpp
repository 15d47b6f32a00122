#pragma once
// The counters of threads that must not wait for Logic::mutex.
#include <mutex>
#include <string>
#include <string_view>

#include "base/counters.hpp"

namespace duneturn {

/// Of the transports: connections of clients and channels to peers.
struct TransportCounters {
    std::mutex mutex;
    Counters counters;  // guarded by `mutex`

    auto add(std::string_view name) -> void {
        auto lock = std::lock_guard(mutex);
        counters.add(name);
    }
    auto text() -> std::string {
        auto lock = std::lock_guard(mutex);
        return counters.text();
    }
};

}  // namespace duneturn
