#pragma once

#include <memory>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "Arrivals.h"
#include "ConnectionPool.h"
#include "LoadSpec.h"
#include "Recorder.h"
#include "base/Rng.h"

namespace amaranthgap {

/** One open-loop run: starts each request at its intended time, whatever
 * happened to the others, and plays the client's retries. Single thread. */
class LoadRun
{
public:
  explicit LoadRun(LoadSpec aSpec);

  /** Blocks until every request has ended. */
  void Run();
  [[nodiscard]] const Recorder& Figures() const { return mRecorder; }

private:
  struct Job
  {
    size_t mStream = 0;
    Duration mStart{}; ///< Intended, relative to the start of the run.
    TimePoint mDeadline;
    std::string mId;
    std::string mKey;
    uint32_t mTries = 0;
    uint32_t mKeyRounds = 0;
    RequestEnd mLast = RequestEnd::GaveUp;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };
  using JobPtr = std::shared_ptr<Job>;

  void WaitForNext();
  void StartDue();
  void StartJob(const Arrival& aArrival, size_t aNumber);
  void Try(const JobPtr& aJob);
  [[nodiscard]] BenchRequest MakeRequest(const Job& aJob) const;
  void OnAnswer(const JobPtr& aJob, const BenchResponse& aResponse);
  void OnError(const JobPtr& aJob, boost::system::error_code aError);
  /** Tries again after a pause, or ends the request. */
  void RetryOrEnd(const JobPtr& aJob, bool aMayRetry, Duration aRetryAfter);
  void End(const JobPtr& aJob, RequestEnd aOutcome);
  [[nodiscard]] Duration Elapsed() const;

  LoadSpec mSpec;
  Recorder mRecorder;
  std::vector<Arrival> mArrivals;
  size_t mNext = 0;
  size_t mOpen = 0;
  TimePoint mStart;
  Rng mRng;
  boost::asio::io_context mContext;
  boost::asio::steady_timer mTimer;
  ConnectionPool mPool;
};

} // namespace amaranthgap
