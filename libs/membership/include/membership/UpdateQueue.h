#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "membership/MemberTable.h"

namespace amaranthgap {

/** Member updates still to be passed on, the least often sent ones first.
 * Not safe for use by several threads. */
class UpdateQueue
{
public:
  /** Queues the present state of a member; replaces an earlier entry.
   * @param aSends how often the update is to be sent. */
  void Add(MemberTable& aTable, uint32_t aIndex, uint32_t aSends);

  /** @return updates of at most aBytes together, and counts them as sent. */
  std::vector<MemberUpdate> Take(const MemberTable& aTable, size_t aBytes);

  [[nodiscard]] bool IsEmpty() const { return mEntries == 0; }

private:
  struct Entry
  {
    uint32_t mIndex = 0;
    uint32_t mNumber = 0; ///< Stale when the member has a later one.
    uint32_t mSends = 0;
  };

  std::vector<std::deque<Entry>> mBySends; ///< By number of sends so far.
  size_t mEntries = 0;
};

} // namespace amaranthgap
