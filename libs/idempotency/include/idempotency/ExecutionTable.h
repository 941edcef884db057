#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Idempotency keys that one incarnation has executed or is executing, with
 * their answers. A key is kept until its lifetime is over. A full table refuses
 * new keys, because a call could run twice if its key were evicted.
 * Not thread-safe. */
class ExecutionTable
{
public:
  struct Options
  {
    size_t mMaxBytes = size_t{ 64 } * 1024 * 1024;
  };

  enum class Verdict : uint8_t
  {
    Run,      ///< New; entered as running.
    Join,     ///< Running; mRunningExecution names the execution.
    Stored,   ///< Finished; mStored holds the outcome.
    Mismatch, ///< Already used with another fingerprint.
    Full,     ///< No room for the key; it was not entered.
  };

  struct BeginResult
  {
    Verdict mVerdict = Verdict::Run;
    ExecutionId mRunningExecution;
    const ClosingEntry* mStored = nullptr; ///< Valid until the next call.
  };

  explicit ExecutionTable(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  /** Looks up a key and enters it as running if it is new.
   * @param aExpiry end of the lifetime of the key. */
  BeginResult Begin(const std::string& aKey,
                    uint64_t aFingerprint,
                    ExecutionId aExecution,
                    TimePoint aExpiry);
  /** Looks up a key like Begin, but enters nothing.
   * @return nothing if the key is new. */
  [[nodiscard]] std::optional<BeginResult> Find(const std::string& aKey,
                                                uint64_t aFingerprint) const;
  /** Removes a running key whose call was not sent to the upstream. */
  void Release(const std::string& aKey);
  /** Stores the outcome of a running key. If the answer does not fit, stores
   * MayHaveRun without it, so that the table stays within mMaxBytes. */
  void Finish(const std::string& aKey,
              Outcome aOutcome,
              const HttpResponse& aHttp);
  /** Removes finished keys whose lifetime is over. */
  void Expire(TimePoint aNow);

  /** @return the entries of all finished keys, for a closing record. */
  [[nodiscard]] std::vector<ClosingEntry> FinishedEntries() const;
  [[nodiscard]] size_t Bytes() const { return mBytes; }
  [[nodiscard]] size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    ClosingEntry mClosingEntry;
    bool mIsRunning = true;
    ExecutionId mExecution;
    TimePoint mExpiry;
    size_t mBytes = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  [[nodiscard]] static BeginResult ResultFor(const Entry& aEntry,
                                             uint64_t aFingerprint);

  Options mOptions;
  Entries mEntries;
  std::set<std::pair<TimePoint, std::string>> mByExpiry;
  size_t mBytes = 0;
};

/** @return the estimated memory of an entry, in bytes. */
size_t
BytesOf(const ClosingEntry& aEntry);

} // namespace amaranthgap
