#include "membership/Member.h"

namespace amaranthgap {

namespace {

int
StateRank(MemberState aState)
{
  switch (aState) {
    case MemberState::Suspect:
      return 1;
    case MemberState::Dead:
      return 2;
    case MemberState::Left:
      return 3;
    default:
      return 0;
  }
}

size_t
IntegerSize(uint64_t aValue)
{
  if (aValue < 0x80) {
    return 1;
  }
  if (aValue <= 0xff) {
    return 2;
  }
  if (aValue <= 0xffff) {
    return 3;
  }
  return aValue <= 0xffffffff ? 5 : 9;
}

size_t
StringSize(const std::string& aText)
{
  const size_t n = aText.size();
  if (n < 32) {
    return 1 + n;
  }
  return n + (n <= 0xff ? 2 : n <= 0xffff ? 3 : 5);
}

} // namespace

bool
Supersedes(const MemberUpdate& aNew, const MemberUpdate& aOld)
{
  if (aNew.mNode.mIncarnation != aOld.mNode.mIncarnation) {
    return aNew.mNode.mIncarnation.mValue > aOld.mNode.mIncarnation.mValue;
  }
  if (aOld.mState == MemberState::Left) {
    return false;
  }
  if (aNew.mState == MemberState::Left) {
    return true;
  }
  if (aNew.mRefutation != aOld.mRefutation) {
    return aNew.mRefutation > aOld.mRefutation;
  }
  return StateRank(aNew.mState) > StateRank(aOld.mState);
}

size_t
PackedSize(const MemberUpdate& aUpdate)
{
  // Four array headers of one byte each: update, NodeRef, id and incarnation.
  return 4 + StringSize(aUpdate.mNode.mId.mValue) +
         IntegerSize(aUpdate.mNode.mIncarnation.mValue) +
         IntegerSize(aUpdate.mRefutation) +
         IntegerSize(uint64_t(aUpdate.mState)) + StringSize(aUpdate.mRegion) +
         StringSize(aUpdate.mDataCentre) + StringSize(aUpdate.mPeerAddress) +
         StringSize(aUpdate.mService) + IntegerSize(aUpdate.mSlots) +
         IntegerSize(aUpdate.mWarmUpMs);
}

MemberUpdate
ForGossip(const MemberUpdate& aUpdate)
{
  if (!IsAccusation(aUpdate.mState)) {
    return aUpdate;
  }
  return { .mNode = aUpdate.mNode,
           .mRefutation = aUpdate.mRefutation,
           .mState = aUpdate.mState };
}

} // namespace amaranthgap
