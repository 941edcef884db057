#pragma once

#include <map>
#include <vector>

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** What one upstream made of each kind of requests lately. Answers targets
 * that are slow or fail, whatever they say of themselves. Not safe for use by
 * several threads. */
class CallKindStats
{
public:
  struct Record
  {
    double mRunMillis = 0;   ///< Mean time of those that were answered.
    double mFailedShare = 0; ///< Of those that ran.
  };

  /** Notes the end of a run.
   * @param aRun how long it took.
   * @param aIsGood whether its caller got an answer that helps. */
  void Ended(const CallKind& aKind, Duration aRun, bool aIsGood);
  [[nodiscard]] Record Find(const CallKind& aKind) const;
  /** @return the kinds that have run. */
  [[nodiscard]] std::vector<CallKind> Kinds() const;

private:
  std::map<CallKind, Record> mRecords;
};

} // namespace amaranthgap
