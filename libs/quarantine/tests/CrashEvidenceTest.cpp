#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>

#include "base/Hash.h"
#include "base/Rng.h"
#include "quarantine/CrashEvidence.h"

using namespace amaranthgap;

namespace {

const TimePoint kStart{ seconds(100) };
const std::string kService = "logs";

RequestFingerprints
Prints(uint64_t aContent,
       uint64_t aCaller = 1,
       const std::string& aService = kService)
{
  return { .mOfContent = aContent,
           .mFromCaller = aContent * 1000 + aCaller,
           .mOfResource = aContent * 1000 + aCaller + 500,
           .mService = Hash64(aService) };
}

InFlightRequest
Normal(uint64_t aContent, uint64_t aCaller = 1)
{
  return { .mFingerprints = Prints(aContent, aCaller) };
}

constexpr uint64_t kResource = 1;

InFlightRequest
OfResource(uint64_t aContent)
{
  InFlightRequest out = Normal(aContent);
  out.mFingerprints.mOfResource = kResource;
  return out;
}

/** Nodes of one service that get each other's notices at once, or held back. */
class EvidenceGroup
{
public:
  explicit EvidenceGroup(size_t aCount)
    : mNodes(aCount, CrashEvidence(CrashEvidence::Options{}))
  {
  }

  /** The upstream of a node crashes; what is on probation runs as a trial. */
  void Crash(size_t aNode,
             std::vector<InFlightRequest> aInFlight,
             const std::string& aService = kService)
  {
    for (InFlightRequest& it : aInFlight) {
      it.mIsTrial =
        mNodes[aNode].StateOf(mNow, it.mFingerprints) == Suspicion::Probation;
    }
    Tell(mNodes[aNode].RecordCrash(mNow, aService, ++mCrash, aInFlight));
  }

  void Complete(size_t aNode, const RequestFingerprints& aPrints)
  {
    Tell(mNodes[aNode].RecordCompletion(mNow, aPrints));
  }

  /** Holds what nodes tell each other back. */
  void HoldNotices() { mHoldsNotices = true; }
  void PassNotices()
  {
    mHoldsNotices = false;
    for (const CrashNotice& it : std::exchange(mHeld, {})) {
      Tell(it);
    }
  }

  void Wait(Duration aTime)
  {
    mNow += aTime;
    for (CrashEvidence& it : mNodes) {
      it.Expire(mNow);
    }
  }

  [[nodiscard]] Suspicion StateOf(size_t aNode, uint64_t aContent) const
  {
    return mNodes[aNode].StateOf(mNow, Prints(aContent));
  }
  [[nodiscard]] bool AllHave(uint64_t aContent, Suspicion aState) const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return aNode.StateOf(mNow, Prints(aContent)) == aState;
    });
  }
  [[nodiscard]] bool AllHaveResource(Suspicion aState) const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return aNode.StateOf(mNow, kResource) == aState;
    });
  }
  [[nodiscard]] TimePoint Now() const { return mNow; }
  CrashEvidence& At(size_t aNode) { return mNodes[aNode]; }

private:
  void Tell(const CrashNotice& aNotice)
  {
    if (mHoldsNotices) {
      mHeld.push_back(aNotice);
      return;
    }
    std::vector<CrashNotice> waiting{ aNotice };
    while (!waiting.empty()) {
      const CrashNotice notice = waiting.back();
      waiting.pop_back();
      if (notice.IsEmpty()) {
        continue;
      }
      for (CrashEvidence& it : mNodes) {
        waiting.push_back(it.Merge(mNow, notice));
      }
    }
  }

  std::vector<CrashEvidence> mNodes;
  bool mHoldsNotices = false;
  std::vector<CrashNotice> mHeld;
  TimePoint mNow = kStart;
  uint64_t mCrash = 0;
};

} // namespace

// Guards against a crashing request that costs more than three upstreams.
TEST_CASE("a content is quarantined everywhere after three crashes")
{
  EvidenceGroup group(4);
  group.Crash(0, { Normal(1), Normal(2), Normal(7) });
  CHECK(group.AllHave(7, Suspicion::Suspect));
  group.Crash(1, { Normal(3), Normal(4), Normal(7) });
  CHECK(group.AllHave(7, Suspicion::Probation));
  CHECK(group.AllHave(1, Suspicion::Suspect));
  group.Crash(2, { Normal(5), Normal(7) });
  CHECK(group.AllHave(7, Suspicion::Quarantined));
  CHECK(group.AllHave(5, Suspicion::Suspect));
  CHECK(group.At(3).QuarantineLeft(group.Now(), Prints(7)) == minutes(10));
}

// Guards against the refusal of requests that were in flight by chance.
TEST_CASE("a content that completes anywhere is suspected no more")
{
  EvidenceGroup group(4);
  group.Crash(0, { Normal(1) });
  group.Complete(3, Prints(1));
  CHECK(group.StateOf(3, 1) == Suspicion::Clear);
  // Node 3 corrects the others once they hold the content for a graver case.
  group.Crash(1, { Normal(1) });
  CHECK(group.AllHave(1, Suspicion::Suspect));
  group.Crash(2, { Normal(1) });
  CHECK(group.AllHave(1, Suspicion::Probation));
  group.Complete(0, Prints(1));
  CHECK(group.AllHave(1, Suspicion::Clear));
}

// Guards against a loss of power of a data centre that quarantines what all of
// its upstreams were running.
TEST_CASE("crashes at the same moment quarantine nothing")
{
  EvidenceGroup group(6);
  for (size_t n = 0; n < 5; ++n) {
    const std::vector<InFlightRequest> inFlight{ Normal(1), Normal(2) };
    group.At(n).RecordCrash(group.Now(), kService, 100 + n, inFlight);
  }
  for (size_t n = 0; n < 5; ++n) {
    group.At(5).Merge(
      group.Now(),
      group.At(n).Snapshot(group.Now(), kService, Suspicion::Suspect));
  }
  CHECK(group.StateOf(5, 1) == Suspicion::Probation);
  group.Complete(5, Prints(1));
  CHECK(group.StateOf(5, 1) == Suspicion::Clear);
}

// Guards against suspicion of a content that is answered all the time.
TEST_CASE("a content that has just completed is no suspect of a crash")
{
  EvidenceGroup group(2);
  group.Complete(0, Prints(1));
  group.Crash(0, { Normal(1), Normal(2) });
  CHECK(group.AllHave(1, Suspicion::Clear));
  CHECK(group.AllHave(2, Suspicion::Suspect));
  group.Wait(seconds(6));
  group.Wait(seconds(6));
  group.Crash(0, { Normal(1) });
  CHECK(group.AllHave(1, Suspicion::Suspect));
}

// Guards against a crashing request that hides behind the same content of other
// callers, and against their refusal.
TEST_CASE("a content that crashes for one caller is refused to that one only")
{
  EvidenceGroup group(3);
  for (size_t n = 0; n < 3; ++n) {
    group.Complete(n, Prints(1, 2));
    group.Crash(n, { Normal(1, 1) });
  }
  const TimePoint now = group.Now();
  CHECK(group.At(0).StateOf(now, Prints(1, 1)) == Suspicion::Quarantined);
  CHECK(group.At(0).StateOf(now, Prints(1, 2)) == Suspicion::Clear);
}

// Guards against a crashing request that is another content each time, and
// against one that takes turns among a few.
TEST_CASE("a resource whose contents crash upstreams is quarantined")
{
  const auto contentCount = uint64_t(GENERATE(2, 3, 6));
  EvidenceGroup group(4);
  for (uint64_t n = 0; n < 3; ++n) {
    group.Crash(n, { OfResource(10 + n % contentCount) });
  }
  const TimePoint now = group.Now();
  const RequestFingerprints other = OfResource(20).mFingerprints;
  CHECK(group.At(3).StateOf(now, other) == Suspicion::Quarantined);
  CHECK(group.At(3).QuarantineLeft(now, other) == minutes(10));
  CHECK(group.StateOf(3, 20) == Suspicion::Clear);
}

// Guards against copies that crash an upstream together, so that each of their
// contents is a suspect before it crashes the next one.
TEST_CASE("copies with other contents that come together hold their resource")
{
  const bool crossesNotices = GENERATE(false, true);
  INFO("notices cross: " << crossesNotices);
  EvidenceGroup group(4);
  const std::vector<InFlightRequest> copies{ OfResource(11),
                                             OfResource(12),
                                             OfResource(13) };
  group.Crash(0, copies);
  if (crossesNotices) {
    group.HoldNotices();
  }
  const size_t secondCount = crossesNotices ? copies.size() : 1;
  for (size_t n = 0; n < secondCount; ++n) {
    group.Crash(1 + n, { copies[n] });
  }
  group.PassNotices();
  CHECK(group.AllHaveResource(Suspicion::Probation));
}

// Guards against many crashes under one content that hide those under others,
// and against innocent requests that are held for crashes at the same time.
TEST_CASE("a resource is held from the first crash under a second content on")
{
  EvidenceGroup group(12);
  group.HoldNotices();
  for (size_t n = 0; n < 9; ++n) {
    group.Crash(n, { OfResource(11) });
  }
  group.PassNotices();
  CHECK(group.AllHaveResource(Suspicion::Suspect));
  group.Crash(9, { OfResource(12) });
  CHECK(group.AllHaveResource(Suspicion::Probation));
}

// Guards against a resource that stays held because innocent requests for it
// were in flight beside the one that crashes upstreams.
TEST_CASE("a completion frees a resource from the crashes of one content")
{
  EvidenceGroup group(4);
  group.Crash(0, { OfResource(11), OfResource(12) });
  group.Crash(1, { OfResource(13), OfResource(11) });
  group.Complete(2, OfResource(12).mFingerprints);
  CHECK(group.AllHaveResource(Suspicion::Clear));
  group.Crash(3, { OfResource(11) });
  CHECK(group.At(0).StateOf(group.Now(), OfResource(11).mFingerprints) ==
        Suspicion::Quarantined);
  CHECK(group.AllHaveResource(Suspicion::Suspect));
}

// Guards against the refusal of other requests for the resource of one that
// crashes upstreams.
TEST_CASE("a crashing content does not implicate its resource")
{
  EvidenceGroup group(4);
  RequestFingerprints other = Prints(8);
  other.mOfResource = Prints(7).mOfResource;
  for (size_t n = 0; n < 3; ++n) {
    group.Crash(n, { Normal(7) });
  }
  CHECK(group.AllHave(7, Suspicion::Quarantined));
  CHECK(group.At(3).StateOf(group.Now(), other) < Suspicion::Probation);
}

// Guards against the refusal of a resource that most requests use unharmed.
TEST_CASE("a completion for a resource clears it")
{
  EvidenceGroup group(4);
  RequestFingerprints one = Prints(7);
  RequestFingerprints other = Prints(8);
  one.mOfResource = other.mOfResource = 1;
  group.Crash(0, { { .mFingerprints = one } });
  group.Crash(1, { { .mFingerprints = other } });
  CHECK(group.At(3).StateOf(group.Now(), 1) == Suspicion::Probation);
  group.Complete(2, other);
  CHECK(group.At(3).StateOf(group.Now(), 1) == Suspicion::Clear);
}

// Guards against three more crashes at each service that a route moves to, and
// against refusal by a service that may be able to run the request.
TEST_CASE("a quarantined content gets one trial at each other service")
{
  EvidenceGroup group(3);
  for (size_t n = 0; n < 3; ++n) {
    group.Crash(n, { Normal(7) });
  }
  const std::string other = "archive";
  const RequestFingerprints there = Prints(7, 1, other);
  const TimePoint now = group.Now();
  CHECK(group.At(0).StateOf(now, there) == Suspicion::Probation);
  CHECK(group.At(0).QuarantineLeft(now, there) == Duration::zero());
  group.Crash(0, { { .mFingerprints = there } }, other);
  CHECK(group.At(2).StateOf(now, there) == Suspicion::Quarantined);
  CHECK(group.AllHave(7, Suspicion::Quarantined));
}

// Guards against an upstream that stays without a request after it was
// repaired, and against three more crashes if it was not.
TEST_CASE("a quarantine ends with a trial")
{
  EvidenceGroup group(3);
  for (size_t n = 0; n < 3; ++n) {
    group.Crash(n, { Normal(7) });
  }
  group.Wait(minutes(10));
  CHECK(group.AllHave(7, Suspicion::Probation));
  group.Crash(0, { Normal(7) });
  CHECK(group.AllHave(7, Suspicion::Quarantined));
  group.Wait(minutes(10));
  group.Complete(1, Prints(7));
  CHECK(group.AllHave(7, Suspicion::Clear));
  group.Wait(minutes(10));
  CHECK(group.At(0).IsEmpty());
}

// Guards against an operator who is not told that a request is let through
// again.
TEST_CASE("the end of a quarantine is told once")
{
  CrashEvidence evidence(CrashEvidence::Options{});
  for (uint64_t crash = 1; crash <= 3; ++crash) {
    evidence.RecordCrash(
      kStart,
      kService,
      crash,
      { { .mFingerprints = Prints(7), .mIsTrial = crash == 3 } });
  }
  CHECK(evidence.Expire(kStart + minutes(10) - milliseconds(1)).empty());
  const auto ended = evidence.Expire(kStart + minutes(10));
  REQUIRE(ended.size() == 2); // Of the content, and of it from its caller.
  CHECK(ended[0].mService == kService);
  REQUIRE(ended[0].mRecords.size() == 1);
  CHECK(ended[0].mRecords[0].mQuarantineMs == 0);
  CHECK(evidence.Expire(kStart + minutes(10) + milliseconds(1)).empty());
}

// Guards against suspects that push the requests known to crash out of a full
// table.
TEST_CASE("a full table of evidence keeps what is quarantined")
{
  CrashEvidence evidence({ .mMaxEntries = 8 });
  for (uint64_t crash = 1; crash <= 3; ++crash) {
    evidence.RecordCrash(
      kStart,
      kService,
      crash,
      { { .mFingerprints = Prints(7), .mIsTrial = crash == 3 } });
  }
  for (uint64_t content = 10; content < 30; ++content) {
    evidence.RecordCrash(kStart, kService, content, { Normal(content) });
  }
  CHECK(evidence.StateOf(kStart, Prints(7)) == Suspicion::Quarantined);
  CHECK(
    evidence.Snapshot(kStart, kService, Suspicion::Suspect).mRecords.size() <=
    8);
}

// Guards against nodes that disagree for ever after notices were delayed,
// repeated or lost with a connection.
TEST_CASE("copies of the evidence converge in any order of the notices")
{
  const auto seed = uint64_t(GENERATE(range(1, 20)));
  INFO("seed " << seed);
  Rng rng(seed);
  std::vector<CrashEvidence> nodes(5, CrashEvidence(CrashEvidence::Options{}));
  std::vector<CrashNotice> notices;
  for (uint64_t n = 1; n <= 60; ++n) {
    CrashEvidence& node = nodes[rng.Below(nodes.size())];
    const uint64_t content = rng.Below(4);
    if (rng.Below(3) > 0) {
      const bool isTrial =
        node.StateOf(kStart, Prints(content)) == Suspicion::Probation;
      notices.push_back(
        node.RecordCrash(kStart,
                         kService,
                         n,
                         { { .mFingerprints = Prints(content),
                             .mIsTrial = isTrial && rng.Below(4) == 0 } }));
    } else {
      notices.push_back(node.RecordCompletion(kStart, Prints(content)));
    }
    const CrashNotice& some = notices[rng.Below(notices.size())];
    notices.push_back(nodes[rng.Below(nodes.size())].Merge(kStart, some));
  }
  // New connections bring the snapshots of both ends.
  for (int round = 0; round < 2; ++round) {
    for (CrashEvidence& one : nodes) {
      for (CrashEvidence& other : nodes) {
        one.Merge(kStart, other.Snapshot(kStart, kService, Suspicion::Clear));
      }
    }
  }
  for (uint64_t content = 0; content < 4; ++content) {
    const Suspicion state = nodes[0].StateOf(kStart, Prints(content));
    for (const CrashEvidence& it : nodes) {
      CHECK(it.StateOf(kStart, Prints(content)) == state);
    }
  }
}
