#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Sim.h"

namespace amaranthgap::sim {

/** Kinds of faults that one schedule mixes. */
struct FaultMix
{
  bool mLoss = false;
  bool mDuplicate = false;
  bool mDelay = false;
  bool mKill = false;
  bool mPause = false;
  bool mPartition = false;
  bool mCrash = false;
  bool mPoison = false;
  bool mSlow = false;
  bool mDrain = false;
  bool mStore = false;
  bool mManifest = false;
  bool mLeaving = false;
  bool mCutAnswers = false;

  /** @return kinds drawn from the seed. */
  static FaultMix Draw(uint64_t aSeed);
  [[nodiscard]] std::string ToString() const;
};

/** One schedule: a fleet under load, faults drawn from a seed, then healing;
 * collects violations of the guarantees of section 1.1 of the design page. */
class Schedule
{
public:
  Schedule(uint64_t aSeed, const FaultMix& aMix);

  /** @return violations; empty when all guarantees hold. */
  std::vector<std::string> Run();

  Sim& Cluster() { return mSim; }
  [[nodiscard]] uint64_t Operations() const { return mLastOperation; }

private:
  /** What a caller wants, over all of its attempts. */
  struct Operation
  {
    std::string mService;
    std::string mClass;
    std::string mCaller;
    RequestId mRequest;
    std::string mKey;
    uint32_t mTriesLeft = 4;
    bool mDone = false;
    size_t mHost = 0;
  };
  struct PauseTime
  {
    size_t mHost = 0;
    TimePoint mFrom;
    TimePoint mUntil;
  };

  // -- Callers --
  void Arrive();
  void Send(uint64_t aOperation);
  void OnAnswer(size_t aCall);
  void SendAgain(uint64_t aOperation, Duration aAfter);

  // -- Faults --
  void PlanFaults();
  void Repeat(Duration aMean, const std::function<void()>& aFault);
  void KillSome();
  void PauseSome();
  void DrainSome();
  void LeaveSome();
  void Heal();

  // -- Checks --
  void Check();
  void CheckAnswers();
  void CheckOnce();
  void CheckRetries();
  void CheckLiveness();
  [[nodiscard]] bool WasPaused(const Sent& aCall) const;
  void Violate(std::string aText);

  FaultMix mMix;
  Sim mSim;
  Rng mRng;
  TimePoint mEnd;
  uint64_t mLastOperation = 0;
  std::map<uint64_t, Operation> mOperations;
  std::vector<PauseTime> mPauses;
  std::vector<std::string> mViolations;
};

} // namespace amaranthgap::sim
