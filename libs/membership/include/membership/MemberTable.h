#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Rng.h"
#include "membership/Member.h"

namespace amaranthgap {

/** Member list, divided into pages by hash of the node id, with a digest of
 * each page. An index stays valid until Forget removes its entry. Not
 * thread-safe. */
class MemberTable
{
public:
  /** At 4,100 nodes, 128 pages hold about 32 members each; a digest message
   * takes about 1.2 KB and a page about 3 KB. */
  static constexpr uint32_t kPages = 128;
  static constexpr uint32_t kNone = UINT32_MAX;

  /** @return the hash of an entry, which the digests sum up. */
  static uint64_t EntryHash(const MemberUpdate& aUpdate,
                            uint64_t aIdHash,
                            bool aPartial);

  /** @return the index of the node, or kNone. */
  [[nodiscard]] uint32_t Find(const NodeId& aNode) const;
  [[nodiscard]] Member& At(uint32_t aIndex) { return mMembers[aIndex]; }
  [[nodiscard]] const Member& At(uint32_t aIndex) const
  {
    return mMembers[aIndex];
  }

  /** Adds a node, which must not be in the table. */
  uint32_t Add(MemberUpdate aUpdate, bool aPartial, TimePoint aNow);
  /** Replaces the entry and updates digests and live list. */
  void Replace(uint32_t aIndex,
               MemberUpdate aUpdate,
               bool aPartial,
               TimePoint aNow);
  /** Removes members that became dead or left before aBefore. */
  void Forget(TimePoint aBefore);

  /** @return indices of live members, unordered. */
  [[nodiscard]] const std::vector<uint32_t>& Live() const { return mLive; }
  /** @return indices of dead members whose address is known. */
  [[nodiscard]] std::vector<uint32_t> Dead() const;
  /** @return indices of up to aCount distinct random live members. */
  std::vector<uint32_t> Pick(size_t aCount, Rng& aRng) const;

  /** @return the digest of all live members. It leaves out the others, since
   * nodes remove those at different times. */
  [[nodiscard]] uint64_t Digest() const { return mDigest; }
  [[nodiscard]] const std::array<uint64_t, kPages>& PageDigests() const
  {
    return mPageDigests;
  }
  /** @return indices of all members on the page, live or not. */
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
