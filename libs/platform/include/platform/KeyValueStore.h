#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/Error.h"
#include "base/Time.h"

namespace amaranthgap {

/** Value with its revision. The revision of an absent key is 0. */
struct StoredValue
{
  std::string mValue;
  uint64_t mRevision = 0;
};

enum class StoreOperation : uint8_t
{
  Read,
  CompareAndSwap,
  Delete,
  Watch,
};

/** One call to the store. Plain data, so that deciding parts can emit it. */
struct StoreRequest
{
  StoreOperation mOperation = StoreOperation::Read;
  std::string mKey;
  std::string mValue;             ///< CompareAndSwap only.
  uint64_t mRevision = 0;         ///< Expected, or last seen for Watch.
  Duration mTimeout = seconds(2); ///< For Watch: the longest wait.
};

enum class StoreVerdict : uint8_t
{
  Done,      ///< Read, written, or changed since the watched revision.
  Unchanged, ///< Watch ended without a change.
  Conflict,  ///< CompareAndSwap or Delete met another revision.
  NotDone,   ///< Certain to have had no effect: refused or not connected.
  Unclear,   ///< The answer was lost; the change may have taken effect.
};

struct StoreAnswer
{
  StoreVerdict mVerdict = StoreVerdict::NotDone;
  StoredValue mCurrent; ///< For Done and Conflict; revision 0 when absent.
  std::string mDetail;  ///< For NotDone and Unclear.
};

/** The platform's key-value service. Implementations are safe for use by
 * several threads and block until the answer or the timeout. */
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;

  /** Carries out one call. Never throws. */
  virtual StoreAnswer Execute(const StoreRequest& aRequest) = 0;
};

} // namespace amaranthgap
