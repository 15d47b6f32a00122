// The judge of configuration orders: histories that one register explains, and ones that none does.
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/time.hpp"
#include "operator_history.hpp"
#include "test.hpp"

namespace duneturn::sim {

namespace {

// Orders are sent and answered in the order of their ids, unless a test says otherwise.
struct History {
    std::vector<OperatorOrder> orders;

    auto add(OrderKind kind, std::int64_t base, std::int64_t number, int status) -> OperatorOrder& {
        auto order = OperatorOrder();
        order.id = int(orders.size());
        order.kind = kind;
        order.base = base;
        order.number = number;
        order.routes = {{"probe", fmt::format("s{}/1000", number)}};
        order.sentAt = order.id * 10;
        order.answeredAt = status ? order.sentAt + 5 : NEVER;
        order.status = status;
        orders.push_back(order);
        return orders.back();
    }
    auto put(std::int64_t base, std::int64_t number, int status) -> OperatorOrder& {
        return add(OrderKind::Put, base, number, status);
    }
    auto read(std::int64_t number) -> OperatorOrder& { return add(OrderKind::Read, 0, number, 200); }
    auto rules() const -> std::vector<std::string> {
        auto found = std::vector<std::string>();
        for (auto& violation : checkConfigurationHistory(orders)) found.push_back(violation.rule);
        return found;
    }
    auto breaks(const std::string& rule) const -> bool {
        auto found = rules();
        return std::find(found.begin(), found.end(), rule) != found.end();
    }
};

}  // namespace

TEST(OperatorHistory, aRegisterExplains) {
    auto history = History();
    history.put(0, 2, 200);
    history.put(2, 5, 200);
    history.put(2, 4, 412);
    history.read(5);
    history.put(5, 8, 0);    // no answer, and yet it took effect
    history.put(8, 9, 200);  // built upon what a read returned
    history.read(9);
    history.put(9, 12, 0);  // may come, or never
    history.put(9, 13, 412).answeredAt = 95;
    CHECK_EQ(std::size_t(0), history.rules().size());
}

TEST(OperatorHistory, twoWinnersOnOneVersion) {
    auto history = History();
    history.put(0, 2, 200);
    history.put(2, 4, 200);
    history.put(2, 5, 200);
    CHECK(history.breaks("one of two orders on the same version wins"));
}

TEST(OperatorHistory, refusals) {
    auto history = History();
    history.put(0, 2, 200);
    history.put(2, 4, 412);  // nobody else changed version 2
    CHECK(history.breaks("an order is refused only if another came first"));
    auto inForce = History();
    inForce.put(0, 2, 200);
    inForce.put(2, 4, 412);
    inForce.put(2, 5, 0);
    inForce.read(4);
    CHECK(inForce.breaks("a refused or invalid order never comes into force"));
    auto invalid = History();
    invalid.put(0, 2, 200);
    invalid.put(2, 2, 200).valid = false;
    CHECK(invalid.breaks("an invalid order is never accepted"));
    auto calledInvalid = History();
    calledInvalid.put(0, 2, 400);
    CHECK(calledInvalid.breaks("a valid order is not called invalid"));
    auto again = History();
    again.put(0, 2, 200);
    again.put(2, 4, 200);
    again.put(0, 2, 412).resendOf = 0;
    CHECK(again.breaks("an accepted order sent again is never refused"));
}

TEST(OperatorHistory, reads) {
    auto old = History();
    old.put(0, 2, 200);
    old.put(2, 4, 200);
    old.read(2);
    CHECK(old.breaks("a read is never older than what was known"));
    auto back = History();
    back.put(0, 2, 200);
    back.put(2, 4, 0);
    back.read(4);
    back.read(2);
    CHECK(back.breaks("a read is never older than what was known"));
    auto invented = History();
    invented.put(0, 2, 200);
    invented.read(2).routes["probe"] = "s7/1000";
    CHECK(invented.breaks("a read returns what was sent under its number"));
    auto none = History();
    none.put(0, 2, 200);
    none.add(OrderKind::Read, 0, 0, 404);
    CHECK(none.breaks("a read is never older than what was known"));
}

TEST(OperatorHistory, aGapInTheChain) {
    auto history = History();
    history.put(0, 2, 200);
    history.put(3, 4, 200);  // nobody made version 3
    CHECK(history.breaks("accepted orders form one chain of versions"));
}

TEST(OperatorHistory, outOfTime) {
    auto history = History();
    history.put(0, 2, 200);
    history.put(2, 4, 0).sentAt = 90;
    history.put(4, 5, 200);
    CHECK(history.breaks("accepted orders form one chain of versions"));
}

// Orders on one service: 2, which 5 followed at 15, and 9, which was refused.
TEST(OperatorHistory, ordersOfServiceThatIsUsedAgain) {
    auto history = History();
    history.put(0, 2, 200).service = 1;
    history.put(2, 5, 200).service = 2;
    history.put(2, 9, 412).service = 1;
    history.put(5, 10, 200).service = 3;
    auto numbers = [&](Microseconds leftBefore) {
        auto found = std::vector<std::int64_t>();
        for (auto order : ordersOfService(history.orders, 1, leftBefore)) found.push_back(order->number);
        return found;
    };
    CHECK(numbers(10) == std::vector<std::int64_t>({2, 9}));  // a node out of touch since 10 may go by 2
    CHECK(numbers(20) == std::vector<std::int64_t>({9}));
    CHECK(numbers(40).empty());
    CHECK(ordersOfService(history.orders, 4, 0).empty());
}

}  // namespace duneturn::sim
