#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Rng.h"
#include "membership/Member.h"

namespace amaranthgap {

/** Entries of the member list with the digests of its pages. Indices stay valid
 * until the entry is forgotten. Not safe for use by several threads. */
class MemberTable
{
public:
  /** 128 pages hold about 32 members each at 4,100 nodes: a digest message of
   * about 1.2 KB, and about 3 KB for one page. */
  static constexpr uint32_t kPages = 128;
  static constexpr uint32_t kNone = UINT32_MAX;

  /** @return the contribution of an entry to the digests. */
  static uint64_t EntryHash(const MemberUpdate& aUpdate,
                            uint64_t aIdHash,
                            bool aPartial);

  [[nodiscard]] uint32_t Find(const NodeId& aNode) const;
  [[nodiscard]] Member& At(uint32_t aIndex) { return mMembers[aIndex]; }
  [[nodiscard]] const Member& At(uint32_t aIndex) const
  {
    return mMembers[aIndex];
  }

  /** Adds a node that is not in the table. */
  uint32_t Add(MemberUpdate aUpdate, bool aPartial, TimePoint aNow);
  /** Replaces the entry and keeps digests and live list in step. */
  void Replace(uint32_t aIndex,
               MemberUpdate aUpdate,
               bool aPartial,
               TimePoint aNow);
  /** Removes members that have been dead or left since before aBefore. */
  void Forget(TimePoint aBefore);

  /** @return indices of live members, in no order. */
  [[nodiscard]] const std::vector<uint32_t>& Live() const { return mLive; }
  /** @return indices of dead members whose address is known, in no order. */
  [[nodiscard]] std::vector<uint32_t> Dead() const;
  /** @return up to aCount different live members at random. */
  std::vector<uint32_t> Pick(size_t aCount, Rng& aRng) const;

  /** @return the digest of all live members. Dead ones are not counted, since
   * nodes forget them at different times. */
  [[nodiscard]] uint64_t Digest() const { return mDigest; }
  [[nodiscard]] const std::array<uint64_t, kPages>& PageDigests() const
  {
    return mPageDigests;
  }
  [[nodiscard]] std::vector<uint32_t> Page(uint32_t aPage) const;
  [[nodiscard]] size_t Count() const { return mIndexById.size(); }

  template<class F>
  void ForEach(F&& aVisit) const
  {
    for (const auto& member : mMembers) {
      if (!member.mUpdate.mNode.mId.IsEmpty()) {
        aVisit(member);
      }
    }
  }

private:
  void UpdateDigests(const Member& aMember, bool aAdd);
  void SetLive(uint32_t aIndex, bool aLive);

  std::vector<Member> mMembers;
  std::vector<uint32_t> mFreeIndices;
  std::vector<uint32_t> mLive;
  std::unordered_map<NodeId, uint32_t> mIndexById;
  std::array<std::vector<uint32_t>, kPages> mPages;
  std::array<uint64_t, kPages> mPageDigests{};
  uint64_t mDigest = 0;
};

} // namespace amaranthgap
