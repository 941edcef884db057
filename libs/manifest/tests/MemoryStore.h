#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "platform/KeyValueStore.h"

namespace amaranthgap {

/** In-memory store with injected faults. A watch returns at once. Not
 * thread-safe. */
class MemoryStore : public KeyValueStore
{
public:
  enum class Fault : uint8_t
  {
    None,
    Refuse,      ///< The store refuses the call; no effect.
    LoseRequest, ///< The request is lost: no answer and no effect.
    LoseAnswer,  ///< The answer is lost, but the effect took place.
    Lag,         ///< Reads return the content saved last.
  };

  using Content = std::map<std::string, StoredValue>;

  /** Returns the fault of each call; may change the store before the call. */
  std::function<Fault(const StoreRequest&)> mFault;

  uint64_t mReads = 0;
  uint64_t mWrites = 0;

  StoreAnswer Execute(const StoreRequest& aRequest) override
  {
    const Fault fault = mFault ? mFault(aRequest) : Fault::None;
    if (fault == Fault::Refuse) {
      return { .mVerdict = StoreVerdict::NotDone, .mDetail = "refused" };
    }
    if (fault == Fault::LoseRequest) {
      return { .mVerdict = StoreVerdict::Unclear, .mDetail = "timeout" };
    }
    auto answer = Apply(aRequest, fault == Fault::Lag);
    if (fault == Fault::LoseAnswer) {
      return { .mVerdict = StoreVerdict::Unclear, .mDetail = "timeout" };
    }
    return answer;
  }

  /** Saves the content for Restore and for stale reads. */
  void Save() { mSaved = mContent; }
  void Restore() { mContent = mSaved; }
  [[nodiscard]] const Content& GetContent() const { return mContent; }
  Content& GetContent() { return mContent; }

private:
  StoreAnswer Apply(const StoreRequest& aRequest, bool aReadsStale)
  {
    const bool reads = aRequest.mOperation == StoreOperation::Read ||
                       aRequest.mOperation == StoreOperation::Watch;
    ++(reads ? mReads : mWrites);
    const auto& content = aReadsStale && reads ? mSaved : mContent;
    const auto it = content.find(aRequest.mKey);
    const StoredValue current =
      it == content.end() ? StoredValue{} : it->second;
    switch (aRequest.mOperation) {
      case StoreOperation::Read:
        return { .mVerdict = StoreVerdict::Done, .mCurrent = current };
      case StoreOperation::Watch:
        return { .mVerdict = current.mRevision == aRequest.mRevision
                               ? StoreVerdict::Unchanged
                               : StoreVerdict::Done,
                 .mCurrent = current };
      default:
        break;
    }
    if (current.mRevision != aRequest.mRevision) {
      return { .mVerdict = StoreVerdict::Conflict, .mCurrent = current };
    }
    if (aRequest.mOperation == StoreOperation::Delete) {
      mContent.erase(aRequest.mKey);
      return { .mVerdict = StoreVerdict::Done };
    }
    auto& value = mContent[aRequest.mKey];
    value = { .mValue = aRequest.mValue, .mRevision = ++mLastRevision };
    return { .mVerdict = StoreVerdict::Done, .mCurrent = value };
  }

  Content mContent;
  Content mSaved;
  uint64_t mLastRevision = 0;
};

} // namespace amaranthgap
