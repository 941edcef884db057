#include "forwarding/PeerNotices.h"

namespace amaranthgap {

namespace {

// An upstream that leaves may serve for many seconds after its node was told.
constexpr Duration kExpiry = minutes(10);

} // namespace

bool
PeerNotices::IsOutdated(TimePoint aNow, const Entry& aEntry)
{
  return aNow - aEntry.mTime > kExpiry;
}

void
PeerNotices::Record(TimePoint aNow,
                    const std::string& aNode,
                    const UpstreamNotice& aNotice)
{
  Entry& entry = mByNode[aNode];
  // A run that leaves does not stay after all.
  const bool isLeaving = entry.mNotice.mIsLeaving &&
                         entry.mNotice.mInstance == aNotice.mInstance &&
                         entry.mNotice.mStartedMillis == aNotice.mStartedMillis;
  entry = { aNotice, aNow };
  entry.mNotice.mIsLeaving |= isLeaving;
}

std::optional<UpstreamNotice>
PeerNotices::Find(TimePoint aNow, const std::string& aNode) const
{
  const auto it = mByNode.find(aNode);
  if (it == mByNode.end() || IsOutdated(aNow, it->second)) {
    return std::nullopt;
  }
  return it->second.mNotice;
}

void
PeerNotices::Expire(TimePoint aNow)
{
  std::erase_if(
    mByNode, [&](const auto& aPair) { return IsOutdated(aNow, aPair.second); });
}

} // namespace amaranthgap
