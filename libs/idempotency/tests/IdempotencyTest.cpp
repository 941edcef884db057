#include <catch2/catch.hpp>

#include "idempotency/ClosingRecordStore.h"
#include "idempotency/ExecutionTable.h"
#include "idempotency/IssuedKey.h"

using namespace amaranthgap;

namespace {

constexpr std::string_view kSecret = "0123456789abcdef";
const TimePoint kStart{ seconds(1000) };

IssuedKey
SomeKey()
{
  return { .mService = "billing",
           .mRequestClass = "charge",
           .mParty = "brest-süd.1",
           .mNode = { { "host-1" }, { 77 } },
           .mSequence = 5,
           .mIssuedMillis = 1'000'000 };
}

HttpResponse
Answer(size_t aBytes)
{
  return { .mStatus = 200, .mBody = std::string(aBytes, 'x') };
}

} // namespace

// -- IssuedKey --------------------------------------------------------------

// Guards against fields that the text form of a key loses or changes.
TEST_CASE("an issued key can be read back from its text form", "[idempotency]")
{
  const IssuedKey key = SomeKey();
  const auto read = IssuedKey::FromText(key.ToText(kSecret), kSecret);
  REQUIRE(read);
  CHECK(*read == key);
  CHECK(read->Age(kStart + seconds(3)) == seconds(3));
}

// Guards against accepting keys that a caller made up or changed.
TEST_CASE("a forged or corrupted key is rejected", "[idempotency]")
{
  const std::string text = SomeKey().ToText(kSecret);
  CHECK_FALSE(IssuedKey::FromText(text, "another secret"));
  CHECK_FALSE(IssuedKey::FromText("", kSecret));
  CHECK_FALSE(IssuedKey::FromText("k1", kSecret));
  CHECK_FALSE(IssuedKey::FromText(std::string(5000, '.'), kSecret));
  CHECK_FALSE(IssuedKey::FromText(text.substr(0, text.size() - 1), kSecret));
  CHECK_FALSE(IssuedKey::FromText(text + "0", kSecret));
  for (size_t i = 0; i < text.size(); ++i) {
    std::string changed = text;
    changed[i] = changed[i] == '1' ? '2' : '1';
    CHECK_FALSE(IssuedKey::FromText(changed, kSecret));
  }
}

// Guards against two keys with the same text because a name contains the
// separator.
TEST_CASE("names with separators do not change the fields of a key",
          "[idempotency]")
{
  IssuedKey one = SomeKey();
  one.mService = "a.b";
  one.mRequestClass = "c";
  IssuedKey other = SomeKey();
  other.mService = "a";
  other.mRequestClass = "b.c";
  CHECK(one.ToText(kSecret) != other.ToText(kSecret));
  CHECK(*IssuedKey::FromText(one.ToText(kSecret), kSecret) == one);
}

// -- ExecutionTable ---------------------------------------------------------

// Guards against running a call with the same key twice.
TEST_CASE("the execution table tracks a key until it expires", "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({});
  const TimePoint expiry = kStart + minutes(10);
  CHECK(table.Begin("k", 1, { 7 }, expiry).mVerdict == Verdict::Run);

  const auto join = table.Begin("k", 1, { 8 }, expiry);
  CHECK(join.mVerdict == Verdict::Join);
  CHECK(join.mRunningExecution == ExecutionId{ 7 });
  CHECK(table.Begin("k", 2, { 9 }, expiry).mVerdict == Verdict::Mismatch);

  table.Finish("k", Outcome::Answered, Answer(10));
  const auto stored = table.Begin("k", 1, { 8 }, expiry);
  REQUIRE(stored.mVerdict == Verdict::Stored);
  CHECK(stored.mStored->mHttp.mBody == std::string(10, 'x'));
  CHECK(table.Begin("k", 2, { 9 }, expiry).mVerdict == Verdict::Mismatch);

  // A second outcome does not replace the first one.
  table.Finish("k", Outcome::MayHaveRun, {});
  CHECK(table.Find("k", 1)->mStored->mOutcome == Outcome::Answered);

  table.Expire(expiry - milliseconds(1));
  CHECK(table.Size() == 1);
  table.Expire(expiry);
  CHECK(table.Size() == 0);
  CHECK(table.Bytes() == 0);
}

// Guards against a key that stays blocked although its call was not sent.
TEST_CASE("a released key may run later", "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({});
  table.Begin("k", 1, { 7 }, kStart);
  table.Release("k");
  CHECK(table.Bytes() == 0);
  CHECK(table.Begin("k", 1, { 8 }, kStart).mVerdict == Verdict::Run);
  table.Finish("k", Outcome::Answered, Answer(1));
  table.Release("k"); // Finished keys stay.
  CHECK(table.Begin("k", 1, { 9 }, kStart).mVerdict == Verdict::Stored);
}

// Guards against evicting a key whose call could then run again.
TEST_CASE("a full table refuses new keys and keeps existing ones",
          "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({ .mMaxBytes = 4000 });
  const TimePoint expiry = kStart + minutes(10);
  std::vector<std::string> acceptedKeys;
  for (int i = 0; i < 20; ++i) {
    const std::string key = "key" + std::to_string(i);
    const auto verdict = table.Begin(key, 1, { 1 }, expiry).mVerdict;
    if (verdict == Verdict::Run) {
      acceptedKeys.push_back(key);
    } else {
      CHECK(verdict == Verdict::Full);
    }
  }
  CHECK(acceptedKeys.size() < 20);
  CHECK(table.Bytes() <= 4000);
  for (const std::string& key : acceptedKeys) {
    CHECK(table.Begin(key, 1, { 2 }, expiry).mVerdict == Verdict::Join);
  }
  // An answer that does not fit is stored as MayHaveRun.
  table.Finish(acceptedKeys[0], Outcome::Answered, Answer(5000));
  CHECK(table.Bytes() <= 4000);
  CHECK(table.Find(acceptedKeys[0], 1)->mStored->mOutcome ==
        Outcome::MayHaveRun);
}

// Guards against removing a key whose call runs longer than the key lifetime.
TEST_CASE("a running key does not expire", "[idempotency]")
{
  ExecutionTable table({});
  table.Begin("k", 1, { 7 }, kStart);
  table.Expire(kStart + minutes(1));
  CHECK(table.Size() == 1);
  table.Finish("k", Outcome::Answered, {});
  table.Expire(kStart + minutes(1));
  CHECK(table.Size() == 0);
}

// -- ClosingRecordStore
// ----------------------------------------------------------

namespace {

std::vector<ClosingEntry>
ThreeEntries(const std::string& aKey)
{
  return { { .mKey = aKey, .mFingerprint = 1, .mHttp = Answer(1000) },
           { .mKey = "b", .mFingerprint = 2, .mHttp = Answer(1000) },
           { .mKey = "c", .mFingerprint = 3, .mHttp = Answer(1000) } };
}

} // namespace

// Guards against conclusions from an incomplete record, and about keys that the
// closing node may have run and removed.
TEST_CASE("a closing record is used when all pieces have arrived",
          "[idempotency]")
{
  using KeyStatus = ClosingRecordStore::KeyStatus;
  const IssuedKey key = SomeKey();
  IssuedKey unused = key;
  unused.mSequence = 6;
  const std::string text = key.ToText(kSecret);
  const auto pieces = SplitClosingRecord(
    key.mNode, "billing", 1'010'000, ThreeEntries(text), 2000);
  REQUIRE(pieces.size() == 3);

  ClosingRecordStore record({});
  CHECK(record.Accept(kStart, pieces[2]));
  CHECK(record.Accept(kStart, pieces[0]));
  CHECK(record.Accept(kStart, pieces[0])); // Duplicate.
  // While a piece is missing, the status of every key is unknown.
  CHECK(record.Find(kStart, key, text, minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);
  CHECK(record.Find(kStart, unused, "u", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);
  CHECK(record.CompleteRecords().empty());

  CHECK(record.Accept(kStart, pieces[1]));
  const auto found = record.Find(kStart, key, text, minutes(10));
  REQUIRE(found.mKeyStatus == KeyStatus::Ran);
  CHECK(found.mEntry->mFingerprint == 1);
  CHECK(record.Find(kStart, unused, "u", minutes(10)).mKeyStatus ==
        KeyStatus::NotRun);

  // The key was issued 10 s before closing, so it expires 9 min 50 s after the
  // record arrived. The closing node may have run and removed it.
  const TimePoint expired = kStart + minutes(10) - seconds(10);
  CHECK(record.Find(expired, unused, "u", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);

  IssuedKey other = key;
  other.mNode.mIncarnation = { 78 };
  CHECK(record.Find(kStart, other, "o", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);

  record.Expire(kStart + minutes(10));
  CHECK(record.CompleteRecords().empty());
  CHECK(record.Bytes() == 0);
}

// Guards against a record that seems complete but lacks entries, because its
// pieces come from two different splits.
TEST_CASE("pieces of different splits are not combined", "[idempotency]")
{
  const NodeRef node = SomeKey().mNode;
  const auto entries = ThreeEntries("a");
  const auto one = SplitClosingRecord(node, "billing", 1, entries, 2000);
  const auto two = SplitClosingRecord(node, "billing", 9, entries, 3500);
  REQUIRE(one.size() != two.size());
  ClosingRecordStore record({});
  CHECK(record.Accept(kStart, one[0]));
  CHECK_FALSE(record.Accept(kStart, two[1]));
  CHECK(record.CompleteRecords().empty());

  // After the stall timeout, another transfer replaces this one.
  const TimePoint later = kStart + seconds(6);
  for (const auto& piece : two) {
    CHECK(record.Accept(later, piece));
  }
  CHECK(record.CompleteRecords().size() == 1);
}

// Guards against reporting an expired key as not run, because its age restarts
// at another holder.
TEST_CASE("a closing record keeps the age of keys at another holder",
          "[idempotency]")
{
  const IssuedKey key = SomeKey();
  ClosingRecordStore first({});
  for (const auto& piece : SplitClosingRecord(
         key.mNode, "billing", 1'000'000, ThreeEntries("a"), 1'000'000)) {
    REQUIRE(first.Accept(kStart, piece));
  }
  ClosingRecordStore second({});
  for (const auto& piece : first.Pieces(kStart + minutes(9), key.mNode)) {
    REQUIRE(second.Accept(kStart, piece));
  }
  // The age of a key includes the time at both holders.
  using KeyStatus = ClosingRecordStore::KeyStatus;
  const TimePoint soon = kStart + seconds(50);
  CHECK(second.Find(soon, key, "k", minutes(10)).mKeyStatus ==
        KeyStatus::NotRun);
  CHECK(second.Find(soon + seconds(10), key, "k", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);
  CHECK(second.Find(soon, key, "a", minutes(10)).mKeyStatus == KeyStatus::Ran);
}

// Guards against unbounded memory use by the records of other nodes.
TEST_CASE("closing records stay within the memory limit", "[idempotency]")
{
  ClosingRecordStore record({ .mMaxBytes = 3000 });
  const auto pieces =
    SplitClosingRecord(SomeKey().mNode, "billing", 1, ThreeEntries("a"), 2000);
  CHECK(record.Accept(kStart, pieces[0]));
  CHECK_FALSE(record.Accept(kStart, pieces[1]));
  CHECK(record.Bytes() <= 3000);
}
