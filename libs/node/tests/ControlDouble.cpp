#include <unordered_map>

#include "SimDirectory.h"
#include "node/ControlLogic.h"

// Stand-in for ControlLogic: members and manifest come from a directory that
// all nodes of a simulation share, without messages.

namespace amaranthgap {

namespace sim {

Directory*&
Directory::Current()
{
  static Directory* current = nullptr;
  return current;
}

void
Directory::Set(const MemberUpdate& aMember)
{
  MemberUpdate& member = mMembers[aMember.mNode.mId];
  if (aMember.mNode.mIncarnation >= member.mNode.mIncarnation) {
    member = aMember;
    ++mVersion;
  }
}

void
Directory::SetState(const NodeRef& aNode, MemberState aState)
{
  const auto it = mMembers.find(aNode.mId);
  if (it != mMembers.end() && it->second.mNode == aNode) {
    it->second.mState = aState;
    ++mVersion;
  }
}

MemberListPtr
Directory::Snapshot() const
{
  auto list = std::make_shared<MemberList>();
  list->mByNode = mMembers;
  for (const auto& [id, member] : mMembers) {
    const bool isListed = member.mState == MemberState::Warm ||
                          member.mState == MemberState::Leaving ||
                          member.mState == MemberState::Suspect;
    if (isListed && !member.mService.empty()) {
      list->mByService[member.mService].push_back(member);
    }
  }
  list->mRegionNodes = uint32_t(mMembers.size());
  return list;
}

} // namespace sim

namespace {

struct DoubleState
{
  ControlLogic::Options mOptions;
  MemberUpdate mOwn;
  uint64_t mMembersVersion = 0;
  ManifestPtr mManifest;
};

DoubleState&
StateOf(const ControlLogic* aControl)
{
  static std::unordered_map<const ControlLogic*, DoubleState> states;
  return states[aControl];
}

sim::Directory&
Shared()
{
  return *sim::Directory::Current();
}

void
Publish(const ControlLogic* aControl, MemberState aState)
{
  StateOf(aControl).mOwn.mState = aState;
  Shared().Set(StateOf(aControl).mOwn);
}

} // namespace

ControlLogic::ControlLogic(Options aOptions)
{
  DoubleState& state = StateOf(this);
  state = {};
  state.mOwn = { .mNode = aOptions.mSelf,
                 .mRegion = aOptions.mRegion,
                 .mDataCentre = aOptions.mDataCentre,
                 .mPeerAddress = aOptions.mPeerAddress };
  state.mOptions = std::move(aOptions);
  Publish(this, MemberState::Joined);
}

void
ControlLogic::MessageArrived(TimePoint, const Envelope&, Actions&)
{
}

void
ControlLogic::StoreAnswered(TimePoint,
                            StoreCallId,
                            const StoreAnswer&,
                            Actions&)
{
}

void
ControlLogic::PeerLost(TimePoint, const NodeRef&, Actions&)
{
}

void
ControlLogic::Tick(TimePoint, Actions&)
{
}

void
ControlLogic::SetUpstream(TimePoint,
                          const std::string& aService,
                          uint32_t aSlots,
                          Duration aWarmUp,
                          Actions&)
{
  MemberUpdate& own = StateOf(this).mOwn;
  own.mService = aService;
  own.mSlots = aSlots;
  own.mWarmUpMs = uint32_t(ToMillis(aWarmUp));
  if (own.mState == MemberState::Joined || own.mState == MemberState::Warm) {
    Publish(this, aService.empty() ? MemberState::Joined : MemberState::Warm);
  }
}

void
ControlLogic::Leave(TimePoint, Actions&)
{
  Publish(this, MemberState::Leaving);
}

void
ControlLogic::Left(TimePoint, Actions&)
{
  Publish(this, MemberState::Left);
}

const NodeRef&
ControlLogic::Self() const
{
  return StateOf(this).mOwn.mNode;
}

bool
ControlLogic::IsReady() const
{
  return true;
}

bool
ControlLogic::IsSuperseded() const
{
  return false;
}

ManifestPtr
ControlLogic::TakeManifest()
{
  DoubleState& state = StateOf(this);
  if (state.mManifest == Shared().mManifest) {
    return nullptr;
  }
  state.mManifest = Shared().mManifest;
  return state.mManifest;
}

MemberListPtr
ControlLogic::TakeMembers()
{
  DoubleState& state = StateOf(this);
  if (state.mMembersVersion == Shared().mVersion) {
    return nullptr;
  }
  state.mMembersVersion = Shared().mVersion;
  return Shared().Snapshot();
}

ManifestStamp
ControlLogic::Stamp() const
{
  return { .mVersion = Shared().mManifest ? Shared().mManifest->mVersion : 0 };
}

std::vector<MemberUpdate>
ControlLogic::Members() const
{
  return {};
}

} // namespace amaranthgap
