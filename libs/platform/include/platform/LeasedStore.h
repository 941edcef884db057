#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

/** How a call to the store ended. */
enum class StoreStatus : uint8_t
{
  Done,
  Refused,   ///< Nothing was done: turned away, or not connected.
  NoLease,   ///< The lease has ended.
  Exists,    ///< Nothing was done: the key exists already.
  Compacted, ///< The history after the revision asked for is gone.
  Unclear,   ///< No usable answer; the change may have taken effect, or may
             ///< still do so.
};

template<>
struct EnumNames<StoreStatus>
{
  static constexpr std::array kNames{
    std::pair{ StoreStatus::Done, std::string_view{ "done" } },
    std::pair{ StoreStatus::Refused, std::string_view{ "refused" } },
    std::pair{ StoreStatus::NoLease, std::string_view{ "no-lease" } },
    std::pair{ StoreStatus::Exists, std::string_view{ "exists" } },
    std::pair{ StoreStatus::Compacted, std::string_view{ "compacted" } },
    std::pair{ StoreStatus::Unclear, std::string_view{ "unclear" } },
  };
};

/** Key that was written, or removed when it has no value. */
struct StoreChange
{
  std::string mKey;
  std::optional<std::string> mValue;
  uint64_t mRevision = 0;
  uint64_t mLease = 0; ///< The key ends with it; 0 for none.
};

/** Result of List and Watch. */
struct StoreChanges
{
  StoreStatus mStatus = StoreStatus::Unclear;
  std::vector<StoreChange> mChanges;
  /** Why some keys could not be read; the others are in mChanges. */
  std::vector<std::string> mUnusable;
  uint64_t mRevision = 0; ///< Where a watch goes on.
  bool mHasMore = false;  ///< Of one page: others follow.
  uint64_t mEra = 0;      ///< Of the answer; see LeasedStore.
  std::string mDetail;    ///< Why it failed.
};

/** Result of a change of a key or a lease. */
struct StoreResult
{
  StoreStatus mStatus = StoreStatus::Unclear;
  uint64_t mLease = 0; ///< GrantLease only.
  Duration mTtl{};     ///< GrantLease only: the life that applies.
  uint64_t mEra = 0;   ///< Of the answer; see LeasedStore.
  std::string mDetail; ///< Why it failed.
};

/** The platform's store with leases and watches. Each call ends in exactly one
 * callback, never from within the call itself, unless the store object is
 * destroyed before. Belongs to one event loop.
 *
 * The era of the store rises each time it comes back from an older copy. What
 * was written after that copy is then gone, and revisions and leases are given
 * out again, so both can be compared within an era only. It is 0 without an
 * answer, and at a store that does not tell it. */
class LeasedStore
{
public:
  using ChangesCallback = std::function<void(StoreChanges)>;
  using ResultCallback = std::function<void(StoreResult)>;

  virtual ~LeasedStore() = default;

  /** Reads all keys that begin with the prefix. */
  virtual void List(const std::string& aPrefix, ChangesCallback aDone) = 0;
  /** Waits for changes after a revision, at most aWait. */
  virtual void Watch(const std::string& aPrefix,
                     uint64_t aAfter,
                     Duration aWait,
                     ChangesCallback aDone) = 0;
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   uint64_t aLease,
                   ResultCallback aDone) = 0;
  /** As Put(), unless the key exists. */
  virtual void Create(const std::string& aKey,
                      const std::string& aValue,
                      uint64_t aLease,
                      ResultCallback aDone) = 0;
  virtual void Remove(const std::string& aKey, ResultCallback aDone) = 0;
  virtual void GrantLease(Duration aTtl, ResultCallback aDone) = 0;
  virtual void KeepLease(uint64_t aLease, ResultCallback aDone) = 0;
};

} // namespace amaranthgap
