#pragma once

#include <map>

#include "node/Snapshots.h"

namespace amaranthgap::sim {

/** Members and manifest that the stand-in of ControlLogic hands out: every
 * node sees a change at its next control event. */
struct Directory
{
  uint64_t mVersion = 1;
  ManifestPtr mManifest;
  std::map<NodeId, MemberUpdate> mMembers;

  void Set(const MemberUpdate& aMember);
  void SetState(const NodeRef& aNode, MemberState aState);
  [[nodiscard]] MemberListPtr Snapshot() const;

  /** Directory of the simulation that runs now. */
  static Directory*& Current();
};

} // namespace amaranthgap::sim
