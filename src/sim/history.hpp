#pragma once
// Whether a history of orders and readbacks could have come from one register that is
// changed by one order after another, each at some moment between asking and reply.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

struct HistOp {
    bool read = false;
    Microseconds from = 0, to = -1;  // to: -1 if no outcome was ever told
    int status = 0;                  // of an order: 200, 409, or 0 if not known
    std::int64_t base = 0;           // an order's
    std::int64_t version = 0;        // that an order was told it made, or a readback read
    std::string what;                // that an order writes, or a readback read
    std::vector<int> applied;        // a readback's: the orders (by place) of known success, rising
    int who = -1;                    // an order's place among orders
};

/// "" if some order of the operations explains all replies; else what could not be placed.
/// An order of unknown outcome may take effect at any later time, or never.
auto historyCheck(const std::vector<HistOp>& ops, const std::string& first) -> std::string;

}  // namespace duneturn
