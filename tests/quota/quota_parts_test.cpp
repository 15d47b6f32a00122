// The parts of the tenants' quotas alone.
#include <cstdint>
#include <string>
#include <vector>

#include "base/counters.hpp"
#include "base/json.hpp"
#include "quota/grant_reserve.hpp"
#include "quota/quota_account.hpp"
#include "quota/quota_ledger.hpp"
#include "quota/quota_replica.hpp"
#include "quota/sliding_window_counter.hpp"
#include "quota/token_bucket.hpp"
#include "test.hpp"

namespace duneturn {
namespace {

constexpr auto TENANT = "acme";
constexpr Microseconds BEGIN = 100 * SECOND;

/// A table with one tenant of 10 requests a second; without a limit if `rate` is 0.
auto table(double rate = 10) -> TenantTable {
    auto document = rapidjson::Document();
    auto text = R"({"tenants":{"acme":{"burst":5,"ratePerS":)" + std::to_string(rate) + "}}}";
    document.Parse(text.c_str());
    return TenantTable(document);
}

/// One node and one granter without a network between them.
struct Pair {
    Counters counters;
    QuotaAccount account{7, counters};
    wire::QuotaImage nothing;
    QuotaLedger ledger{1, &nothing, 0, counters, BEGIN};
    Microseconds now = BEGIN;

    Pair() {
        account.setTenants(table(), now);
        ledger.setTenants(table(), now);
        holdImage();
        exchange();  // the account learns the term
    }
    auto holdImage() -> void { ledger.confirmImage(ledger.image(now).sequence, now); }
    auto answer() -> wire::QuotaGrant {
        auto grant = ledger.take("n", account.report(now), now);
        grant.granter = "g";
        return grant;
    }
    auto exchange() -> void { (void)account.take(answer(), now); }
    auto reserve() -> QuotaReservation {
        auto reservation = QuotaReservation();
        if (account.reserve(TENANT, reservation, now) == QuotaDecision::Granted) return reservation;
        exchange();
        CHECK(account.reserveWaiting(TENANT, reservation, now) == QuotaDecision::Granted);
        return reservation;
    }
    [[nodiscard]] auto held() const -> std::int64_t { return account.outstanding(TENANT, now); }
    [[nodiscard]] auto view() const -> QuotaView { return ledger.views(now).front(); }
};

}  // namespace

TEST(QuotaParts, eventsCountAtLeastTheWindow) {
    auto count = SlidingWindowCounter(50 * MILLISECOND);
    count.add(3, 101 * MILLISECOND);
    count.expire(SECOND, 1101 * MILLISECOND);
    CHECK_EQ(std::int64_t(3), count.total());
    count.expire(SECOND, 1151 * MILLISECOND);
    CHECK_EQ(std::int64_t(0), count.total());
}

TEST(QuotaParts, agesAreRoundedDown) {
    auto count = SlidingWindowCounter(50 * MILLISECOND);
    count.add(1, 1000 * MILLISECOND);
    count.add(2, 1500 * MILLISECOND);
    CHECK(std::vector<std::int64_t>({0, 2, 0, 1}) == count.ages(250 * MILLISECOND, 1999 * MILLISECOND));
}

TEST(QuotaParts, aReserveIsOfNoUseBeforeAMajorityHoldsIt) {
    auto reserve = GrantReserve();
    reserve.announce(1, 4);
    CHECK_EQ(std::int64_t(0), reserve.remaining());
    reserve.confirm(1);
    CHECK_EQ(std::int64_t(4), reserve.remaining());
    reserve.grant(1);
    CHECK_EQ(std::int64_t(3), reserve.remaining());
}

TEST(QuotaParts, aSmallerReserveBindsAtOnce) {
    auto reserve = GrantReserve();
    reserve.announce(1, 100);
    reserve.announce(2, 4);
    reserve.confirm(1);
    CHECK_EQ(std::int64_t(4), reserve.remaining());
}

TEST(QuotaParts, aBucketRefillsToItsCapacity) {
    auto bucket = TokenBucket();
    bucket.configure(10, 20, BEGIN);
    bucket.charge(25);
    CHECK_EQ(std::int64_t(0), bucket.available());
    bucket.refill(BEGIN + 1 * SECOND);
    CHECK_EQ(std::int64_t(5), bucket.available());
    bucket.refill(BEGIN + 60 * SECOND);
    CHECK_EQ(std::int64_t(20), bucket.available());
}

TEST(QuotaParts, aTokenIsSpentOnce) {
    auto pair = Pair();
    auto reservation = pair.reserve();
    CHECK(pair.account.spend(reservation, pair.now));
    pair.exchange();
    CHECK_EQ(std::int64_t(1), pair.view().spent);
    CHECK_EQ(pair.held(), pair.view().outstanding);
    CHECK(!pair.account.spend(QuotaReservation{TENANT, reservation.lease + 1}, pair.now));
}

TEST(QuotaParts, aReportThatComesTwiceChangesNothing) {
    auto pair = Pair();
    CHECK(pair.account.spend(pair.reserve(), pair.now));
    auto report = pair.account.report(pair.now);
    (void)pair.ledger.take("n", report, pair.now);
    auto again = pair.ledger.take("n", report, pair.now);
    CHECK_EQ(std::int64_t(0), again.sequence);
    CHECK_EQ(std::int64_t(1), pair.view().spent);
}

TEST(QuotaParts, aTokenIsVoidAfterItsLease) {
    auto pair = Pair();
    auto reservation = pair.reserve();
    pair.now += QUOTA_LEASE;
    CHECK(!pair.account.spend(reservation, pair.now));
    CHECK_EQ(std::int64_t(0), pair.account.outstanding(TENANT, pair.now));
}

TEST(QuotaParts, tokensOfASilentNodeCountForAWindow) {
    auto pair = Pair();
    (void)pair.reserve();
    auto held = pair.held();
    CHECK(held > 0);
    pair.now += QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    pair.ledger.tick(pair.now);
    CHECK_EQ(std::int64_t(0), pair.view().outstanding);
    CHECK_EQ(held, pair.view().spent);
    pair.now += 5100 * MILLISECOND;
    CHECK_EQ(std::int64_t(0), pair.view().spent);
}

TEST(QuotaParts, aNodeThatComesBackSettlesWhatLapsed) {
    auto pair = Pair();
    (void)pair.reserve();
    pair.now += QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    pair.ledger.tick(pair.now);
    pair.holdImage();
    pair.exchange();
    CHECK_EQ(std::int64_t(0), pair.view().spent);
    CHECK_EQ(pair.held(), pair.view().outstanding);
}

TEST(QuotaParts, aTenantWithoutALimitCostsNothing) {
    auto counters = Counters();
    auto account = QuotaAccount(7, counters);
    account.setTenants(table(0), BEGIN);
    auto reservation = QuotaReservation();
    CHECK(account.reserve(TENANT, reservation, BEGIN) == QuotaDecision::Granted);
    CHECK(reservation.tenant.empty());
    CHECK(account.spend(reservation, BEGIN));
    CHECK(!account.reportDue(BEGIN + 10 * SECOND));
}

TEST(QuotaParts, aNodeWithoutTokensIsSilent) {
    auto pair = Pair();
    CHECK(pair.account.spend(pair.reserve(), pair.now));
    for (auto i = 0; i < 60; i++) {
        pair.holdImage();
        if (pair.account.reportDue(pair.now)) pair.exchange();
        pair.now += QUOTA_REPORT_INTERVAL;
    }
    CHECK_EQ(std::int64_t(0), pair.held());
    CHECK(!pair.account.reportDue(pair.now + 10 * SECOND));
}

TEST(QuotaParts, aVoterFollowsNoLowerTerm) {
    auto replica = QuotaReplica(BEGIN);
    auto image = wire::QuotaImage();
    image.term = 3;
    image.sequence = 1;
    CHECK(replica.take(image, BEGIN));
    auto answer = wire::QuotaImageAnswer();
    CHECK(replica.promise(4, 5 * SECOND, answer, BEGIN + SECOND));
    CHECK_EQ(std::int64_t(3), answer.image.term);
    CHECK_EQ(SECOND, answer.age);
    CHECK(!answer.known);
    image.sequence = 2;
    CHECK(!replica.take(image, BEGIN + SECOND));
}

TEST(QuotaParts, aGranterThatKnowsNothingGrantsNothingUntilAllHasLapsed) {
    auto pair = Pair();
    auto ledger = QuotaLedger(2, nullptr, 0, pair.counters, pair.now);
    ledger.setTenants(table(), pair.now);
    auto allowanceAt = [&](Microseconds now, std::int64_t sequence) {
        ledger.tick(now);
        ledger.confirmImage(ledger.image(now).sequence, now);
        auto report = wire::QuotaReport();
        report.life = 9;
        report.sequence = sequence;
        report.term = 2;
        report.uses.emplace_back();
        report.uses.back().tenant = TENANT;
        report.uses.back().waiting = 1;
        return ledger.take("m", report, now).allowances.front();
    };
    auto free = pair.now + QUOTA_PREDECESSOR_LAPSE + table().bounds().window;
    CHECK(allowanceAt(free - 100 * MILLISECOND, 1).refused);
    CHECK_EQ(std::int64_t(1), allowanceAt(free + 100 * MILLISECOND, 2).granted);
}

}  // namespace duneturn
