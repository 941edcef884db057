#include "membership/UpdateQueue.h"

namespace amaranthgap {

void
UpdateQueue::Add(MemberTable& aTable, uint32_t aIndex, uint32_t aSends)
{
  if (mBySends.empty()) {
    mBySends.resize(1);
  }
  const uint32_t number = ++aTable.At(aIndex).mQueueNumber;
  mBySends[0].push_back(
    { .mIndex = aIndex, .mNumber = number, .mSends = aSends });
  ++mEntries;
}

std::vector<MemberUpdate>
UpdateQueue::Take(const MemberTable& aTable, size_t aBytes)
{
  std::vector<MemberUpdate> updates;
  std::vector<std::pair<size_t, Entry>> taken;
  size_t used = 0;
  bool full = false;
  for (size_t sends = 0; sends < mBySends.size() && !full; ++sends) {
    auto& entries = mBySends[sends];
    while (!entries.empty()) {
      const Entry entry = entries.front();
      const auto& member = aTable.At(entry.mIndex);
      if (member.mQueueNumber != entry.mNumber) {
        entries.pop_front();
        --mEntries;
        continue;
      }
      auto update = ForGossip(member.mUpdate);
      const size_t bytes = PackedSize(update);
      if (used + bytes > aBytes) {
        full = true;
        break;
      }
      used += bytes;
      updates.push_back(std::move(update));
      entries.pop_front();
      --mEntries;
      if (sends + 1 < entry.mSends) {
        taken.emplace_back(sends + 1, entry);
      }
    }
  }
  for (const auto& [sends, entry] : taken) {
    if (mBySends.size() <= sends) {
      mBySends.resize(sends + 1);
    }
    mBySends[sends].push_back(entry);
    ++mEntries;
  }
  return updates;
}

} // namespace amaranthgap
