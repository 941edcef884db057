#include "node/EntryCall.h"

namespace amaranthgap {

EntryCall&
EntryCalls::Add(EntryCall aCall)
{
  const CallId id = aCall.mId;
  mByCaller[aCall.mCaller] = id;
  mByWake.emplace(aCall.mWake, id);
  if (aCall.mIsChild) {
    mFamilies[aCall.mParent].mCalls.insert(aCall.mCaller);
  }
  auto& slot = mCalls[id];
  slot = std::make_unique<EntryCall>(std::move(aCall));
  return *slot;
}

EntryCall*
EntryCalls::Find(CallId aId)
{
  const auto it = mCalls.find(aId);
  return it == mCalls.end() ? nullptr : it->second.get();
}

EntryCall*
EntryCalls::FindByCaller(CallerHandle aCaller)
{
  const auto it = mByCaller.find(aCaller);
  return it == mByCaller.end() ? nullptr : Find(it->second);
}

void
EntryCalls::Rename(EntryCall& aCall, CallId aId)
{
  auto node = mCalls.extract(aCall.mId);
  mByWake.erase({ aCall.mWake, aCall.mId });
  node.key() = aId;
  mCalls.insert(std::move(node));
  aCall.mId = aId;
  mByCaller[aCall.mCaller] = aId;
  mByWake.emplace(aCall.mWake, aId);
}

void
EntryCalls::SetWake(EntryCall& aCall, TimePoint aWake)
{
  mByWake.erase({ aCall.mWake, aCall.mId });
  aCall.mWake = aWake;
  mByWake.emplace(aWake, aCall.mId);
}

EntryCall
EntryCalls::Remove(CallId aId)
{
  const auto it = mCalls.find(aId);
  EntryCall call = std::move(*it->second);
  mCalls.erase(it);
  mByWake.erase({ call.mWake, aId });
  mByCaller.erase(call.mCaller);
  if (call.mIsChild) {
    if (const auto family = mFamilies.find(call.mParent);
        family != mFamilies.end()) {
      family->second.mCalls.erase(call.mCaller);
      if (family->second.mCalls.empty() && family->second.mKeys.empty()) {
        mFamilies.erase(family);
      }
    }
  }
  return call;
}

std::vector<CallId>
EntryCalls::Due(TimePoint aNow) const
{
  std::vector<CallId> due;
  for (auto it = mByWake.begin(); it != mByWake.end() && it->first <= aNow;
       ++it) {
    due.push_back(it->second);
  }
  return due;
}

std::vector<CallId>
EntryCalls::Ids() const
{
  std::vector<CallId> ids;
  ids.reserve(mCalls.size());
  for (const auto& [id, call] : mCalls) {
    ids.push_back(id);
  }
  return ids;
}

std::vector<CallId>
EntryCalls::ChildrenOf(ExecutionId aParent) const
{
  std::vector<CallId> children;
  if (const auto it = mFamilies.find(aParent); it != mFamilies.end()) {
    for (const CallerHandle caller : it->second.mCalls) {
      children.push_back(mByCaller.at(caller));
    }
  }
  return children;
}

EntryCalls::ChildKey&
EntryCalls::KeyOf(const EntryCall& aCall)
{
  return mFamilies[aCall.mParent]
    .mKeys[aCall.mService + '\n' + aCall.mChildKey];
}

void
EntryCalls::ForgetKey(const EntryCall& aCall)
{
  if (const auto it = mFamilies.find(aCall.mParent); it != mFamilies.end()) {
    it->second.mKeys.erase(aCall.mService + '\n' + aCall.mChildKey);
  }
}

} // namespace amaranthgap
