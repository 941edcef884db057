#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "membership/MemberTable.h"

namespace amaranthgap {

/** Queue of member updates to gossip, ordered by number of sends so far, the
 * least sent first. Not thread-safe. */
class UpdateQueue
{
public:
  /** Queues the current state of a member; supersedes an earlier entry.
   * @param aSends number of times that the update is sent. */
  void Add(MemberTable& aTable, uint32_t aIndex, uint32_t aSends);

  /** Takes updates for one message and counts them as sent.
   * @return updates of at most aBytes in total. */
  std::vector<MemberUpdate> Take(const MemberTable& aTable, size_t aBytes);

  [[nodiscard]] bool IsEmpty() const { return mEntries == 0; }

private:
  struct Entry
  {
    uint32_t mIndex = 0;
    uint32_t mNumber = 0; ///< Outdated if the member has a later one.
    uint32_t mSends = 0;
  };

  std::vector<std::deque<Entry>> mBySends; ///< By number of sends so far.
  size_t mEntries = 0;
};

} // namespace amaranthgap
