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

enum class LedgerOp : uint8_t
{
  Begin,
  End,
  Expire,
  ExpectGrant,   ///< Asks for a grant, which must succeed.
  ExpectRefusal, ///< Asks for a grant, which must fail.
};

struct LedgerStep
{
  LedgerOp mOp;
  int mSeconds = 0; ///< Time since kStart.
};

struct LedgerCase
{
  const char* mName;
  std::vector<LedgerStep> mSteps;
};

} // namespace

// Guards against a request that gets more grants than its budget because the
// client reuses its id or messages are repeated or missing.
TEST_CASE("the ledger bounds the grants of a request", "[ledger]")
{
  using enum LedgerOp;
  const std::vector<LedgerCase> cases{
    { "a third grant exceeds the budget of two",
      { { Begin }, { ExpectGrant }, { ExpectGrant }, { ExpectRefusal } } },
    { "a request that has not begun", { { ExpectRefusal } } },
    { "no grant after the final answer",
      { { Begin }, { ExpectGrant }, { End }, { ExpectRefusal } } },
    { "same id within the retention time continues the budget",
      { { Begin },
        { ExpectGrant },
        { End },
        { Begin, 59 },
        { ExpectGrant, 59 },
        { ExpectRefusal, 59 } } },
    { "same id after the retention time gets a new budget",
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
    { "one of two with the same id has ended",
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
    { "an earlier end does not expire a request that began again",
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

// Guards against unbounded memory use, and against a full ledger that grants
// retries to a request without a record.
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

// Guards against more retries than the share of first attempts and the reserve
// allow, and against fewer than the share.
TEST_CASE("retries stay at their share of first attempts", "[ledger]")
{
  RetryTokenBucket ratio;
  int granted = 0;
  for (int i = 0; i < 1000; ++i) {
    ratio.AddFirstAttempt(0.1);
    granted += ratio.TryTake() ? 1 : 0;
    granted += ratio.TryTake() ? 1 : 0;
  }
  CHECK(granted >= 100);
  CHECK(granted <= 110);
}

// Guards against delays that make callers retry at the same time or too late,
// also for ratios that are not valid.
TEST_CASE("retry-after delays are spread and grow with the demand",
          "[retry-after]")
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
  Duration sumAtRatio1{};
  Duration sumAtRatio10{};
  for (int i = 0; i < 1000; ++i) {
    sumAtRatio1 += DrawRetryAfter(rng, 1);
    sumAtRatio10 += DrawRetryAfter(rng, 10);
  }
  CHECK(sumAtRatio10 > 2 * sumAtRatio1);
}

// Guards against retries that add up over many nodes because each node starts
// with a large reserve.
TEST_CASE("a reserve of one adds at most one retry to the share", "[retry]")
{
  RetryTokenBucket ratio({ .mInitialTokens = 1, .mMaxTokens = 5 });
  int retries = 0;
  constexpr int kFirstAttempts = 1000;
  for (int n = 0; n < kFirstAttempts; ++n) {
    ratio.AddFirstAttempt(0.1);
    retries += ratio.TryTake() ? 1 : 0;
  }
  CHECK(retries <= 101);
  CHECK(retries >= 99);
  RetryTokenBucket initial({ .mInitialTokens = 1, .mMaxTokens = 5 });
  CHECK(initial.TryTake());
  CHECK_FALSE(initial.TryTake());
}
