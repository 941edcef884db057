#pragma once

#include <map>
#include <vector>

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Smoothed run time and failure share of each kind of request at one
 * upstream, measured at its node, so that slow or failing upstreams are
 * detected independently of their own reports. Not thread-safe. */
class CallKindStats
{
public:
  struct Record
  {
    double mRunMillis = 0;   ///< Mean of successful runs; 0 without any.
    double mFailedShare = 0; ///< Share of runs that failed, in [0, 1].
  };

  /** Records the end of a run.
   * @param aRun run time.
   * @param aIsSuccess whether the caller got a usable answer. */
  void Ended(const CallKind& aKind, Duration aRun, bool aIsSuccess);
  [[nodiscard]] Record Find(const CallKind& aKind) const;
  /** @return the kinds with at least one run. */
  [[nodiscard]] std::vector<CallKind> Kinds() const;

private:
  std::map<CallKind, Record> mRecords;
};

} // namespace amaranthgap
