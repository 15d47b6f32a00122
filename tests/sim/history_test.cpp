#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "base/time.hpp"
#include "sim/history.hpp"
#include "test.hpp"

namespace duneturn {

static auto write(Microseconds start, Microseconds end, int status, std::int64_t base, std::int64_t version,
    std::string value, int order) -> HistoryOperation {
    auto operation = HistoryOperation();
    operation.start = start;
    operation.end = end;
    operation.status = status;
    operation.base = base;
    operation.version = version;
    operation.value = value;
    operation.order = order;
    return operation;
}

static auto read(Microseconds start, Microseconds end, std::int64_t version, std::string value,
    std::vector<int> appliedOrders) -> HistoryOperation {
    auto operation = HistoryOperation();
    operation.read = true;
    operation.start = start;
    operation.end = end;
    operation.version = version;
    operation.value = value;
    operation.appliedOrders = std::move(appliedOrders);
    return operation;
}

static auto check(const std::vector<HistoryOperation>& operations) -> std::string {
    return checkHistory(operations, "");
}

TEST(History, acceptsRacingOrders) {
    CHECK_EQ(std::string(), check({}));
    // Two orders race; one readback overlaps both, the other sees the result.
    CHECK_EQ(std::string(),
        check({write(0, 10, 200, 0, 1, "a", 0), write(1, 9, 409, 0, 0, "b", 1), read(2, 8, 0, "", {}),
            read(3, 9, 1, "a", {0})}));
}

TEST(History, rejectsWhatNoRegisterCanShow) {
    // A readback sees an older version than an earlier one.
    CHECK(check({write(0, 1, 200, 0, 1, "a", 0), read(2, 3, 1, "a", {0}), read(4, 5, 0, "", {})}) != "");
    // An acknowledged order is not read afterwards.
    CHECK(check({write(0, 1, 200, 0, 1, "a", 0), read(2, 3, 0, "", {})}) != "");
    // Two orders with the same base were both acknowledged.
    CHECK(check({write(0, 5, 200, 0, 1, "a", 0), write(0, 5, 200, 0, 1, "b", 1)}) != "");
    // An order was rejected as outdated without another that could have preceded it.
    CHECK(check({write(0, 5, 409, 0, 0, "a", 0)}) != "");
}

// An order of unknown outcome may take effect late or never, but neither twice nor in part.
TEST(History, checksOrdersOfUnknownOutcome) {
    auto unknown = write(0, -1, 0, 0, 0, "a", 0);
    CHECK_EQ(std::string(), check({unknown, read(10, 11, 0, "", {}), read(20, 21, 1, "a", {0})}));
    CHECK_EQ(std::string(), check({unknown, read(10, 11, 0, "", {})}));
    CHECK(check({unknown, read(10, 11, 1, "a", {})}) != "");
    CHECK(check({unknown, read(10, 11, 1, "a", {0}), read(20, 21, 0, "", {})}) != "");
}

// A history of 24 operations on a real register; outcomes of one fifth of the orders are unknown.
static auto randomHistory(RandomSource& random) -> std::vector<HistoryOperation> {
    auto operations = std::vector<HistoryOperation>();
    auto version = std::int64_t(0);
    auto value = std::string();
    auto appliedOrders = std::vector<int>();
    for (auto i = 0; i < 24; i++) {
        auto takesEffectAt = Microseconds(i) * 100 + 50;
        auto start = takesEffectAt - Microseconds(random.below(250));
        auto end = takesEffectAt + Microseconds(random.below(250));
        if (random.chance(.5)) {
            operations.push_back(read(start, end, version, value, appliedOrders));
            continue;
        }
        auto base = version - std::int64_t(random.below(2));
        auto order = write(start, end, 200, base, 0, fmt::format("v{}", i), i);
        if (order.base == version) {
            order.version = ++version;
            value = order.value;
            appliedOrders.push_back(i);
        } else order.status = 409;
        if (random.chance(.2)) order.end = -1, order.status = 0;
        operations.push_back(order);
    }
    return operations;
}

// Histories of a real register are always accepted, and rejected once the version of one readback is changed.
TEST(History, findsOneChangedReadback) {
    auto random = RandomSource{5};
    auto caught = 0, changed = 0;
    for (auto i = 0; i < 300; i++) {
        auto operations = randomHistory(random);
        CHECK_EQ(std::string(), check(operations));
        for (auto& operation : operations)
            if (operation.read && random.chance(.3)) {
                operation.version += random.chance(.5) ? 1 : -1;
                changed++;
                caught += check(operations) != "";
                break;
            }
    }
    CHECK(changed > 100);
    CHECK_EQ(changed, caught);
}

}  // namespace duneturn
