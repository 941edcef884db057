#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/Logger.h"
#include "discovery/CallPacer.h"
#include "platform/LeasedStore.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Keeps quarantines in the store, so that they outlive a loss of all nodes and
 * reach nodes that are cut off from the others. The node that imposes one
 * writes it, under a lease that ends with it. Nodes that watch the store read
 * them when they begin to watch, and periodically. Not safe for use by several
 * threads. */
class QuarantineRecords
{
public:
  struct Options
  {
    std::function<uint64_t()> mWallMillis; ///< Unix time.
    uint64_t mSeed = 1;
  };
  /** Takes what was read: the quarantines of one service. */
  using Read = std::function<void(const CrashNotice&)>;

  /** @param aStore outlives this object. */
  QuarantineRecords(Logger& aLogger,
                    LeasedStore& aStore,
                    Options aOptions,
                    Read aRead);

  /** Writes quarantines, and removes those that are over before their time.
   * Repeats the calls while the store is unavailable. */
  void Keep(TimePoint aNow, const CrashNotice& aVerdicts);
  /** Reads all quarantines with the next Tick(). */
  void ReadSoon() { mIsReadDue = true; }
  /** Starts or ends the periodic reading, which begins at once. */
  void SetWatching(bool aWatches);
  /** Makes the calls that are due. */
  void Tick(TimePoint aNow);

private:
  struct Change
  {
    std::optional<std::string> mValue; ///< The key is removed without one.
    TimePoint mExpiry{};               ///< No longer worth writing.
  };

  void Write(TimePoint aNow);
  void Written(TimePoint aNow,
               const std::string& aKey,
               const Change& aChange,
               const StoreResult& aResult);
  void ReadAll(TimePoint aNow);
  void Listed(TimePoint aNow, const StoreChanges& aResult);

  Logger& mLogger;
  LeasedStore& mStore;
  Options mOptions;
  Read mRead;
  CallPacer mWritePacer;
  CallPacer mReadPacer;
  std::map<std::string, Change> mChanges; ///< By key; not written yet.
  uint64_t mLease = 0;
  bool mIsWatching = false;
  bool mIsReadDue = false;
  TimePoint mNextRead = TimePoint::max();
};

} // namespace amaranthgap
