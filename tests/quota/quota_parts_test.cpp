// Unit tests of the classes in src/quota.
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

/// A table with one tenant. `rate`: its limit in requests per second; 0 for none.
auto tenantTable(double rate = 10) -> TenantTable {
    auto document = rapidjson::Document();
    auto text = R"({"tenants":{"acme":{"burst":5,"ratePerS":)" + std::to_string(rate) + "}}}";
    document.Parse(text.c_str());
    return TenantTable(document);
}

/// One node and one granter, which exchange messages without a network. The node has received the term.
struct NodeAndGranter {
    Counters counters;
    QuotaAccount account{7, counters};
    wire::QuotaImage emptyImage;
    QuotaLedger ledger{1, &emptyImage, 0, counters, BEGIN};
    Microseconds now = BEGIN;

    NodeAndGranter() {
        account.setTenants(tenantTable(), now);
        ledger.setTenants(tenantTable(), now);
        replicateImage();
        reportAndApplyGrant();
    }
    /// Makes an image that a majority acknowledges at once, which renews the granter's lease and reserve.
    auto replicateImage() -> void { ledger.confirmImage(ledger.image(now).sequence, now); }
    auto answerReport() -> wire::QuotaGrant {
        auto grant = ledger.take("n", account.report(now), now);
        grant.granter = "g";
        return grant;
    }
    auto reportAndApplyGrant() -> void { (void)account.take(answerReport(), now); }
    /// Reserves a token, after a report if the node has none.
    auto reserve() -> QuotaReservation {
        auto reservation = QuotaReservation();
        if (account.reserve(TENANT, reservation, now) == QuotaDecision::Granted) return reservation;
        reportAndApplyGrant();
        CHECK(account.reserveWaiting(TENANT, reservation, now) == QuotaDecision::Granted);
        return reservation;
    }
    [[nodiscard]] auto outstandingAtNode() const -> std::int64_t { return account.outstanding(TENANT, now); }
    [[nodiscard]] auto view() const -> QuotaView { return ledger.views(now).front(); }
};

}  // namespace

TEST(QuotaParts, eventsAreCountedForAtLeastTheWindow) {
    auto counter = SlidingWindowCounter(50 * MILLISECOND);
    counter.add(3, 101 * MILLISECOND);
    counter.expire(SECOND, 1101 * MILLISECOND);
    CHECK_EQ(std::int64_t(3), counter.total());
    counter.expire(SECOND, 1151 * MILLISECOND);
    CHECK_EQ(std::int64_t(0), counter.total());
}

TEST(QuotaParts, agesAreRoundedDown) {
    auto counter = SlidingWindowCounter(50 * MILLISECOND);
    counter.add(1, 1000 * MILLISECOND);
    counter.add(2, 1500 * MILLISECOND);
    CHECK(std::vector<std::int64_t>({0, 2, 0, 1})
        == counter.countsByAge(250 * MILLISECOND, 1999 * MILLISECOND));
}

TEST(QuotaParts, aReserveIsUnusableBeforeAMajorityAcknowledgesIt) {
    auto reserve = GrantReserve();
    reserve.addImage(1, 4);
    CHECK_EQ(std::int64_t(0), reserve.remaining());
    reserve.confirm(1);
    CHECK_EQ(std::int64_t(4), reserve.remaining());
    reserve.grant(1);
    CHECK_EQ(std::int64_t(3), reserve.remaining());
}

TEST(QuotaParts, aSmallerReserveTakesEffectBeforeItIsAcknowledged) {
    auto reserve = GrantReserve();
    reserve.addImage(1, 100);
    reserve.addImage(2, 4);
    reserve.confirm(1);
    CHECK_EQ(std::int64_t(4), reserve.remaining());
}

TEST(QuotaParts, aBucketRefillsUpToItsCapacity) {
    auto bucket = TokenBucket();
    bucket.configure(10, 20, BEGIN);
    bucket.charge(25);
    CHECK_EQ(std::int64_t(0), bucket.available());
    bucket.refill(BEGIN + 1 * SECOND);
    CHECK_EQ(std::int64_t(5), bucket.available());
    bucket.refill(BEGIN + 60 * SECOND);
    CHECK_EQ(std::int64_t(20), bucket.available());
}

TEST(QuotaParts, aSpentTokenIsCountedOnceAndAVoidOneIsRejected) {
    auto cluster = NodeAndGranter();
    auto reservation = cluster.reserve();
    CHECK(cluster.account.spend(reservation, cluster.now));
    cluster.reportAndApplyGrant();
    CHECK_EQ(std::int64_t(1), cluster.view().spent);
    CHECK_EQ(cluster.outstandingAtNode(), cluster.view().outstanding);
    CHECK(!cluster.account.spend(QuotaReservation{TENANT, reservation.leaseNumber + 1}, cluster.now));
}

TEST(QuotaParts, aDuplicateReportIsIgnored) {
    auto cluster = NodeAndGranter();
    CHECK(cluster.account.spend(cluster.reserve(), cluster.now));
    auto report = cluster.account.report(cluster.now);
    (void)cluster.ledger.take("n", report, cluster.now);
    auto again = cluster.ledger.take("n", report, cluster.now);
    CHECK_EQ(std::int64_t(0), again.sequence);
    CHECK_EQ(std::int64_t(1), cluster.view().spent);
}

TEST(QuotaParts, aReservationIsVoidAfterTheLeaseExpires) {
    auto cluster = NodeAndGranter();
    auto reservation = cluster.reserve();
    cluster.now += QUOTA_LEASE;
    CHECK(!cluster.account.spend(reservation, cluster.now));
    CHECK_EQ(std::int64_t(0), cluster.account.outstanding(TENANT, cluster.now));
}

TEST(QuotaParts, expiredTokensOfAnUnresponsiveNodeCountAsSpentForAWindow) {
    auto cluster = NodeAndGranter();
    (void)cluster.reserve();
    auto outstanding = cluster.outstandingAtNode();
    CHECK(outstanding > 0);
    cluster.now += QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    cluster.ledger.tick(cluster.now);
    CHECK_EQ(std::int64_t(0), cluster.view().outstanding);
    CHECK_EQ(outstanding, cluster.view().spent);
    cluster.now += 5100 * MILLISECOND;
    CHECK_EQ(std::int64_t(0), cluster.view().spent);
}

TEST(QuotaParts, aReturningNodeReconcilesItsExpiredTokens) {
    auto cluster = NodeAndGranter();
    (void)cluster.reserve();
    cluster.now += QUOTA_LEASE + QUOTA_LEASE_MARGIN;
    cluster.ledger.tick(cluster.now);
    cluster.replicateImage();
    cluster.reportAndApplyGrant();
    CHECK_EQ(std::int64_t(0), cluster.view().spent);
    CHECK_EQ(cluster.outstandingAtNode(), cluster.view().outstanding);
}

TEST(QuotaParts, aTenantWithoutALimitNeedsNoTokensAndNoReports) {
    auto counters = Counters();
    auto account = QuotaAccount(7, counters);
    account.setTenants(tenantTable(0), BEGIN);
    auto reservation = QuotaReservation();
    CHECK(account.reserve(TENANT, reservation, BEGIN) == QuotaDecision::Granted);
    CHECK(reservation.tenant.empty());
    CHECK(account.spend(reservation, BEGIN));
    CHECK(!account.reportDue(BEGIN + 10 * SECOND));
}

TEST(QuotaParts, aNodeWithoutTokensSendsNoReports) {
    auto cluster = NodeAndGranter();
    CHECK(cluster.account.spend(cluster.reserve(), cluster.now));
    for (auto i = 0; i < 60; i++) {
        cluster.replicateImage();
        if (cluster.account.reportDue(cluster.now)) cluster.reportAndApplyGrant();
        cluster.now += QUOTA_REPORT_INTERVAL;
    }
    CHECK_EQ(std::int64_t(0), cluster.outstandingAtNode());
    CHECK(!cluster.account.reportDue(cluster.now + 10 * SECOND));
}

TEST(QuotaParts, aVoterRejectsImagesOfALowerTermThanItPromised) {
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

TEST(QuotaParts, aGranterWithoutAnImageGrantsNothingUntilEarlierTokensExpired) {
    auto cluster = NodeAndGranter();
    auto ledger = QuotaLedger(2, nullptr, 0, cluster.counters, cluster.now);
    ledger.setTenants(tenantTable(), cluster.now);
    auto allowanceAt = [&](Microseconds now, std::int64_t sequence) {
        ledger.tick(now);
        ledger.confirmImage(ledger.image(now).sequence, now);
        auto report = wire::QuotaReport();
        report.life = 9;
        report.sequence = sequence;
        report.term = 2;
        auto& usage = report.uses.emplace_back();
        usage.tenant = TENANT;
        usage.waiting = 1;
        return ledger.take("m", report, now).allowances.front();
    };
    auto expiredAt = cluster.now + QUOTA_PREDECESSOR_EXPIRY + tenantTable().bounds().window;
    CHECK(allowanceAt(expiredAt - 100 * MILLISECOND, 1).refused);
    CHECK_EQ(std::int64_t(1), allowanceAt(expiredAt + 100 * MILLISECOND, 2).granted);
}

}  // namespace duneturn
