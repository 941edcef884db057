#pragma once

#include <cstdint>

#include "base/Time.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** One entry of the member list. */
struct Member
{
  static constexpr uint32_t kNoPosition = UINT32_MAX;

  MemberUpdate mUpdate;
  /** State that the node last announced of itself; a suspicion hides it. */
  MemberState mAnnouncedState = MemberState::Joined;
  /** Known only from an accusation, without address and service. */
  bool mPartial = false;
  uint64_t mIdHash = 0;
  uint32_t mLivePosition = kNoPosition; ///< Index in the list of live members.
  uint32_t mQueueNumber =
    0;                     ///< Number of the latest entry in the update queue.
  float mRoundTripMs = 0;  ///< Slowest recent answer, decayed.
  TimePoint mStateSince{}; ///< Time of the last change of state.
  TimePoint mAccusationSent{}; ///< Time of the last accusation sent to it.

  /** @return the state for routing: a suspect that announced to be leaving
   * stays leaving. */
  [[nodiscard]] MemberState RoutingState() const
  {
    return mUpdate.mState == MemberState::Suspect &&
               mAnnouncedState == MemberState::Leaving
             ? MemberState::Leaving
             : mUpdate.mState;
  }
};

/** @return whether the node counts as running; true for suspects. */
constexpr bool
IsLive(MemberState aState)
{
  return aState != MemberState::Left && aState != MemberState::Dead;
}

/** @return whether the state is one that others claim of a node. */
constexpr bool
IsAccusation(MemberState aState)
{
  return aState == MemberState::Suspect || aState == MemberState::Dead;
}

/** @return whether aNew replaces aOld of the same node: higher incarnation,
 * then higher refutation, then suspect over announced, dead over suspect. Left
 * is final for its incarnation. */
bool
Supersedes(const MemberUpdate& aNew, const MemberUpdate& aOld);

/** @return the exact number of bytes of the update in msgpack. */
size_t
PackedSize(const MemberUpdate& aUpdate);

/** @return the update as it is passed on: an accusation carries identity and
 * state only, so that more of them fit into one datagram when a whole data
 * centre is lost. */
MemberUpdate
ForGossip(const MemberUpdate& aUpdate);

} // namespace amaranthgap
