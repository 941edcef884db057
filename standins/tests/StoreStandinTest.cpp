#include <catch2/catch.hpp>

#include <thread>

#include "FreePort.h"
#include "StoreStandin.h"
#include "platform/HttpKeyValueStore.h"

using namespace amaranthgap;

namespace {

// A store stand-in on free ports with a client of it.
struct Fixture
{
  explicit Fixture(uint32_t aMaxCalls = 2000)
    : mListen(FreeAddress())
    , mControl(FreeAddress())
    , mStandin({ .mListen = mListen,
                 .mControl = mControl,
                 .mMaxCallsPerSecond = aMaxCalls })
    , mStore(mListen)
  {
    REQUIRE(mStandin.Start());
  }
  ~Fixture() { mStandin.Stop(); }

  StoreAnswer Run(StoreOperation aOperation,
                  uint64_t aRevision = 0,
                  const std::string& aValue = "")
  {
    return mStore.Execute({ .mOperation = aOperation,
                            .mKey = "manifest/head",
                            .mValue = aValue,
                            .mRevision = aRevision,
                            .mTimeout = milliseconds(300) });
  }

  int Post(const std::string& aPath, const std::string& aBody = "")
  {
    httplib::Client client(mControl);
    const auto result = client.Post(aPath, aBody, "application/json");
    return result ? result->status : 0;
  }

  nlohmann::json Counts()
  {
    httplib::Client client(mControl);
    return nlohmann::json::parse(client.Get("/counts")->body);
  }

  std::string mListen;
  std::string mControl;
  StoreStandin mStandin;
  HttpKeyValueStore mStore;
};

using enum StoreOperation;

} // namespace

// Guards against a stand-in that lets two racing publishers both win.
TEST_CASE("compare-and-swap takes effect only at the revision", "[standins]")
{
  Fixture fixture;
  CHECK(fixture.Run(Read).mCurrent.mRevision == 0);
  const auto first = fixture.Run(CompareAndSwap, 0, "a");
  CHECK(first.mVerdict == StoreVerdict::Done);
  const auto second = fixture.Run(CompareAndSwap, 0, "b");
  CHECK(second.mVerdict == StoreVerdict::Conflict);
  CHECK(second.mCurrent.mValue == "a");
  CHECK(second.mCurrent.mRevision == first.mCurrent.mRevision);
  CHECK(fixture.Run(Delete, 77).mVerdict == StoreVerdict::Conflict);
  CHECK(fixture.Run(Delete, first.mCurrent.mRevision).mVerdict ==
        StoreVerdict::Done);
  CHECK(fixture.Run(Read).mCurrent.mRevision == 0);
  CHECK(fixture.Counts().at("write") == 2);
}

TEST_CASE("a watch returns at the change", "[standins]")
{
  Fixture fixture;
  CHECK(fixture.Run(Watch, 0).mVerdict == StoreVerdict::Unchanged);
  std::thread writer([&] {
    std::this_thread::sleep_for(milliseconds(50));
    HttpKeyValueStore(fixture.mListen)
      .Execute({ .mOperation = CompareAndSwap,
                 .mKey = "manifest/head",
                 .mValue = "v" });
  });
  const auto answer = fixture.Run(Watch, 0);
  writer.join();
  CHECK(answer.mVerdict == StoreVerdict::Done);
  CHECK(answer.mCurrent.mValue == "v");
}

// Guards against faults that the stand-in claims but does not produce; the
// tests of publishing rest on them.
TEST_CASE("each fault shows at the client", "[standins]")
{
  Fixture fixture;
  REQUIRE(fixture.Post("/faults", R"({"lose_answers":1})") == 200);
  CHECK(fixture.Run(CompareAndSwap, 0, "a").mVerdict == StoreVerdict::Unclear);
  const auto stored = fixture.Run(Read);
  CHECK(stored.mCurrent.mValue == "a");

  REQUIRE(fixture.Post("/snapshot") == 200);
  CHECK(fixture.Run(CompareAndSwap, stored.mCurrent.mRevision, "b").mVerdict ==
        StoreVerdict::Done);
  REQUIRE(fixture.Post("/restore") == 200);
  CHECK(fixture.Run(Read).mCurrent.mValue == "a");

  REQUIRE(fixture.Post("/faults", R"({"break_watches":true})") == 200);
  CHECK(fixture.Run(Watch, stored.mCurrent.mRevision).mVerdict ==
        StoreVerdict::NotDone);
  CHECK(fixture.Run(Read).mVerdict == StoreVerdict::Done);

  for (const auto& [fault, verdict] :
       { std::pair{ R"({"down":"refuse"})", StoreVerdict::NotDone },
         std::pair{ R"({"down":"drop"})", StoreVerdict::Unclear },
         std::pair{ R"({"down":"hang"})", StoreVerdict::Unclear },
         std::pair{ R"({"down":"off","slow_ms":600})", StoreVerdict::Unclear },
         std::pair{ R"({"slow_ms":0})", StoreVerdict::Conflict } }) {
    CAPTURE(fault);
    REQUIRE(fixture.Post("/faults", fault) == 200);
    CHECK(fixture.Run(CompareAndSwap, 999, "c").mVerdict == verdict);
  }
}

TEST_CASE("calls above the rate are refused", "[standins]")
{
  Fixture fixture(3);
  int refused = 0;
  for (int n = 0; n < 10; ++n) {
    refused += fixture.Run(Read).mVerdict == StoreVerdict::NotDone ? 1 : 0;
  }
  CHECK(refused >= 4);
  CHECK(fixture.Counts().at("refused") == refused);
}

TEST_CASE("a key ends with its lease", "[standins]")
{
  StoreData data;
  const uint64_t lease = data.Grant(milliseconds(60));
  const auto written = data.Swap("k", "v", 0, lease);
  CHECK(written.mDone);
  CHECK(data.Renew(lease));
  CHECK(data.Read("k").mValue == "v");
  const auto seen =
    data.Watch("k", written.mCurrent.mRevision, seconds(2)).mRevision;
  CHECK(seen == 0);
  CHECK_FALSE(data.Renew(lease));
  CHECK_FALSE(data.Swap("k", "v", 0, lease).mDone);
}
