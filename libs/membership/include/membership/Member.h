#pragma once

#include <cstdint>

#include "base/Time.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** An entry of the member list. */
struct Member
{
  static constexpr uint32_t kNoPosition = UINT32_MAX;

  MemberUpdate mUpdate;
  /** Last state that the node announced of itself; kept while mUpdate holds an
   * accusation. */
  MemberState mAnnouncedState = MemberState::Joined;
  /** Whether the latest announcement is missing: the entry comes from an
   * accusation, whose address and service may be absent or outdated. */
  bool mPartial = false;
  uint64_t mIdHash = 0;
  uint32_t mLivePosition = kNoPosition; ///< Index in the live list.
  uint32_t mQueueNumber = 0;   ///< Number of the latest UpdateQueue entry.
  float mRoundTripMs = 0;      ///< Decaying maximum of recent probes.
  TimePoint mStateSince{};     ///< Last change of state or incarnation.
  TimePoint mAccusationSent{}; ///< Last accusation sent to the member.

  /** @return the state for routing: Leaving for a suspect that has announced
   * to leave, otherwise the state of the update. */
  [[nodiscard]] MemberState RoutingState() const
  {
    return mUpdate.mState == MemberState::Suspect &&
               mAnnouncedState == MemberState::Leaving
             ? MemberState::Leaving
             : mUpdate.mState;
  }
};

/** @return whether the node is considered running; true for suspects. */
constexpr bool
IsLive(MemberState aState)
{
  return aState != MemberState::Left && aState != MemberState::Dead;
}

/** @return whether the state is reported by other nodes, not by the node
 * itself. */
constexpr bool
IsAccusation(MemberState aState)
{
  return aState == MemberState::Suspect || aState == MemberState::Dead;
}

/** @return whether aNew takes precedence over aOld of the same node. A higher
 * incarnation wins; within one incarnation Left is final, then the higher
 * refutation wins, then Dead over Suspect over announced states. */
bool
Supersedes(const MemberUpdate& aNew, const MemberUpdate& aOld);

/** @return the exact size of the update in msgpack, in bytes. */
size_t
PackedSize(const MemberUpdate& aUpdate);

/** @return the update in its gossiped form. An accusation carries only
 * identity, refutation and state, so that more of them fit into a datagram when
 * a whole data centre fails. */
MemberUpdate
ForGossip(const MemberUpdate& aUpdate);

} // namespace amaranthgap
