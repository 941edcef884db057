#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/CallPacer.h"
#include "platform/LeasedStore.h"

namespace amaranthgap {

/** Call that a PrefixWatcher wants to be made. */
struct WatcherCall
{
  bool mIsList = true;  ///< Else a watch.
  uint64_t mAfter = 0;  ///< Revision, for a watch.
  uint64_t mNumber = 0; ///< To be given back with the result.
};

/** Keeps a copy of the keys below one prefix of the store: lists them once and
 * then watches, and lists again when the history was dropped. Decides only;
 * its owner makes the calls. Not safe for use by several threads. */
class PrefixWatcher
{
public:
  struct Options
  {
    /** Pause between two watches, so that changes arrive in groups. */
    Duration mWatchPause{};
    uint64_t mSeed = 1;
  };

  explicit PrefixWatcher(const Options& aOptions);

  /** @return the call to make now, if any. At most one is under way. */
  std::optional<WatcherCall> Next(TimePoint aNow);
  /** Takes the result of that call. A call that was replaced is ignored.
   * @return what has changed; a key without a value is gone. */
  std::vector<StoreChange> Done(TimePoint aNow,
                                uint64_t aNumber,
                                const StoreChanges& aResult);
  /** Replaces a watch that is under way: a store that was away may have
   * forgotten it without closing its connection. */
  void ReplaceWatch(TimePoint aNow);

  /** @return whether the keys have been listed. */
  [[nodiscard]] bool IsListed() const { return mIsListed; }
  [[nodiscard]] bool IsFailing() const { return mPacer.IsFailing(); }

private:
  std::vector<StoreChange> TakeList(const StoreChanges& aResult);
  std::vector<StoreChange> TakeEvents(const StoreChanges& aResult);

  Options mOptions;
  CallPacer mPacer;
  bool mIsListed = false;
  bool mNeedsList = true;
  bool mListing = false;
  bool mIsOpen = false;
  uint64_t mNumber = 0; ///< Of the latest call.
  uint64_t mRevision = 0;
  std::map<std::string, uint64_t> mKnown; ///< Revision, by key.
};

} // namespace amaranthgap
