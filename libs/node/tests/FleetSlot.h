#pragma once

#include <functional>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "node/ControlLogic.h"

namespace amaranthgap {

/** Size, network and faults of a fleet under test. */
struct FleetOptions
{
  uint32_t mNodes = 10;
  uint32_t mDataCentres = 5;
  uint32_t mRegions = 2;
  uint64_t mSeed = 1;
  Duration mTick = milliseconds(20);
  Duration mInRegion = microseconds(500);
  Duration mBetweenRegions = milliseconds(20);
  double mLoss = 0;      ///< Share of datagrams lost.
  double mDuplicate = 0; ///< Share of datagrams delivered twice.
  Duration mJitter{};    ///< Largest additional delay of a message.
  bool mStaticPeers = false;
  bool mStore = true;
  bool mMeasure = false; ///< Takes the processor time of the logic.
  ControlLogic::Switches mSwitches{};
};

/** One host slot of a fleet under test, with the process in it. */
struct FleetSlot
{
  std::string mId;
  std::string mAddress;
  std::string mRegion;
  std::string mDataCentre;
  std::unique_ptr<ControlLogic> mLogic;
  uint64_t mRun = 0; ///< Counts the processes in this slot.
  bool mUp = false;
  bool mPaused = false;
  Duration mSlow{}; ///< Additional delay of all that it takes in.
  std::vector<std::function<void()>> mHeld; ///< Arrived while paused.
  std::vector<AuditEntry> mAudit;
  ManifestStamp mStamp;
  bool mWasReady = false;
  uint64_t mSlotVersion = 0;  ///< Highest version in force in this slot.
  uint64_t mReadyVersion = 0; ///< Version when it became ready.
  uint64_t mBytes = 0;
  uint64_t mMessages = 0;
  uint64_t mStoreCalls = 0;
  Duration mBusy{};
};

/** Work at a moment; earlier events come first in a priority queue. */
struct FleetEvent
{
  TimePoint mAt;
  uint64_t mNumber;
  std::function<void()> mWork;

  bool operator<(const FleetEvent& aOther) const
  {
    return std::tie(mAt, mNumber) > std::tie(aOther.mAt, aOther.mNumber);
  }
};

/** Watch on the store that waits for a change. */
struct FleetWatch
{
  uint32_t mSlot;
  uint64_t mRun;
  StoreCallId mCall;
  StoreRequest mRequest;
  TimePoint mUntil;
};

} // namespace amaranthgap
