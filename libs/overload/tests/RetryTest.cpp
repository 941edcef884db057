#include <cmath>
#include <vector>

#include <catch2/catch.hpp>

#include "overload/RetryAfter.h"
#include "overload/RetryLedger.h"
#include "overload/RetryTokenBucket.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };
const RequestId kRequest{ "r1" };

enum class Op : uint8_t
{
  Begin,
  End,
  Expire,
  Granted, ///< One more grant must succeed.
  Refused, ///< One more grant must fail.
};

struct LedgerStep
{
  Op mOp;
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
  using enum Op;
  const std::vector<LedgerCase> cases{
    { "two grants and no more",
      { { Begin }, { Granted }, { Granted }, { Refused } } },
    { "never begun", { { Refused } } },
    { "nothing after the final answer",
      { { Begin }, { Granted }, { End }, { Refused } } },
    { "same id again within the time continues the budget",
      { { Begin },
        { Granted },
        { End },
        { Begin, 59 },
        { Granted, 59 },
        { Refused, 59 } } },
    { "same id again after the time starts anew",
      { { Begin },
        { Granted },
        { Granted },
        { End },
        { Begin, 60 },
        { Granted, 60 },
        { Granted, 60 },
        { Refused, 60 } } },
    { "same id while the first is running shares the budget",
      { { Begin }, { Begin }, { Granted }, { Granted }, { Refused } } },
    { "one of two ended, the other still runs",
      { { Begin }, { Begin }, { End }, { Granted }, { End }, { Refused } } },
    { "end twice", { { Begin }, { End }, { End }, { Begin }, { Granted } } },
    { "expiry does not drop a running request",
      { { Begin },
        { Granted },
        { Expire, 500 },
        { Granted, 500 },
        { Refused, 500 } } },
    { "an old end does not expire a request that was reopened",
      { { Begin },
        { Granted },
        { Granted },
        { End },
        { Begin, 50 },
        { End, 55 },
        { Expire, 70 },
        { Begin, 71 },
        { Refused, 71 } } },
  };
  for (const auto& test : cases) {
    INFO(test.mName);
    RetryLedger ledger({});
    size_t number = 0;
    for (const auto& [op, second] : test.mSteps) {
      INFO("step " << number++);
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
        case Granted:
          CHECK(ledger.Grant(now, kRequest, 2));
          break;
        case Refused:
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
  RetryTokenBucket ratio;
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    ratio.AddFirstAttempt(0.1);
    taken += ratio.TryTake() ? 1 : 0;
    taken += ratio.TryTake() ? 1 : 0;
  }
  CHECK(taken >= 100);
  CHECK(taken <= 110);
}

// Guards against callers that return together or never.
TEST_CASE("retry-after times spread with the demand", "[retry-after]")
{
  for (const double ratio : { 1.0, 2.0, 10.0, 1e9, 0.0, -1.0, std::nan("") }) {
    INFO("ratio " << ratio);
    Rng rng(7);
    Duration low = minutes(1);
    Duration high{};
    for (int i = 0; i < 1000; ++i) {
      const Duration drawn = DrawRetryAfter(rng, ratio);
      low = std::min(low, drawn);
      high = std::max(high, drawn);
    }
    CHECK(low >= milliseconds(50));
    CHECK(high <= seconds(15));
    CHECK(high >= low * 2);
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
  RetryTokenBucket ratio({ .mInitialTokens = 1, .mMaxTokens = 5 });
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int n = 0; n < kRequests; ++n) {
    ratio.AddFirstAttempt(0.1);
    retries += ratio.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 101);
  CHECK(retries >= 99);
  RetryTokenBucket fresh({ .mInitialTokens = 1, .mMaxTokens = 5 });
  CHECK(fresh.TryTake());
  CHECK_FALSE(fresh.TryTake());
}
