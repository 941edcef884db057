#include <catch2/catch.hpp>

#include "MemoryStore.h"
#include "manifest/ManifestLoader.h"
#include "manifest/ManifestPublisher.h"

using namespace amaranthgap;

namespace {

using Fault = MemoryStore::Fault;

ManifestEntries
Entries(const std::string& aParty)
{
  return { { "callers/web", aParty } };
}

PublishReport
Publish(MemoryStore& aStore,
        const std::string& aId,
        const std::string& aParty,
        uint64_t aFleetVersion = 0)
{
  return PublishManifest(aStore,
                         Entries(aParty),
                         { .mPublisher = "operator-" + aId,
                           .mPublishId = aId,
                           .mFleetVersion = aFleetVersion });
}

bool
IsWrite(const StoreRequest& aRequest)
{
  return aRequest.mOperation == StoreOperation::CompareAndSwap;
}

bool
IsHeadSwap(const StoreRequest& aRequest)
{
  return IsWrite(aRequest) && aRequest.mKey == HeadKey();
}

bool
IsDeltaWrite(const StoreRequest& aRequest)
{
  return IsWrite(aRequest) && aRequest.mKey.rfind("manifest/delta/", 0) == 0;
}

ManifestLoader
LoadAll(MemoryStore& aStore)
{
  ManifestLoader load{ {} };
  while (load.GetState() == ManifestLoader::State::Reading) {
    load.Answer(aStore.Execute(load.Next()));
  }
  return load;
}

std::string
PartyInForce(MemoryStore& aStore)
{
  const auto load = LoadAll(aStore);
  const auto entries = load.Entries();
  return entries ? entries.value().at("callers/web") : "";
}

size_t
CountKeys(const MemoryStore& aStore, const std::string& aPrefix)
{
  size_t count = 0;
  for (const auto& [key, value] : aStore.GetContent()) {
    count += key.rfind(aPrefix, 0) == 0 ? 1 : 0;
  }
  return count;
}

} // namespace

// Guards against a wrong verdict or a repeated write after any single store
// call fails: refused, request lost or answer lost.
TEST_CASE("each store fault yields the right verdict", "[manifest]")
{
  struct Row
  {
    bool (*mAt)(const StoreRequest&);
    Fault mFault;
    PublishVerdict mVerdict;
    std::string mInForce;
  };
  const Row rows[] = {
    { IsDeltaWrite, Fault::LoseAnswer, PublishVerdict::Accepted, "new" },
    { IsDeltaWrite, Fault::LoseRequest, PublishVerdict::NotDone, "old" },
    { IsDeltaWrite, Fault::Refuse, PublishVerdict::NotDone, "old" },
    { IsHeadSwap, Fault::LoseAnswer, PublishVerdict::Accepted, "new" },
    { IsHeadSwap, Fault::LoseRequest, PublishVerdict::Unclear, "old" },
    { IsHeadSwap, Fault::Refuse, PublishVerdict::NotDone, "old" },
  };
  for (const auto& row : rows) {
    CAPTURE(int(row.mFault), int(row.mVerdict));
    MemoryStore store;
    REQUIRE(Publish(store, "a", "old").mVerdict == PublishVerdict::Accepted);
    std::map<std::string, int> writes;
    store.mFault = [&](const StoreRequest& aRequest) {
      writes[aRequest.mKey] += IsWrite(aRequest) ? 1 : 0;
      return row.mAt(aRequest) ? row.mFault : Fault::None;
    };
    CHECK(Publish(store, "b", "new").mVerdict == row.mVerdict);
    for (const auto& [key, count] : writes) {
      CHECK(count <= 1);
    }
    store.mFault = nullptr;
    CHECK(PartyInForce(store) == row.mInForce);
  }
}

// Guards against a report of success or failure when the answer to the swap is
// lost and the store refuses all reads afterwards.
TEST_CASE("a swap that cannot be read back is reported as unclear",
          "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "old");
  bool swapped = false;
  store.mFault = [&](const StoreRequest& aRequest) {
    if (IsHeadSwap(aRequest)) {
      swapped = true;
      return Fault::LoseAnswer;
    }
    return swapped ? Fault::Refuse : Fault::None;
  };
  CHECK(Publish(store, "b", "new").mVerdict == PublishVerdict::Unclear);
  store.mFault = [](const StoreRequest&) { return Fault::Refuse; };
  CHECK(Publish(store, "c", "new").mVerdict == PublishVerdict::NotDone);
}

// Guards against two publishers that both succeed from the same head, and a
// losing publisher that is not told who won or leaves its delta behind.
TEST_CASE("exactly one of two racing publishers wins", "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "old");
  bool raced = false;
  store.mFault = [&](const StoreRequest& aRequest) {
    if (IsHeadSwap(aRequest) && !raced) {
      raced = true;
      REQUIRE(Publish(store, "rival", "rival").mVerdict ==
              PublishVerdict::Accepted);
    }
    return Fault::None;
  };
  const auto report = Publish(store, "b", "new");
  CHECK(report.mVerdict == PublishVerdict::Lost);
  CHECK(report.mPublisher == "operator-rival");
  CHECK(report.mInForce.mVersion == 2);
  CHECK(PartyInForce(store) == "rival");
  // The losing publisher deletes its delta.
  CHECK(CountKeys(store, "manifest/delta/") == 2);
}

// Guards against a wrong verdict when the answer to the swap is lost while
// another publisher swaps the head before or after it.
TEST_CASE("a lost answer during a race is resolved from the store",
          "[manifest]")
{
  for (const bool rivalFirst : { true, false }) {
    CAPTURE(rivalFirst);
    MemoryStore store;
    Publish(store, "a", "old");
    int step = 0;
    store.mFault = [&](const StoreRequest& aRequest) {
      if (IsHeadSwap(aRequest) && step == 0) {
        step = 1;
        if (rivalFirst) {
          step = 2;
          Publish(store, "rival", "rival");
        }
        return Fault::LoseAnswer;
      }
      if (step == 1) {
        step = 2;
        // The swap is accepted and replaced before it is read back.
        Publish(store, "rival", "rival");
        Publish(store, "rival-2", "rival-2");
      }
      return Fault::None;
    };
    const auto report = Publish(store, "b", "new");
    CHECK(report.mVerdict ==
          (rivalFirst ? PublishVerdict::Lost : PublishVerdict::Accepted));
    CHECK(report.mPublisher ==
          (rivalFirst ? "operator-rival" : "operator-rival-2"));
  }
}

// Guards against a publish command that is paused between its read and its
// swap and then overwrites versions published in the meantime.
TEST_CASE("a paused publish command does not revert the manifest", "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "old");
  bool paused = false;
  store.mFault = [&](const StoreRequest& aRequest) {
    if (IsHeadSwap(aRequest) && !paused) {
      paused = true;
      for (int i = 0; i < 250; ++i) {
        Publish(store, "later-" + std::to_string(i), std::to_string(i));
      }
    }
    return Fault::None;
  };
  CHECK(Publish(store, "b", "new").mVerdict == PublishVerdict::Lost);
  CHECK(PartyInForce(store) == "249");
  CHECK(LoadAll(store).Head()->mStamp.mVersion == 251);
}

// Guards against a version number that is issued twice after the store is
// restored from a backup, and a new version without a change of content.
TEST_CASE("a new version exceeds the highest version in the fleet",
          "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "one");
  store.Save();
  Publish(store, "b", "two");
  CHECK(Publish(store, "c", "two").mVerdict == PublishVerdict::Unchanged);
  store.Restore();
  const auto report = Publish(store, "d", "three", 2);
  CHECK(report.mVerdict == PublishVerdict::Accepted);
  CHECK(report.mInForce.mVersion == 3);
  // Content equal to the restored head still gets a higher version.
  store.Restore();
  const auto same = Publish(store, "e", "one", 3);
  CHECK(same.mVerdict == PublishVerdict::Accepted);
  CHECK(same.mInForce.mVersion == 4);
}

// Guards against a store that grows without bound, and deletion of deltas or
// snapshots that are needed to load the head.
TEST_CASE("unreferenced deltas and snapshots are deleted", "[manifest]")
{
  MemoryStore store;
  for (int i = 1; i <= 1000; ++i) {
    REQUIRE(
      Publish(store, "p" + std::to_string(i), std::to_string(i)).mVerdict ==
      PublishVerdict::Accepted);
    if (i % 97 == 0) {
      CHECK(PartyInForce(store) == std::to_string(i));
    }
  }
  // 200 deltas listed in the snapshot and up to 100 written since then.
  CHECK(CountKeys(store, "manifest/delta/") <= 301);
  CHECK(CountKeys(store, "manifest/snapshot/") <= 2);
  CHECK(LoadAll(store).Deltas().size() <= 101);
}

// Guards against a missing delta that blocks all further publishing.
TEST_CASE("publishing succeeds when a delta is missing", "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "one");
  Publish(store, "b", "two");
  store.GetContent().erase(DeltaKey(2, "b"));
  CHECK(LoadAll(store).GetState() == ManifestLoader::State::Failed);
  const auto report = Publish(store, "c", "three");
  CHECK(report.mVerdict == PublishVerdict::Accepted);
  CHECK(report.mInForce.mVersion == 3);
  CHECK(PartyInForce(store) == "three");
}

// Guards against damaged store values that are accepted as a manifest.
TEST_CASE("damaged store values are rejected", "[manifest]")
{
  MemoryStore store;
  Publish(store, "a", "one");
  auto& delta = store.GetContent()[DeltaKey(1, "a")].mValue;
  const auto good = delta;
  for (const std::string bad : { "", "{", "[]", "{\"from\":1}", "\xff\xfe" }) {
    CAPTURE(bad);
    delta = bad;
    CHECK(LoadAll(store).GetState() == ManifestLoader::State::Failed);
  }
  delta = good;
  delta.replace(delta.find("one"), 3, "two");
  CHECK_FALSE(LoadAll(store).Entries());
  store.GetContent()[HeadKey()].mValue = "nonsense";
  CHECK(Publish(store, "b", "x").mVerdict == PublishVerdict::NotDone);
}
