#include "discovery/RoutesFetch.h"

#include <limits>

namespace amaranthgap {

namespace {

// Time in which a nearer source (a node of the own data centre, or the store)
// may deliver the routes before a distant node is asked.
constexpr Duration kNearerSourcePatience = milliseconds(250);
// Time for an answer before another node is asked.
constexpr Duration kAnswerTime = milliseconds(300);

} // namespace

RoutesFetch::RoutesFetch(uint64_t aSeed)
  : mRng(aSeed)
{
}

void
RoutesFetch::RecordVersion(TimePoint aNow,
                           const std::string& aNode,
                           bool aIsNear,
                           uint64_t aVersion)
{
  Holder& holder = mHolders[aNode];
  if (aVersion > holder.mVersion) {
    holder = { .mIsNear = aIsNear, .mVersion = aVersion, .mToldAt = aNow };
  }
}

std::optional<std::string>
RoutesFetch::Next(TimePoint aNow, uint64_t aHave, bool aWatchesStore)
{
  if (aNow < mNextAsk) {
    return std::nullopt;
  }
  // Prefers holders that were asked least often, then those of the own data
  // centre. Ties are broken at random, so that one holder does not serve all.
  std::pair<uint32_t, bool> least{ std::numeric_limits<uint32_t>::max(), true };
  std::string chosen;
  uint64_t equal = 0;
  for (const auto& [node, it] : mHolders) {
    const bool mayWait = aHave != 0 && (aWatchesStore || !it.mIsNear);
    if (it.mVersion <= aHave ||
        (mayWait && aNow - it.mToldAt < kNearerSourcePatience)) {
      continue;
    }
    const std::pair rank{ it.mAsked, !it.mIsNear };
    if (rank > least) {
      continue;
    }
    equal = rank == least ? equal + 1 : 1;
    least = rank;
    if (mRng.Below(equal) == 0) {
      chosen = node;
    }
  }
  if (chosen.empty()) {
    return std::nullopt;
  }
  ++mHolders[chosen].mAsked;
  mNextAsk = aNow + kAnswerTime;
  return chosen;
}

} // namespace amaranthgap
