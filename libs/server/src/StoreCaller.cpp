#include "server/StoreCaller.h"

#include <thread>

namespace amaranthgap {

StoreCaller::StoreCaller(std::shared_ptr<KeyValueStore> aStore, Hook aHook)
  : mShared(std::make_shared<Shared>())
{
  mShared->mStore = std::move(aStore);
  mShared->mHook = std::move(aHook);
}

void
StoreCaller::Start(StartStoreCall aCall)
{
  ++mShared->mCalls;
  std::thread([shared = mShared, call = std::move(aCall)] {
    StoreAnswer answer{ .mDetail = "no store configured" };
    if (shared->mStore) {
      answer = shared->mStore->Execute(call.mRequest);
    }
    const std::scoped_lock lock(shared->mMutex);
    if (shared->mHook) {
      shared->mHook(call.mCall, std::move(answer));
    }
  }).detach();
}

void
StoreCaller::Stop()
{
  const std::scoped_lock lock(mShared->mMutex);
  mShared->mHook = nullptr;
}

} // namespace amaranthgap
