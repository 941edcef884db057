#pragma once

#include <deque>
#include <map>
#include <unordered_set>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/**
 * Recognises calls that were delivered before. Call ids of one sender rise, so
 * the ids that are no longer remembered are covered by a lowest id; a call
 * below it counts as seen, because running it twice is worse than dropping it.
 * Not safe for use by several threads.
 */
class DuplicateFilter
{
public:
  struct Options
  {
    size_t mPerSender = 4096;
    size_t mSenders = 8192;
    Duration mRemember = minutes(2);
    Duration mForgetSender = minutes(60);
  };

  explicit DuplicateFilter(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  /** Marks a call as seen. @return whether it is new. */
  bool IsNew(TimePoint aNow, const NodeRef& aSender, CallId aCall);
  void Expire(TimePoint aNow);

private:
  struct Sender
  {
    uint64_t mLowest = 0; ///< Ids up to this one count as seen.
    std::unordered_set<uint64_t> mSeen;
    std::deque<std::pair<TimePoint, uint64_t>> mByTime;
    TimePoint mLast;
  };

  static void DropOldest(Sender& aSender);

  Options mOptions;
  std::map<NodeRef, Sender> mSenders;
};

} // namespace amaranthgap
