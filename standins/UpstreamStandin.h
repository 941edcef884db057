#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "BlockingServer.h"
#include "ChildCaller.h"
#include "SlotGate.h"
#include "UpstreamOptions.h"
#include "WorkLog.h"
#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/** Stand-in of a service: a bounded number of slots, service times, child
 * calls, announcements to its node and faults. Service times are waits and
 * burn no processor time. Safe for use by several threads. */
class UpstreamStandin
{
public:
  explicit UpstreamStandin(UpstreamOptions aOptions);

  /** @return whether both addresses could be bound. */
  bool Start();
  /** Announces that it is leaving, waits for running work for the drain time,
   * and ends. */
  void Drain();

private:
  struct LoadSample
  {
    TimePoint mAt;
    uint32_t mBusy = 0;
    uint32_t mWaiting = 0;
  };

  void Serve();
  void ServeControl();
  void Handle(const httplib::Request& aRequest, httplib::Response& aResponse);
  /** Makes the child calls and fills the answer, while holding the slot.
   * @return whether the request is still wanted. */
  bool CallChildren(const httplib::Request& aRequest,
                    httplib::Response& aResponse);
  Duration DrawServiceTime();
  void AnswerHealth(httplib::Response& aResponse);
  void AnswerLoad(httplib::Response& aResponse);
  void Change(const nlohmann::json& aJson);
  /** Announces each second, and at once after a change. */
  void Announce();
  [[nodiscard]] std::string AnnouncementBody();
  void SampleLoad(TimePoint aNow);

  // Not changed after the construction.
  UpstreamOptions mOptions;
  std::string mRun;
  TimePoint mStart;

  SlotGate mGate;
  WorkLog mLog;
  ChildCaller mChildren;
  BlockingServer mServer;
  BlockingServer mControl;

  std::mutex mMutex;
  std::condition_variable mWake;
  Rng mRng;
  double mServiceMs;
  uint32_t mSlots;
  uint32_t mAnnouncedSlots;
  double mLoadFactor;
  uint32_t mLoadLagMs;
  std::string mHealth;
  bool mIsLeaving = false;
  bool mIsStopped = false;
  bool mHasChanged = false;
  std::deque<LoadSample> mSamples;
  std::thread mAnnouncer;
};

} // namespace amaranthgap
