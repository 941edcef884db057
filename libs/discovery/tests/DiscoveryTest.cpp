#include <catch2/catch.hpp>

#include "discovery/PrefixWatcher.h"
#include "discovery/Registration.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };

StoreChange
Written(const std::string& aKey, uint64_t aRevision)
{
  return { .mKey = aKey, .mValue = "v", .mRevision = aRevision };
}

StoreChanges
Done(std::vector<StoreChange> aChanges, uint64_t aRevision)
{
  return { .mStatus = StoreStatus::Done,
           .mChanges = std::move(aChanges),
           .mRevision = aRevision };
}

} // namespace

TEST_CASE("a follower lists once and then watches from there")
{
  PrefixWatcher follower({});
  auto call = follower.Next(kNow);
  REQUIRE(call);
  CHECK(call->mIsList);
  CHECK_FALSE(follower.Next(kNow)); // One call at a time.
  CHECK(
    follower.Done(kNow, call->mNumber, Done({ Written("a", 4) }, 9)).size() ==
    1);
  CHECK(follower.IsListed());
  call = follower.Next(kNow);
  REQUIRE(call);
  CHECK_FALSE(call->mIsList);
  CHECK(call->mAfter == 9);
  // A change that the list already showed is not reported again.
  CHECK(follower
          .Done(kNow,
                call->mNumber,
                Done({ Written("a", 4), Written("b", 12) }, 12))
          .size() == 1);
  CHECK(follower.Next(kNow)->mAfter == 12);
}

TEST_CASE("keys that went while the history was dropped are reported as gone")
{
  PrefixWatcher follower({});
  auto call = follower.Next(kNow);
  follower.Done(
    kNow, call->mNumber, Done({ Written("a", 4), Written("b", 5) }, 9));
  call = follower.Next(kNow);
  follower.Done(kNow, call->mNumber, { .mStatus = StoreStatus::Compacted });
  call = follower.Next(kNow);
  REQUIRE(call);
  CHECK(call->mIsList);
  const auto changes =
    follower.Done(kNow, call->mNumber, Done({ Written("b", 5) }, 20));
  REQUIRE(changes.size() == 1);
  CHECK(changes.front().mKey == "a");
  CHECK_FALSE(changes.front().mValue);
}

TEST_CASE("a store that is away is asked with pauses of at most 1.2 s")
{
  PrefixWatcher follower({});
  TimePoint now = kNow;
  int calls = 0;
  for (; now < kNow + seconds(20); now += milliseconds(10)) {
    if (const auto call = follower.Next(now)) {
      ++calls;
      follower.Done(now, call->mNumber, { .mStatus = StoreStatus::Refused });
      CHECK(follower.IsFailing());
    }
  }
  CHECK(calls >= 16);
  CHECK(calls <= 32);
}

TEST_CASE("a watch that the store forgot during an outage is replaced")
{
  PrefixWatcher follower({});
  auto call = follower.Next(kNow);
  follower.Done(kNow, call->mNumber, Done({ Written("a", 4) }, 9));
  const auto forgotten = follower.Next(kNow);
  REQUIRE(forgotten);
  follower.ReplaceWatch(kNow);
  call = follower.Next(kNow);
  REQUIRE(call);
  CHECK_FALSE(call->mIsList);
  CHECK(call->mAfter == 9);
  // The late end of the replaced watch changes nothing.
  CHECK(follower.Done(kNow, forgotten->mNumber, Done({ Written("a", 12) }, 12))
          .empty());
  CHECK_FALSE(follower.Next(kNow));
  CHECK(
    follower.Done(kNow, call->mNumber, Done({ Written("a", 12) }, 12)).size() ==
    1);
}

TEST_CASE("an entry that lapsed with its lease is written again")
{
  Registration registration(1);
  const auto expect = [&](TimePoint aNow, RegistrationCall aCall) {
    const auto call = registration.Next(aNow);
    REQUIRE(call);
    CHECK(*call == aCall);
  };
  expect(kNow, RegistrationCall::GrantLease);
  registration.Done(kNow, { .mStatus = StoreStatus::Done, .mLease = 7 });
  expect(kNow, RegistrationCall::Put);
  registration.Done(kNow, { .mStatus = StoreStatus::Done });
  CHECK(registration.IsRegistered());
  CHECK_FALSE(registration.Next(kNow));
  const TimePoint later = kNow + Registration::kRenewalInterval;
  expect(later, RegistrationCall::KeepLease);
  registration.Done(later, { .mStatus = StoreStatus::NoLease });
  expect(later, RegistrationCall::GrantLease);
  registration.Done(later, { .mStatus = StoreStatus::Done, .mLease = 8 });
  expect(later, RegistrationCall::Put);
  registration.Done(later, { .mStatus = StoreStatus::Done });
  CHECK(registration.Lease() == 8);
}

TEST_CASE("an entry that was taken away unseen is written again at once")
{
  Registration registration(1);
  registration.Next(kNow);
  registration.Done(kNow, { .mStatus = StoreStatus::Done, .mLease = 7 });
  registration.Next(kNow);
  registration.Done(kNow, { .mStatus = StoreStatus::Done });
  registration.EntryMissing(kNow);
  // The lease may be gone as well, which a write would not show safely.
  CHECK(registration.Next(kNow) == RegistrationCall::KeepLease);
  registration.Done(kNow, { .mStatus = StoreStatus::Done });
  CHECK(registration.Next(kNow) == RegistrationCall::Put);
}
