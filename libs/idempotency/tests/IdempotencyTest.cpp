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

TEST_CASE("an issued key survives its text form", "[idempotency]")
{
  const IssuedKey key = SomeKey();
  const auto read = IssuedKey::FromText(key.ToText(kSecret), kSecret);
  REQUIRE(read);
  CHECK(*read == key);
  CHECK(read->Age(kStart + seconds(3)) == seconds(3));
}

// Guards against keys that a caller made or changed.
TEST_CASE("a forged or damaged key is refused", "[idempotency]")
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

// Guards against two keys whose fields run into each other.
TEST_CASE("names cannot shift between the fields of a key", "[idempotency]")
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

TEST_CASE("the execution table follows a key to its end", "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({});
  const TimePoint forget = kStart + minutes(10);
  CHECK(table.Begin("k", 1, { 7 }, forget).mVerdict == Verdict::Run);

  const auto join = table.Begin("k", 1, { 8 }, forget);
  CHECK(join.mVerdict == Verdict::Join);
  CHECK(join.mRunningExecution == ExecutionId{ 7 });
  CHECK(table.Begin("k", 2, { 9 }, forget).mVerdict == Verdict::Mismatch);

  table.Finish("k", Outcome::Answered, Answer(10));
  const auto stored = table.Begin("k", 1, { 8 }, forget);
  REQUIRE(stored.mVerdict == Verdict::Stored);
  CHECK(stored.mStored->mHttp.mBody == std::string(10, 'x'));
  CHECK(table.Begin("k", 2, { 9 }, forget).mVerdict == Verdict::Mismatch);

  // A result that comes a second time does not replace the first one.
  table.Finish("k", Outcome::MayHaveRun, {});
  CHECK(table.Find("k", 1)->mStored->mOutcome == Outcome::Answered);

  table.Expire(forget - milliseconds(1));
  CHECK(table.Size() == 1);
  table.Expire(forget);
  CHECK(table.Size() == 0);
  CHECK(table.Bytes() == 0);
}

TEST_CASE("a released key may run later", "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({});
  table.Begin("k", 1, { 7 }, kStart);
  table.Release("k");
  CHECK(table.Bytes() == 0);
  CHECK(table.Begin("k", 1, { 8 }, kStart).mVerdict == Verdict::Run);
  table.Finish("k", Outcome::Answered, Answer(1));
  table.Release("k"); // Ended keys stay.
  CHECK(table.Begin("k", 1, { 9 }, kStart).mVerdict == Verdict::Stored);
}

// Guards against a table that makes room by forgetting a key that could then
// run again.
TEST_CASE("a full table refuses new keys and keeps live ones", "[idempotency]")
{
  using Verdict = ExecutionTable::Verdict;
  ExecutionTable table({ .mMaxBytes = 4000 });
  const TimePoint forget = kStart + minutes(10);
  std::vector<std::string> entered;
  for (int i = 0; i < 20; ++i) {
    const std::string key = "key" + std::to_string(i);
    const auto verdict = table.Begin(key, 1, { 1 }, forget).mVerdict;
    if (verdict == Verdict::Run) {
      entered.push_back(key);
    } else {
      CHECK(verdict == Verdict::Full);
    }
  }
  CHECK(entered.size() < 20);
  CHECK(table.Bytes() <= 4000);
  for (const std::string& key : entered) {
    CHECK(table.Begin(key, 1, { 2 }, forget).mVerdict == Verdict::Join);
  }
  // An answer without room is remembered as one that may have run.
  table.Finish(entered[0], Outcome::Answered, Answer(5000));
  CHECK(table.Bytes() <= 4000);
  CHECK(table.Find(entered[0], 1)->mStored->mOutcome == Outcome::MayHaveRun);
}

// Guards against forgetting a key whose run outlasts the key lifetime.
TEST_CASE("a running key is not forgotten", "[idempotency]")
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

TEST_CASE("a closing record counts when all pieces are there", "[idempotency]")
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
  CHECK(record.Accept(kStart, pieces[0])); // Sent twice.
  // Without the last piece nothing is certain, in either direction.
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

  // Issued 10 s before the end: after 9 min 50 s here it has expired, and the
  // closing node may have run and forgotten it.
  const TimePoint late = kStart + minutes(10) - seconds(10);
  CHECK(record.Find(late, unused, "u", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);

  IssuedKey other = key;
  other.mNode.mIncarnation = { 78 };
  CHECK(record.Find(kStart, other, "o", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);

  record.Expire(kStart + minutes(10));
  CHECK(record.CompleteRecords().empty());
  CHECK(record.Bytes() == 0);
}

// Guards against a record that looks complete but lacks entries, because its
// pieces came from two differently cut copies.
TEST_CASE("pieces of different cuts are not mixed", "[idempotency]")
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

  // A transfer whose sender is gone gives way to another one.
  const TimePoint later = kStart + seconds(6);
  for (const auto& piece : two) {
    CHECK(record.Accept(later, piece));
  }
  CHECK(record.CompleteRecords().size() == 1);
}

TEST_CASE("a closing record goes on to another holder", "[idempotency]")
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
  // The age of a key counts over both holders.
  using KeyStatus = ClosingRecordStore::KeyStatus;
  const TimePoint soon = kStart + seconds(50);
  CHECK(second.Find(soon, key, "k", minutes(10)).mKeyStatus ==
        KeyStatus::NotRun);
  CHECK(second.Find(soon + seconds(10), key, "k", minutes(10)).mKeyStatus ==
        KeyStatus::Unknown);
  CHECK(second.Find(soon, key, "a", minutes(10)).mKeyStatus == KeyStatus::Ran);
}

TEST_CASE("closing records stay within their memory", "[idempotency]")
{
  ClosingRecordStore record({ .mMaxBytes = 3000 });
  const auto pieces =
    SplitClosingRecord(SomeKey().mNode, "billing", 1, ThreeEntries("a"), 2000);
  CHECK(record.Accept(kStart, pieces[0]));
  CHECK_FALSE(record.Accept(kStart, pieces[1]));
  CHECK(record.Bytes() <= 3000);
}
