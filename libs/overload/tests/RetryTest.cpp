#include <cmath>
#include <vector>

#include <catch2/catch.hpp>

#include "overload/RetryAfter.h"
#include "overload/RetryLedger.h"
#include "overload/RetryRatio.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };
const RequestId kRequest{ "r1" };

enum class LedgerOp : uint8_t
{
  Begin,
  End,
  Expire,
  ExpectGrant,   ///< One more grant must succeed.
  ExpectRefusal, ///< One more grant must fail.
};

struct LedgerStep
{
  LedgerOp mOp;
  int mSecond = 0;
};

struct LedgerCase
{
  const char* mName;
  std::vector<LedgerStep> mSteps;
};

} // namespace

// Guards against a request that gets more grants than its budget, whatever the
// client and the messages do.
TEST_CASE("the ledger bounds the grants of a request", "[ledger]")
{
  using enum LedgerOp;
  const std::vector<LedgerCase> cases{
    { "two grants and no more",
      { { Begin }, { ExpectGrant }, { ExpectGrant }, { ExpectRefusal } } },
    { "never begun", { { ExpectRefusal } } },
    { "nothing after the final answer",
      { { Begin }, { ExpectGrant }, { End }, { ExpectRefusal } } },
    { "same id again within the time continues the budget",
      { { Begin },
        { ExpectGrant },
        { End },
        { Begin, 59 },
        { ExpectGrant, 59 },
        { ExpectRefusal, 59 } } },
    { "same id again after the time starts anew",
      { { Begin },
        { ExpectGrant },
        { ExpectGrant },
        { End },
        { Begin, 60 },
        { ExpectGrant, 60 },
        { ExpectGrant, 60 },
        { ExpectRefusal, 60 } } },
    { "same id while the first is running shares the budget",
      { { Begin },
        { Begin },
        { ExpectGrant },
        { ExpectGrant },
        { ExpectRefusal } } },
    { "one of two ended, the other still runs",
      { { Begin },
        { Begin },
        { End },
        { ExpectGrant },
        { End },
        { ExpectRefusal } } },
    { "end twice",
      { { Begin }, { End }, { End }, { Begin }, { ExpectGrant } } },
    { "expiry does not drop a running request",
      { { Begin },
        { ExpectGrant },
        { Expire, 500 },
        { ExpectGrant, 500 },
        { ExpectRefusal, 500 } } },
    { "an old end does not expire a request that was reopened",
      { { Begin },
        { ExpectGrant },
        { ExpectGrant },
        { End },
        { Begin, 50 },
        { End, 55 },
        { Expire, 70 },
        { Begin, 71 },
        { ExpectRefusal, 71 } } },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    RetryLedger ledger({});
    size_t stepIndex = 0;
    for (const auto& [op, second] : test.mSteps) {
      INFO("step " << stepIndex++);
      const TimePoint now = kStart + seconds(second);
      switch (op) {
        case Begin:
          ledger.Begin(now, kRequest);
          break;
        case End:
          ledger.End(now, kRequest);
          break;
        case Expire:
          ledger.Expire(now);
          break;
        case ExpectGrant:
          CHECK(ledger.Grant(now, kRequest, 2));
          break;
        case ExpectRefusal:
          CHECK_FALSE(ledger.Grant(now, kRequest, 2));
          break;
      }
    }
  }
}

// Guards against memory without bound, and against a full ledger that grants
// without a record.
TEST_CASE("a full ledger grants nothing to new requests", "[ledger]")
{
  RetryLedger ledger({ .mCapacity = 2 });
  for (const char* id : { "a", "b", "c" }) {
    ledger.Begin(kStart, { id });
  }
  CHECK(ledger.Size() == 2);
  CHECK_FALSE(ledger.Grant(kStart, { "c" }, 3));
  CHECK(ledger.Grant(kStart, { "a" }, 3));
  ledger.End(kStart, { "a" });
  ledger.Begin(kStart + seconds(60), { "d" });
  CHECK(ledger.Grant(kStart + seconds(60), { "d" }, 3));
  CHECK(ledger.Size() == 2);
}

// Guards against retries above their share of first attempts.
TEST_CASE("retries stay at their share of first attempts", "[ledger]")
{
  RetryRatio ratio;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    ratio.FirstAttempt(0.1);
    granted += ratio.TryTake() ? 1 : 0;
    granted += ratio.TryTake() ? 1 : 0;
  }
  CHECK(granted >= 100);
  CHECK(granted <= 110);
}

// Guards against callers that return together or never.
TEST_CASE("retry-after times spread with the demand", "[retry-after]")
{
  for (const double ratio : { 1.0, 2.0, 10.0, 1e9, 0.0, -1.0, std::nan("") }) {
    INFO("ratio " << ratio);
    Rng rng(7);
    Duration shortest = minutes(1);
    Duration longest{};
    for (int i = 0; i < 1000; ++i) {
      const Duration delay = DrawRetryAfter(rng, ratio);
      shortest = std::min(shortest, delay);
      longest = std::max(longest, delay);
    }
    CHECK(shortest >= milliseconds(50));
    CHECK(longest <= seconds(15));
    CHECK(longest >= shortest * 2);
  }
  Rng rng(7);
  Duration sumLow{};
  Duration sumHigh{};
  for (int i = 0; i < 1000; ++i) {
    sumLow += DrawRetryAfter(rng, 1);
    sumHigh += DrawRetryAfter(rng, 10);
  }
  CHECK(sumHigh > 2 * sumLow);
}

// Guards against retries that add up over the nodes of a fleet.
TEST_CASE("retries stay within their share of first attempts", "[retry]")
{
  RetryRatio ratio({ .mReserve = 1, .mMost = 5 });
  int retries = 0;
  constexpr int kFirstAttempts = 1000;
  for (int n = 0; n < kFirstAttempts; ++n) {
    ratio.FirstAttempt(0.1);
    retries += ratio.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 101);
  CHECK(retries >= 99);
  RetryRatio initial({ .mReserve = 1, .mMost = 5 });
  CHECK(initial.TryTake());
  CHECK_FALSE(initial.TryTake());
}
