#include <catch2/catch.hpp>

#include <cstdlib>
#include <deque>

#include "ControlFleet.h"

using namespace amaranthgap;

namespace {

/** @return the state of each slot and where its view is wrong. */
std::string
Describe(ControlFleet& aFleet)
{
  std::string text;
  auto& slots = aFleet.Slots();
  for (auto& slot : slots) {
    text +=
      slot.mId + (slot.mUp ? " up" : " down") + (slot.mPaused ? " paused" : "");
    if (slot.mUp) {
      text += std::string(slot.mLogic->IsReady() ? " ready" : "") +
              (slot.mLogic->IsSuperseded() ? " superseded" : "") + " inc " +
              std::to_string(slot.mLogic->Self().mIncarnation.mValue) +
              " version " + std::to_string(slot.mStamp.mVersion);
      for (const auto& update : slot.mLogic->Members()) {
        const auto of = std::find_if(
          slots.begin(), slots.end(), [&](const ControlFleet::Slot& aSlot) {
            return aSlot.mId == update.mNode.mId.mValue;
          });
        const bool live = update.mState != MemberState::Dead &&
                          update.mState != MemberState::Left;
        const bool right =
          live == of->mUp && (!live || update.mNode == of->mLogic->Self());
        if (!right || update.mState == MemberState::Suspect) {
          text += "; " + update.mNode.mId.mValue + " " +
                  std::string(ToName(update.mState)) + " inc " +
                  std::to_string(update.mNode.mIncarnation.mValue) + " ref " +
                  std::to_string(update.mRefutation);
        }
      }
    }
    text += "\n";
  }
  return text;
}

/** One random run of a fleet under combined faults. */
class Schedule
{
public:
  explicit Schedule(uint64_t aSeed)
    : mRng(aSeed * 7919 + 1)
    , mFleet(MakeOptions(aSeed))
  {
  }

  /** @return what went wrong, or an empty text. */
  std::string Run()
  {
    mFleet.mOnReady = [&](const ControlFleet::Slot& aSlot) {
      CheckReady(aSlot);
    };
    mFleet.mTrace = std::getenv("AMARANTHGAP_TRACE") != nullptr;
    Publish();
    mFleet.StartAll();
    if (!mFleet.RunUntil(seconds(40), [&] { return mFleet.IsAgreed(); })) {
      return "the fleet did not form";
    }
    const int steps = 20 + int(mRng.Below(20));
    for (int i = 0; i < steps; ++i) {
      Step();
      mFleet.Run(milliseconds(200 + int64_t(mRng.Below(2500))));
      CheckRemovals();
      RestartSuperseded();
    }
    Heal();
    if (auto problem = CheckAgreement(); !problem.empty()) {
      return problem;
    }
    return mFleet.Violations().empty() ? "" : mFleet.Violations().front();
  }

private:
  ControlFleet::Options MakeOptions(uint64_t aSeed)
  {
    return { .mNodes = mRng.Below(8) == 0 ? 40U : 10U,
             .mSeed = aSeed,
             .mTick = milliseconds(25),
             .mLoss = mRng.Uniform(0, 0.08),
             .mDuplicate = mRng.Uniform(0, 0.05),
             .mJitter = milliseconds(int64_t(mRng.Below(60))),
             .mStaticPeers = mRng.Below(2) == 0 };
  }

  uint32_t AnySlot() { return uint32_t(mRng.Below(mFleet.Slots().size())); }

  void Publish()
  {
    const auto report = mFleet.Publish("p" + std::to_string(++mPublishes));
    if (report.mVerdict == PublishVerdict::Accepted) {
      mAccepted.emplace_back(mFleet.Now(), report.mInForce.mVersion);
    }
  }

  void Step()
  {
    const uint32_t slot = AnySlot();
    auto& state = mFleet.Slots()[slot];
    switch (mRng.Below(11)) {
      case 0:
        mFleet.Kill(slot);
        break;
      case 1:
      case 2:
        if (!state.mUp) {
          // Clocks of new hosts differ by up to an hour.
          mFleet.Start(slot, seconds(int64_t(mRng.Below(7200)) - 3600));
        }
        break;
      case 3:
        if (mFleet.IsRunning(slot)) {
          mFleet.Pause(slot);
          const uint64_t run = state.mRun;
          mFleet.After(seconds(int64_t(mRng.Below(20))), [this, slot, run] {
            if (mFleet.Slots()[slot].mRun == run) {
              mFleet.Resume(slot);
            }
          });
        }
        break;
      case 4:
        if (mFleet.IsRunning(slot)) {
          mFleet.Drain(slot, seconds(1 + int64_t(mRng.Below(4))));
        }
        break;
      case 5:
        mFleet.mCut = [this](uint32_t aFrom, uint32_t aTo) {
          return mFleet.Slots()[aFrom].mRegion != mFleet.Slots()[aTo].mRegion;
        };
        mLastCut = mFleet.Now();
        break;
      case 6:
        if (mFleet.mCut) {
          mLastCut = mFleet.Now();
        }
        mFleet.mCut = nullptr;
        break;
      case 7:
        mFleet.mStoreDown = mRng.Below(2) == 0;
        break;
      case 8:
        mFleet.mStoreLoseAnswer = mRng.Uniform(0, 0.4);
        mFleet.mStoreSlow = mRng.Uniform(0, 0.3);
        break;
      default:
        Publish();
    }
  }

  /** A node that becomes ready must not have missed a version that all others
   * have had in force. */
  void CheckReady(const ControlFleet::Slot& aSlot)
  {
    if (IsCut()) {
      return;
    }
    for (const auto& [at, version] : mAccepted) {
      if (mFleet.Now() - at >= seconds(14) && aSlot.mReadyVersion < version &&
          !mFleet.mStoreDown) {
        mFleet.Violate(aSlot,
                       "ready with version " +
                         std::to_string(aSlot.mReadyVersion) + " after " +
                         std::to_string(version));
        return;
      }
    }
  }

  [[nodiscard]] bool IsCut() const
  {
    return mFleet.mCut || mFleet.Now() - mLastCut < seconds(30);
  }

  /** A node that runs undisturbed must not be gone for all others. */
  void CheckRemovals()
  {
    for (uint32_t i = 0; i < mFleet.Slots().size(); ++i) {
      auto& slot = mFleet.Slots()[i];
      const bool undisturbed = mFleet.IsRunning(i) && !IsCut() &&
                               slot.mLogic->IsReady() &&
                               !slot.mLogic->IsSuperseded();
      mUndisturbed[i] = undisturbed ? mUndisturbed[i] + 1 : 0;
      if (mUndisturbed[i] < 10) {
        continue;
      }
      size_t running = 0;
      for (uint32_t other = 0; other < mFleet.Slots().size(); ++other) {
        running += other != i && mFleet.IsRunning(other) ? 1 : 0;
      }
      const size_t gone = mFleet.Dissenters(i, [](const MemberUpdate* aUpdate) {
        return aUpdate != nullptr && aUpdate->mState != MemberState::Dead &&
               aUpdate->mState != MemberState::Left;
      });
      if (running > 2 && gone == running) {
        mFleet.Violate(slot, "removed by everyone while running");
      }
    }
  }

  /** The platform restarts a node that ended because it was superseded, which
   * happens to a host whose clock is behind and which joined in a partition. */
  void RestartSuperseded()
  {
    for (uint32_t i = 0; i < mFleet.Slots().size(); ++i) {
      if (mFleet.IsRunning(i) && mFleet.Slots()[i].mLogic->IsSuperseded()) {
        mFleet.Kill(i);
        mFleet.Start(i);
      }
    }
  }

  void Heal()
  {
    mFleet.mCut = nullptr;
    mFleet.mStoreDown = false;
    mFleet.mStoreLoseAnswer = 0;
    mFleet.mStoreSlow = 0;
    for (uint32_t i = 0; i < mFleet.Slots().size(); ++i) {
      auto& slot = mFleet.Slots()[i];
      mFleet.Resume(i);
      if (!slot.mUp && mRng.Below(2) == 0) {
        mFleet.Start(i);
      }
    }
    mFleet.Run(seconds(6)); // Drains that are under way end.
  }

  std::string CheckAgreement()
  {
    const auto merged = mFleet.RunUntil(seconds(60), [&] {
      RestartSuperseded();
      return mFleet.IsAgreed();
    });
    if (!merged) {
      return "members did not agree within 60 s\n" + Describe(mFleet);
    }
    Publish();
    const uint64_t last = mAccepted.back().second;
    if (!mFleet.RunUntil(seconds(14), [&] { return mFleet.IsInForce(last); })) {
      return "a version was not in force within 14 s";
    }
    for (uint32_t i = 0; i < mFleet.Slots().size(); ++i) {
      if (mFleet.IsRunning(i)) {
        mFleet.Kill(i);
        if (!mFleet.RunUntil(seconds(12), [&] { return mFleet.IsAgreed(); })) {
          return "a dead node was still listed after 12 s";
        }
        break;
      }
    }
    return {};
  }

  Rng mRng;
  ControlFleet mFleet;
  uint64_t mPublishes = 0;
  std::vector<std::pair<TimePoint, uint64_t>> mAccepted;
  TimePoint mLastCut{};
  std::map<uint32_t, int> mUndisturbed;
};

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

// Guards against combinations of faults that no single test thinks of. A
// failure prints its seed; AMARANTHGAP_FIRST_SEED and AMARANTHGAP_SEEDS repeat
// or extend the run.
TEST_CASE("random schedules keep the invariants", "[control][schedule]")
{
  const uint64_t first = FromEnvironment("AMARANTHGAP_FIRST_SEED", 1);
  const uint64_t count = FromEnvironment("AMARANTHGAP_SEEDS", 300);
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const auto problem = Schedule(seed).Run();
    INFO("seed " << seed);
    INFO(problem);
    CHECK(problem.empty());
  }
}
