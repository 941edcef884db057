#include "membership/MemberTable.h"

#include <algorithm>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

uint64_t
MixBits(uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30)) * 0xbf58476d1ce4e5b9ULL;
  aValue = (aValue ^ (aValue >> 27)) * 0x94d049bb133111ebULL;
  return aValue ^ (aValue >> 31);
}

} // namespace

// Incarnation and refutation determine everything that a node announces of
// itself. Suspicions are transient and therefore not hashed.
uint64_t
MemberTable::EntryHash(const MemberUpdate& aUpdate,
                       uint64_t aIdHash,
                       bool aPartial)
{
  return MixBits(aIdHash + MixBits(aUpdate.mNode.mIncarnation.mValue) +
                 aUpdate.mRefutation * 0x9e3779b97f4a7c15ULL +
                 (aPartial ? 1 : 0));
}

uint32_t
MemberTable::Find(const NodeId& aNode) const
{
  const auto it = mIndexById.find(aNode);
  return it == mIndexById.end() ? kNone : it->second;
}

uint32_t
MemberTable::Add(MemberUpdate aUpdate, bool aPartial, TimePoint aNow)
{
  uint32_t index = 0;
  if (mFreeIndices.empty()) {
    index = uint32_t(mMembers.size());
    mMembers.emplace_back();
  } else {
    index = mFreeIndices.back();
    mFreeIndices.pop_back();
    // The queue number keeps increasing when an index is reused, so that queue
    // entries of the former member at this index stay outdated.
    const uint32_t queued = mMembers[index].mQueueNumber;
    mMembers[index] = {};
    mMembers[index].mQueueNumber = queued + 1;
  }
  auto& member = mMembers[index];
  member.mIdHash = Hash64(aUpdate.mNode.mId.mValue);
  mIndexById.emplace(aUpdate.mNode.mId, index);
  mPages[member.mIdHash % kPages].push_back(index);
  member.mUpdate.mState = MemberState::Dead;
  Replace(index, std::move(aUpdate), aPartial, aNow);
  return index;
}

void
MemberTable::Replace(uint32_t aIndex,
                     MemberUpdate aUpdate,
                     bool aPartial,
                     TimePoint aNow)
{
  auto& member = mMembers[aIndex];
  UpdateDigests(member, false);
  if (member.mUpdate.mState != aUpdate.mState ||
      member.mUpdate.mNode != aUpdate.mNode) {
    member.mStateSince = aNow;
  }
  if (!IsAccusation(aUpdate.mState)) {
    member.mAnnouncedState = aUpdate.mState;
  } else if (member.mUpdate.mNode != aUpdate.mNode) {
    member.mAnnouncedState =
      aUpdate.mService.empty() ? MemberState::Joined : MemberState::Warm;
  }
  member.mUpdate = std::move(aUpdate);
  member.mPartial = aPartial;
  UpdateDigests(member, true);
  SetLive(aIndex, IsLive(member.mUpdate.mState));
}

void
MemberTable::UpdateDigests(const Member& aMember, bool aAdd)
{
  if (!IsLive(aMember.mUpdate.mState)) {
    return;
  }
  const uint64_t hash =
    EntryHash(aMember.mUpdate, aMember.mIdHash, aMember.mPartial);
  const uint64_t change = aAdd ? hash : 0 - hash;
  mPageDigests[aMember.mIdHash % kPages] += change;
  mDigest += change;
}

void
MemberTable::SetLive(uint32_t aIndex, bool aLive)
{
  auto& member = mMembers[aIndex];
  if (aLive == (member.mLivePosition != Member::kNoPosition)) {
    return;
  }
  if (aLive) {
    member.mLivePosition = uint32_t(mLive.size());
    mLive.push_back(aIndex);
    return;
  }
  const uint32_t last = mLive.back();
  mLive[member.mLivePosition] = last;
  mMembers[last].mLivePosition = member.mLivePosition;
  mLive.pop_back();
  member.mLivePosition = Member::kNoPosition;
}

void
MemberTable::Forget(TimePoint aBefore)
{
  for (uint32_t i = 0; i < mMembers.size(); ++i) {
    auto& member = mMembers[i];
    if (member.mUpdate.mNode.mId.IsEmpty() || IsLive(member.mUpdate.mState) ||
        member.mStateSince >= aBefore) {
      continue;
    }
    std::erase(mPages[member.mIdHash % kPages], i);
    mIndexById.erase(member.mUpdate.mNode.mId);
    const uint32_t queued = member.mQueueNumber;
    member = {};
    member.mQueueNumber = queued + 1;
    mFreeIndices.push_back(i);
  }
}

std::vector<uint32_t>
MemberTable::Dead() const
{
  std::vector<uint32_t> dead;
  for (uint32_t i = 0; i < mMembers.size(); ++i) {
    const auto& update = mMembers[i].mUpdate;
    if (update.mState == MemberState::Dead && !update.mPeerAddress.empty()) {
      dead.push_back(i);
    }
  }
  return dead;
}

std::vector<uint32_t>
MemberTable::Pick(size_t aCount, Rng& aRng) const
{
  std::vector<uint32_t> picked;
  if (mLive.size() <= aCount) {
    return mLive;
  }
  while (picked.size() < aCount) {
    const uint32_t index = mLive[aRng.Below(mLive.size())];
    if (std::find(picked.begin(), picked.end(), index) == picked.end()) {
      picked.push_back(index);
    }
  }
  return picked;
}

std::vector<uint32_t>
MemberTable::Page(uint32_t aPage) const
{
  return mPages[aPage % kPages];
}

} // namespace amaranthgap
