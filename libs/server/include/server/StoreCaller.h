#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

#include "node/Actions.h"
#include "platform/KeyValueStore.h"

namespace amaranthgap {

/**
 * Runs blocking store calls, each on a thread of its own: a node has one watch
 * and few other calls at a time. A watch cannot be cancelled, so that its
 * thread may outlive this object; its answer is dropped then.
 *
 * Safe for use by several threads.
 */
class StoreCaller
{
public:
  using Hook = std::function<void(StoreCallId, StoreAnswer)>;

  /** @param aStore may be null: each call is answered as not done. */
  StoreCaller(std::shared_ptr<KeyValueStore> aStore, Hook aHook);
  ~StoreCaller() { Stop(); }
  StoreCaller(const StoreCaller&) = delete;
  StoreCaller& operator=(const StoreCaller&) = delete;

  void Start(StartStoreCall aCall);
  /** No answer is delivered after this returns. */
  void Stop();

  [[nodiscard]] uint64_t GetCallCount() const { return mShared->mCalls; }

private:
  struct Shared
  {
    std::shared_ptr<KeyValueStore> mStore;
    std::atomic<uint64_t> mCalls = 0;
    std::mutex mMutex; ///< Guards the hook, and is held while it runs.
    Hook mHook;
  };

  std::shared_ptr<Shared> mShared;
};

} // namespace amaranthgap
