#include "wire/ReplayWindow.h"

namespace amaranthgap {

bool
ReplayWindow::Accept(TimePoint aNow, const NodeRef& aFrom, uint64_t aSequence)
{
  const std::scoped_lock lock(mMutex);
  auto& incarnations = mSenders[aFrom.mId];
  auto it = incarnations.find(aFrom.mIncarnation);
  if (it == incarnations.end()) {
    if (incarnations.size() == kIncarnations) {
      if (aFrom.mIncarnation < incarnations.begin()->first) {
        return false;
      }
      incarnations.erase(incarnations.begin());
    }
    it = incarnations.emplace(aFrom.mIncarnation, Window{}).first;
  }
  Window& window = it->second;
  window.mLastSeen = aNow;
  const uint64_t block = aSequence / 64;
  const uint64_t bit = uint64_t(1) << (aSequence % 64);
  if (block < window.mFloorBlock) {
    return false;
  }
  uint64_t& bits = window.mBlocks[block];
  if ((bits & bit) != 0) {
    return false;
  }
  bits |= bit;
  if (window.mBlocks.size() > kBlocks) {
    window.mFloorBlock = window.mBlocks.begin()->first + 1;
    window.mBlocks.erase(window.mBlocks.begin());
  }
  return true;
}

void
ReplayWindow::Compact(TimePoint aNow)
{
  const std::scoped_lock lock(mMutex);
  for (auto& [id, incarnations] : mSenders) {
    for (auto& [incarnation, window] : incarnations) {
      if (window.mBlocks.size() > 1 && aNow - window.mLastSeen > kIdle) {
        // The last block stays, since its free numbers may still come.
        const auto last = std::prev(window.mBlocks.end());
        window.mFloorBlock = last->first;
        window.mBlocks.erase(window.mBlocks.begin(), last);
      }
    }
  }
}

size_t
ReplayWindow::GetSenderCount()
{
  const std::scoped_lock lock(mMutex);
  size_t n = 0;
  for (const auto& [id, incarnations] : mSenders) {
    n += incarnations.size();
  }
  return n;
}

} // namespace amaranthgap
