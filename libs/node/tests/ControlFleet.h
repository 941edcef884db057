#pragma once

#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../../manifest/tests/MemoryStore.h"
#include "FleetSlot.h"
#include "base/Rng.h"
#include "manifest/ManifestPublisher.h"
#include "manifest/StoreRecords.h"
#include "membership/MemberTable.h"
#include "node/ControlLogic.h"

namespace amaranthgap {

/** Many ControlLogic in one process, with a virtual clock, a network and a
 * store that can fail, all drawn from one seed. */
class ControlFleet
{
public:
  using Options = FleetOptions;
  using Slot = FleetSlot;

  explicit ControlFleet(Options aOptions)
    : mOptions(aOptions)
    , mRng(aOptions.mSeed)
  {
    mSlots.resize(mOptions.mNodes);
    for (uint32_t i = 0; i < mOptions.mNodes; ++i) {
      auto& slot = mSlots[i];
      const uint32_t dataCentre = i % mOptions.mDataCentres;
      slot.mId = "host-" + std::to_string(i);
      slot.mAddress = "10." + std::to_string(dataCentre) + "." +
                      std::to_string(i / 250) + "." + std::to_string(i % 250) +
                      ":7000";
      slot.mDataCentre = "dc-" + std::to_string(dataCentre);
      slot.mRegion = "region-" + std::to_string(dataCentre % mOptions.mRegions);
      mByAddress[slot.mAddress] = i;
    }
  }

  // -- Faults and operations --

  void Start(uint32_t aSlot, Duration aClockOffset = {})
  {
    auto& slot = mSlots[aSlot];
    ++slot.mRun;
    slot.mUp = true;
    slot.mPaused = false;
    slot.mHeld.clear();
    slot.mStamp = {};
    slot.mWasReady = false;
    std::vector<std::string> peers;
    if (mOptions.mStaticPeers) {
      for (uint32_t i = 0; i < 3; ++i) {
        peers.push_back(mSlots[(aSlot + 1 + i * 7) % mSlots.size()].mAddress);
      }
      peers.push_back(mSlots[0].mAddress);
    }
    // Start time in ms with random low bits, as the node process makes it.
    const auto millis =
      uint64_t(ToMillis((mNow + aClockOffset).time_since_epoch())) +
      1'000'000'000;
    slot.mLogic = std::make_unique<ControlLogic>(ControlLogic::Options{
      .mSelf = { { slot.mId }, { millis * 1024 + mRng.Below(1024) } },
      .mRegion = slot.mRegion,
      .mDataCentre = slot.mDataCentre,
      .mPeerAddress = slot.mAddress,
      .mStaticPeers = std::move(peers),
      .mHasStore = mOptions.mStore,
      .mSeed = mRng.Next(),
      .mSwitches = mOptions.mSwitches });
    Actions actions;
    slot.mLogic->SetUpstream(mNow, ServiceOf(aSlot), 16, seconds(1), actions);
    Carry(aSlot, actions);
    ScheduleTick(aSlot, Random(mOptions.mTick));
  }

  void StartAll()
  {
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      Start(i);
    }
  }

  /** Starts all nodes as members that know each other, as if they had joined
   * one after the other; a large fleet would take minutes to form. */
  void StartFormed()
  {
    StartAll();
    MemberTable table;
    MemberPage page;
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      const auto& slot = mSlots[i];
      // The upstream and the announcement have raised the refutation to 2.
      page.mUpdates.push_back({ .mNode = slot.mLogic->Self(),
                                .mRefutation = 2,
                                .mState = MemberState::Warm,
                                .mRegion = slot.mRegion,
                                .mDataCentre = slot.mDataCentre,
                                .mPeerAddress = slot.mAddress,
                                .mService = ServiceOf(i),
                                .mSlots = 16,
                                .mWarmUpMs = 1000 });
      table.Add(page.mUpdates.back(), false, mNow);
    }
    MemberDigest digest;
    digest.mPages.assign(table.PageDigests().begin(),
                         table.PageDigests().end());
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      const auto& peer = mSlots[i == 0 ? 1 : 0];
      Call(i, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
        Envelope envelope{ .mFrom = peer.mLogic->Self(),
                           .mFromAddress = peer.mAddress,
                           .mTo = aLogic.Self(),
                           .mMessage = page };
        for (auto& update : std::get<MemberPage>(envelope.mMessage).mUpdates) {
          if (update.mNode == aLogic.Self()) {
            std::swap(update,
                      std::get<MemberPage>(envelope.mMessage).mUpdates.back());
            std::get<MemberPage>(envelope.mMessage).mUpdates.pop_back();
            break;
          }
        }
        aLogic.MessageArrived(aNow, envelope, aActions);
        envelope.mMessage = digest;
        aLogic.MessageArrived(aNow, envelope, aActions);
      });
    }
  }

  void Kill(uint32_t aSlot)
  {
    auto& slot = mSlots[aSlot];
    slot.mUp = false;
    ++slot.mRun;
    slot.mLogic.reset();
    slot.mHeld.clear();
  }

  void Pause(uint32_t aSlot) { mSlots[aSlot].mPaused = true; }

  void Resume(uint32_t aSlot)
  {
    auto& slot = mSlots[aSlot];
    if (!slot.mPaused) {
      return;
    }
    slot.mPaused = false;
    auto held = std::move(slot.mHeld);
    slot.mHeld.clear();
    for (auto& event : held) {
      event();
    }
  }

  /** Leaves, waits and ends in an orderly way. */
  void Drain(uint32_t aSlot, Duration aWait)
  {
    Call(aSlot, [](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
      aLogic.Leave(aNow, aActions);
    });
    const uint64_t run = mSlots[aSlot].mRun;
    After(aWait, [this, aSlot, run] {
      if (!mSlots[aSlot].mUp || mSlots[aSlot].mRun != run) {
        return;
      }
      Call(aSlot, [](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
        aLogic.Left(aNow, aActions);
      });
      Kill(aSlot);
    });
  }

  /** Publishes a change as an operator's command does. */
  PublishReport Publish(const std::string& aId)
  {
    ++mPublished;
    mEntries["limits/max_retries_per_request"] = std::to_string(mPublished % 9);
    mEntries["callers/c" + std::to_string(mPublished % 50)] = "party-" + aId;
    uint64_t fleet = 0;
    for (int i = 0; i < 5; ++i) {
      const auto& slot = mSlots[mRng.Below(mSlots.size())];
      fleet = std::max(fleet, slot.mUp ? slot.mStamp.mVersion : 0);
    }
    auto report = PublishManifest(
      mStore,
      mEntries,
      { .mPublisher = "operator", .mPublishId = aId, .mFleetVersion = fleet });
    WakeWatches();
    return report;
  }

  void After(Duration aDelay, std::function<void()> aWork)
  {
    mEvents.push({ mNow + aDelay, ++mLastEvent, std::move(aWork) });
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      auto event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mWork();
    }
    mNow = end;
  }

  /** Runs until the condition holds.
   * @return the time it took, or nothing when aLimit passed. */
  std::optional<Duration> RunUntil(Duration aLimit,
                                   const std::function<bool()>& aCondition,
                                   Duration aStep = milliseconds(100))
  {
    const TimePoint start = mNow;
    while (!aCondition()) {
      if (mNow - start >= aLimit) {
        return std::nullopt;
      }
      Run(aStep);
    }
    return mNow - start;
  }

  // -- Observation --

  [[nodiscard]] TimePoint Now() const { return mNow; }
  [[nodiscard]] std::vector<Slot>& Slots() { return mSlots; }
  [[nodiscard]] MemoryStore& Store() { return mStore; }
  [[nodiscard]] Rng& Random() { return mRng; }
  [[nodiscard]] ManifestEntries& Entries() { return mEntries; }
  /** @return violations of invariants; empty when all hold. */
  [[nodiscard]] const std::vector<std::string>& Violations() const
  {
    return mViolations;
  }

  void Violate(const Slot& aSlot, const std::string& aWhat)
  {
    mViolations.push_back(aSlot.mId + ": " + aWhat + " at " +
                          std::to_string(ToMillis(mNow - kStart)) + " ms");
  }

  [[nodiscard]] bool IsRunning(uint32_t aSlot) const
  {
    return mSlots[aSlot].mUp && !mSlots[aSlot].mPaused;
  }

  /** @return number of running nodes for which the check on their entry of the
   * slot fails. */
  size_t Dissenters(uint32_t aOf,
                    const std::function<bool(const MemberUpdate*)>& aCheck)
  {
    size_t count = 0;
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      if (i == aOf || !IsRunning(i)) {
        continue;
      }
      count +=
        aCheck(mSlots[i].mLogic->FindMember({ mSlots[aOf].mId })) ? 0 : 1;
    }
    return count;
  }

  /** @return whether all running nodes are ready and hold exactly the running
   * incarnations as live members. */
  bool IsAgreed()
  {
    size_t running = 0;
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      running += IsRunning(i) ? 1 : 0;
    }
    // Counts first, since comparing all pairs is slow in a large fleet.
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      if (IsRunning(i) && (!mSlots[i].mLogic->IsReady() ||
                           mSlots[i].mLogic->LiveMembers() + 1 != running)) {
        return false;
      }
    }
    for (uint32_t i = 0; i < mSlots.size(); ++i) {
      if (!IsRunning(i)) {
        continue;
      }
      const auto self = mSlots[i].mLogic->Self();
      if (Dissenters(i, [&](const MemberUpdate* aUpdate) {
            return aUpdate != nullptr && aUpdate->mNode == self &&
                   aUpdate->mState != MemberState::Suspect &&
                   aUpdate->mState != MemberState::Dead &&
                   aUpdate->mState != MemberState::Left;
          }) != 0) {
        return false;
      }
    }
    return true;
  }

  /** @return whether all running nodes have this version in force. */
  bool IsInForce(uint64_t aVersion)
  {
    return std::all_of(mSlots.begin(), mSlots.end(), [&](const Slot& aSlot) {
      return !aSlot.mUp || aSlot.mPaused ||
             (aSlot.mLogic->IsReady() && aSlot.mStamp.mVersion == aVersion);
    });
  }

  [[nodiscard]] size_t CountAudit(AuditKind aKind) const
  {
    size_t count = 0;
    for (const auto& slot : mSlots) {
      count += size_t(std::count_if(
        slot.mAudit.begin(), slot.mAudit.end(), [&](const AuditEntry& aEntry) {
          return aEntry.mKind == aKind;
        }));
    }
    return count;
  }

  /** Cut between two slots; checked at the sending and at the delivery. */
  std::function<bool(uint32_t, uint32_t)> mCut;
  std::function<void(const Slot&)> mOnReady;
  bool mTrace = false; ///< Prints all audit entries.
  bool mStoreDown = false;
  double mStoreLoseAnswer = 0;
  double mStoreSlow = 0; ///< Share of store calls that time out by slowness.

  /** Calls an entry point of one node and carries out its actions. */
  template<class F>
  void Call(uint32_t aSlot, F&& aEvent)
  {
    auto& slot = mSlots[aSlot];
    if (!slot.mUp) {
      return;
    }
    Actions actions;
    if (mOptions.mMeasure) {
      const auto start = std::chrono::steady_clock::now();
      aEvent(*slot.mLogic, mNow, actions);
      slot.mBusy += std::chrono::steady_clock::now() - start;
    } else {
      aEvent(*slot.mLogic, mNow, actions);
    }
    Carry(aSlot, actions);
    CheckSlot(slot);
  }

private:
  using Event = FleetEvent;
  using PendingWatch = FleetWatch;

  static std::string ServiceOf(uint32_t aSlot)
  {
    return "service-" + std::to_string(aSlot % 41);
  }

  Duration Random(Duration aBelow)
  {
    return FromSeconds(ToSeconds(aBelow) * mRng.Uniform());
  }

  /** Runs the event at the slot after the delay, unless the process there has
   * ended by then; a paused process takes it when it resumes. */
  void Deliver(uint32_t aSlot, Duration aDelay, std::function<void()> aWork)
  {
    const uint64_t run = mSlots[aSlot].mRun;
    After(aDelay + mSlots[aSlot].mSlow,
          [this, aSlot, run, work = std::move(aWork)] {
            auto& slot = mSlots[aSlot];
            if (slot.mRun != run || !slot.mUp) {
              return;
            }
            if (slot.mPaused) {
              slot.mHeld.push_back(work);
            } else {
              work();
            }
          });
  }

  void ScheduleTick(uint32_t aSlot, Duration aDelay)
  {
    Deliver(aSlot, aDelay, [this, aSlot] {
      Call(aSlot, [](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
        aLogic.Tick(aNow, aActions);
      });
      if (mSlots[aSlot].mUp) {
        ScheduleTick(aSlot, mOptions.mTick - mSlots[aSlot].mSlow);
      }
    });
  }

  void Carry(uint32_t aSlot, Actions& aActions)
  {
    auto& slot = mSlots[aSlot];
    for (auto& action : aActions) {
      if (auto* send = std::get_if<SendMessage>(&action)) {
        Transmit(aSlot, std::move(*send));
      } else if (const auto* call = std::get_if<StartStoreCall>(&action)) {
        ++slot.mStoreCalls;
        CallStore(aSlot, call->mCall, call->mRequest);
      } else if (auto* entry = std::get_if<AuditEntry>(&action)) {
        if (mTrace) {
          std::fprintf(stderr,
                       "%ld ms %s: %s %s: %s (%s)\n",
                       long(ToMillis(mNow - kStart)),
                       slot.mId.c_str(),
                       std::string(ToName(entry->mKind)).c_str(),
                       entry->mSubject.c_str(),
                       entry->mCause.c_str(),
                       entry->mPeer.c_str());
        }
        slot.mAudit.push_back(std::move(*entry));
      }
    }
  }

  void Transmit(uint32_t aSlot, SendMessage aSend)
  {
    auto& slot = mSlots[aSlot];
    const bool datagram = aSend.mTransport == Transport::Datagram;
    msgpack::sbuffer buf;
    std::visit([&](const auto& aBody) { msgpack::pack(buf, aBody); },
               aSend.mMessage);
    // Version, cluster, both NodeRefs, sender's address, sequence number,
    // kind, body header and tag; a datagram adds 28 bytes of IP and UDP.
    constexpr size_t kEnvelope = 130;
    slot.mBytes += buf.size() + kEnvelope + 28;
    ++slot.mMessages;
    if (datagram && buf.size() + kEnvelope > 1200) {
      Violate(slot, "datagram of " + std::to_string(buf.size()) + " bytes");
    }
    const auto it = mByAddress.find(aSend.mAddress);
    if (it == mByAddress.end()) {
      return;
    }
    const uint32_t to = it->second;
    auto envelope = std::make_shared<Envelope>(
      Envelope{ .mFrom = slot.mLogic->Self(),
                .mFromAddress = slot.mAddress,
                .mTo = aSend.mTo,
                .mSequence = ++mLastSequence,
                .mMessage = std::move(aSend.mMessage) });
    const bool broken = !mSlots[to].mUp || (mCut && mCut(aSlot, to));
    if (broken && !datagram) {
      const NodeRef peer = aSend.mTo;
      Deliver(aSlot, seconds(1), [this, aSlot, peer] {
        Call(aSlot,
             [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
               aLogic.PeerLost(aNow, peer, aActions);
             });
      });
    }
    if (broken || (datagram && mRng.Uniform() < mOptions.mLoss)) {
      return;
    }
    const int copies = datagram && mRng.Uniform() < mOptions.mDuplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const Duration delay =
        (slot.mRegion == mSlots[to].mRegion ? mOptions.mInRegion
                                            : mOptions.mBetweenRegions) +
        Random(mOptions.mJitter);
      Deliver(to, delay, [this, aSlot, to, envelope] {
        if (mCut && mCut(aSlot, to)) {
          return;
        }
        Call(to, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
          // The shell drops what is meant for someone else.
          const auto& target = envelope->mTo;
          if ((target.mId.IsEmpty() || target.mId == aLogic.Self().mId) &&
              (target.mIncarnation.mValue == 0 ||
               target.mIncarnation == aLogic.Self().mIncarnation)) {
            aLogic.MessageArrived(aNow, *envelope, aActions);
          }
        });
      });
    }
  }

  void CallStore(uint32_t aSlot,
                 StoreCallId aCall,
                 const StoreRequest& aRequest)
  {
    const Duration delay = milliseconds(2) + Random(milliseconds(2));
    if (mStoreDown || mRng.Uniform() < mStoreSlow) {
      Answer(aSlot,
             aCall,
             mStoreDown ? delay : aRequest.mTimeout,
             { .mVerdict =
                 mStoreDown ? StoreVerdict::NotDone : StoreVerdict::Unclear,
               .mDetail = "store down" });
      return;
    }
    auto answer = mStore.Execute(aRequest);
    if (aRequest.mOperation == StoreOperation::Watch &&
        answer.mVerdict == StoreVerdict::Unchanged) {
      mWatches.push_back({ .mSlot = aSlot,
                           .mRun = mSlots[aSlot].mRun,
                           .mCall = aCall,
                           .mRequest = aRequest,
                           .mUntil = mNow + aRequest.mTimeout });
      After(aRequest.mTimeout, [this] { WakeWatches(); });
      return;
    }
    if (mRng.Uniform() < mStoreLoseAnswer) {
      Answer(aSlot,
             aCall,
             aRequest.mTimeout,
             { .mVerdict = StoreVerdict::Unclear, .mDetail = "timeout" });
      return;
    }
    Answer(aSlot, aCall, delay, answer);
    WakeWatches();
  }

  void WakeWatches()
  {
    auto watches = std::move(mWatches);
    mWatches.clear();
    for (auto& watch : watches) {
      if (mSlots[watch.mSlot].mRun != watch.mRun) {
        continue;
      }
      if (mStoreDown) {
        Answer(watch.mSlot,
               watch.mCall,
               milliseconds(2),
               { .mVerdict = StoreVerdict::Unclear, .mDetail = "lost" });
        continue;
      }
      const auto answer = mStore.Execute(watch.mRequest);
      if (answer.mVerdict == StoreVerdict::Unchanged && mNow < watch.mUntil) {
        mWatches.push_back(std::move(watch));
        continue;
      }
      Answer(watch.mSlot, watch.mCall, milliseconds(2), answer);
    }
  }

  void Answer(uint32_t aSlot,
              StoreCallId aCall,
              Duration aDelay,
              StoreAnswer aAnswer)
  {
    Deliver(aSlot, aDelay, [this, aSlot, aCall, answer = std::move(aAnswer)] {
      Call(aSlot, [&](ControlLogic& aLogic, TimePoint aNow, Actions& aActions) {
        aLogic.StoreAnswered(aNow, aCall, answer, aActions);
      });
    });
  }

  void CheckSlot(Slot& aSlot)
  {
    const auto stamp = aSlot.mLogic->Stamp();
    if (stamp.mVersion < aSlot.mStamp.mVersion) {
      Violate(aSlot, "version went down");
    }
    if (stamp.mVersion == aSlot.mStamp.mVersion &&
        stamp.mDigest != aSlot.mStamp.mDigest) {
      Violate(aSlot, "digest of a version changed");
    }
    aSlot.mStamp = stamp;
    const bool ready = aSlot.mLogic->IsReady();
    if (ready && !aSlot.mWasReady) {
      aSlot.mWasReady = true;
      aSlot.mReadyVersion = stamp.mVersion;
      if (mOnReady) {
        mOnReady(aSlot);
      }
    }
    if (ready) {
      aSlot.mSlotVersion = std::max(aSlot.mSlotVersion, stamp.mVersion);
    }
  }

  static constexpr TimePoint kStart{ seconds(1000) };

  Options mOptions;
  Rng mRng;
  TimePoint mNow = kStart;
  std::vector<Slot> mSlots;
  std::unordered_map<std::string, uint32_t> mByAddress;
  std::priority_queue<Event> mEvents;
  uint64_t mLastEvent = 0;
  uint64_t mLastSequence = 0;
  MemoryStore mStore;
  std::vector<PendingWatch> mWatches;
  ManifestEntries mEntries;
  uint64_t mPublished = 0;
  std::vector<std::string> mViolations;
};

} // namespace amaranthgap
