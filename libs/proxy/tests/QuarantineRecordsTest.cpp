#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "MemoryStore.h"
#include "proxy/QuarantineRecords.h"

using namespace amaranthgap;

namespace {

constexpr uint64_t kNowMillis = 1'700'000'000'000;
constexpr uint32_t kLeftMillis = 500'000;

/** Records of one node. */
class Records
{
public:
  Records(EventLoop& aLoop, MemoryStoreData& aData)
    : mLoop(aLoop)
    , mStore(aLoop, aData, mIsStoreDown)
    , mRecords(mLogger,
               mStore,
               { .mWallMillis = [this] { return mWallMillis; } },
               [this](const CrashNotice& aNotice) { mRead = aNotice; })
  {
  }

  void Keep(const CrashNotice& aVerdicts)
  {
    mRecords.Keep(EventLoop::Now(), aVerdicts);
  }
  /** Reads as a node that begins to watch the store. */
  const CrashNotice& ReadAnew()
  {
    mRead = {};
    mRecords.SetWatching(false);
    mRecords.SetWatching(true);
    RunFor(milliseconds(50));
    return mRead;
  }
  void RunFor(Duration aTime)
  {
    const TimePoint end = EventLoop::Now() + aTime;
    while (EventLoop::Now() < end) {
      mRecords.Tick(EventLoop::Now());
      mLoop.RunFor(milliseconds(5));
    }
  }

  bool mIsStoreDown = false;
  uint64_t mWallMillis = kNowMillis;

private:
  EventLoop& mLoop;
  Logger mLogger{ { .mLevel = LogLevel::Error } };
  MemoryStore mStore;
  QuarantineRecords mRecords;
  CrashNotice mRead;
};

CrashNotice
Verdict(uint64_t aFingerprint)
{
  CrashNotice out{ .mService = "logs" };
  out.mRecords.push_back(
    { .mFingerprint = aFingerprint,
      .mMarks = { { .mCrash = 1, .mService = 11, .mIsCleared = true },
                  { .mCrash = 2, .mService = 11 },
                  { .mCrash = 3, .mService = 12, .mIsTrial = true } },
      .mQuarantineMs = kLeftMillis });
  return out;
}

} // namespace

TEST_CASE("a quarantine in the store is read by a node that starts to watch it")
{
  EventLoop loop;
  MemoryStoreData data;
  Records writer(loop, data);
  Records reader(loop, data);
  writer.Keep(Verdict(7));
  writer.RunFor(milliseconds(50));
  constexpr uint64_t kLater = 100'000;
  reader.mWallMillis += kLater;
  const CrashNotice& read = reader.ReadAnew();
  CHECK(read.mService == "logs");
  REQUIRE(read.mRecords.size() == 1);
  const CrashRecord& record = read.mRecords[0];
  CHECK(record.mFingerprint == 7);
  CHECK(record.mQuarantineMs == kLeftMillis - kLater);
  REQUIRE(record.mMarks.size() == 2);
  CHECK(record.mMarks[0].mCrash == 2);
  CHECK(record.mMarks[0].mService == 11);
  CHECK_FALSE(record.mMarks[0].mIsTrial);
  CHECK(record.mMarks[1].mService == 12);
  CHECK(record.mMarks[1].mIsTrial);
  reader.mWallMillis = kNowMillis + kLeftMillis;
  CHECK(reader.ReadAnew().IsEmpty());
}

TEST_CASE("a quarantine that ends early is removed from the store")
{
  EventLoop loop;
  MemoryStoreData data;
  Records records(loop, data);
  records.Keep(Verdict(7));
  records.Keep(Verdict(8));
  records.RunFor(milliseconds(50));
  CrashNotice ended = Verdict(7);
  ended.mRecords[0].mQuarantineMs = 0;
  records.Keep(ended);
  records.RunFor(milliseconds(50));
  const CrashNotice& read = records.ReadAnew();
  REQUIRE(read.mRecords.size() == 1);
  CHECK(read.mRecords[0].mFingerprint == 8);
}

// Guards against a verdict that is lost because the store was away when it was
// reached.
TEST_CASE("a quarantine is written when the store is back")
{
  EventLoop loop;
  MemoryStoreData data;
  Records records(loop, data);
  records.mIsStoreDown = true;
  records.Keep(Verdict(7));
  records.RunFor(milliseconds(500));
  CHECK(data.CountOf("amaranthgap/quarantine/") == 0);
  records.mIsStoreDown = false;
  records.RunFor(seconds(2));
  CHECK(data.CountOf("amaranthgap/quarantine/") == 1);
  // Its lease has ended meanwhile.
  data.EndLeases("amaranthgap/");
  records.Keep(Verdict(8));
  records.RunFor(seconds(2));
  CHECK(data.CountOf("amaranthgap/quarantine/") == 1);
}

// Guards against another writer's entry that ends the process, or hides or
// imposes quarantines.
TEST_CASE("odd entries among the quarantines leave the others in use")
{
  EventLoop loop;
  MemoryStoreData data;
  Records records(loop, data);
  records.Keep(Verdict(7));
  records.RunFor(milliseconds(50));
  const std::string prefix = "amaranthgap/quarantine/";
  const std::string good = fmt::format("{} logs 1:1:1", kNowMillis + 1000);
  const std::vector<std::pair<std::string, std::string>> odd{
    { "", good },
    { "xyz", good },
    { "00000000000000081", good },
    { "1/2", good },
    { "00000000000000a1", "" },
    { "00000000000000a2", "logs 1:1:1" },
    { "00000000000000a3", "-1 logs 1:1:1" },
    { "00000000000000a4", "99999999999999999999999 logs 1:1:1" },
    { "00000000000000a5", fmt::format("{}", kNowMillis + 1000) },
    { "00000000000000a6", good + " 1:1" },
    { "00000000000000a7", good + " 1:1:2" },
    { "00000000000000a8", good + " :::" },
    { "00000000000000a9", good + " 11111111111111111:1:1" },
    { "00000000000000aa", good + std::string(1'000'000, ' ') + "x" },
    { "00000000000000ab",
      good + " 1:1:1 2:1:0 3:1:0 4:1:0 5:1:0 6:1:0 7:1:0 8:1:0" },
    { "00000000000000ac", std::string(1'000'000, '[') },
    { "00000000000000ad", std::string("\0\xff\xfe", 3) },
  };
  for (const auto& [key, value] : odd) {
    data.Write(prefix + key, value);
  }
  data.Write(prefix + "00000000000000ff", "18446744073709551615 logs 1:1:1");
  const CrashNotice& read = records.ReadAnew();
  REQUIRE(read.mRecords.size() == 2);
  CHECK(read.mRecords[0].mFingerprint == 7);
  CHECK(read.mRecords[1].mFingerprint == 0xff);
  CHECK(read.mRecords[1].mQuarantineMs <= 600'000);
}
