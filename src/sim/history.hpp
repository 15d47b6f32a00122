#pragma once
// Checks that a history of orders and readbacks is linearizable: that it can come from one register which is
// changed by one order after another, each taking effect at some moment between its start and its end.
#include <cstdint>
#include <string>
#include <vector>

#include "base/time.hpp"

namespace duneturn {

/// An order (a conditional write of the configuration) or a readback.
struct HistoryOperation {
    bool read = false;
    Microseconds start = 0, end = -1;  // end: -1 if the outcome never became known
    int status = 0;                    // of an order: 200, 409, or 0 if unknown
    std::int64_t base = 0;             // of an order: the version that it requires
    std::int64_t version = 0;          // that an acknowledged order made, or that a readback read
    std::string value;                 // that an order writes, or that a readback read
    std::vector<int> appliedOrders;    // of a readback: the numbers of the applied orders, ascending
    int order = -1;                    // of an order: its number
};

/// Returns "" if some sequence of the operations, from a register of version 0 with `initialValue`, explains
/// all outcomes; otherwise a description of an operation that fits nowhere. An order of unknown outcome may
/// take effect at any later time, or never.
auto checkHistory(const std::vector<HistoryOperation>& operations, const std::string& initialValue)
    -> std::string;

}  // namespace duneturn
