#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "platform/KeyValueStore.h"

namespace amaranthgap {

/** Store in memory with injected faults. A watch ends at once. Not safe for use
 * by several threads. */
class MemoryStore : public KeyValueStore
{
public:
  enum class Fault : uint8_t
  {
    None,
    Refuse,      ///< Not reachable; no effect.
    LoseRequest, ///< No answer and no effect.
    LoseAnswer,  ///< No answer, but the effect took place.
    Lag,         ///< Reads answer from the content saved last.
  };

  using Content = std::map<std::string, StoredValue>;

  /** Decides on the fault of each call; may change the store before it. */
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

  /** Keeps the content, for Restore and for lagging reads. */
  void Save() { mSaved = mContent; }
  void Restore() { mContent = mSaved; }
  [[nodiscard]] const Content& GetContent() const { return mContent; }
  Content& GetContent() { return mContent; }

private:
  StoreAnswer Apply(const StoreRequest& aRequest, bool aLag)
  {
    const bool reads = aRequest.mOperation == StoreOperation::Read ||
                       aRequest.mOperation == StoreOperation::Watch;
    ++(reads ? mReads : mWrites);
    const auto& content = aLag && reads ? mSaved : mContent;
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
