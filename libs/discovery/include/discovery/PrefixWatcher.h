#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/CallPacer.h"
#include "platform/LeasedStore.h"

namespace amaranthgap {

/** Store call requested by a PrefixWatcher. */
struct WatcherCall
{
  bool mIsList = true; ///< False for a watch.
  uint64_t mAfter = 0; ///< Revision after which a watch starts.
  uint64_t mNumber =
    0; ///< Identifies the call when its result is passed to Done().
};

/** Keeps track of the keys under one prefix of the store: lists them once, then
 * watches for changes, and lists again if the store has compacted the history
 * or was restored. Only decides which calls to make; its owner makes them. Not
 * thread-safe. */
class PrefixWatcher
{
public:
  struct Options
  {
    /** Pause between two watches, so that changes arrive in batches. */
    Duration mWatchPause{};
    uint64_t mSeed = 1;
  };

  explicit PrefixWatcher(const Options& aOptions);

  /** @return the call to make now, if any. At most one is in flight. */
  std::optional<WatcherCall> Next(TimePoint aNow);
  /** Processes the result of a call. Results of replaced calls are ignored.
   * @return the changes; a change without a value is a deletion. */
  std::vector<StoreChange> Done(TimePoint aNow,
                                uint64_t aNumber,
                                const StoreChanges& aResult);
  /** Replaces a watch in flight: after an outage, the store may have lost it
   * without closing its connection. */
  void ReplaceWatch(TimePoint aNow);

  /** Lists the keys again if the era is new: revisions of an earlier one tell
   * nothing in it. */
  void EraSeen(TimePoint aNow, uint64_t aEra);

  /** @return whether the keys have been listed at least once. */
  [[nodiscard]] bool IsListed() const { return mIsListed; }
  [[nodiscard]] bool IsFailing() const { return mPacer.IsFailing(); }

private:
  std::vector<StoreChange> ApplyList(const StoreChanges& aResult);
  std::vector<StoreChange> ApplyEvents(const StoreChanges& aResult);

  Options mOptions;
  CallPacer mPacer;
  bool mIsListed = false;
  bool mNeedsList = true;
  bool mIsListCall = false;
  bool mIsInFlight = false;
  uint64_t mNumber = 0; ///< Of the latest call.
  uint64_t mEra = 0;    ///< Highest that was seen.
  // Of the era mListedEra.
  uint64_t mListedEra = 0;
  uint64_t mRevision = 0;
  std::map<std::string, uint64_t> mRevisions; ///< Revision by key.
};

} // namespace amaranthgap
