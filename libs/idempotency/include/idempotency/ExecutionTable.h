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

/** Executions of the idempotency keys of one incarnation, with their answers.
 * A key is remembered until the key lifetime is over; a full table refuses new
 * keys, because forgetting a live one would let it run twice.
 * Not safe for use by several threads. */
class ExecutionTable
{
public:
  struct Options
  {
    size_t mMaxBytes = size_t{ 64 } * 1024 * 1024;
  };

  enum class Verdict : uint8_t
  {
    Run,      ///< Not known so far; entered as running.
    Join,     ///< Running; mRunningExecution names the execution.
    Stored,   ///< Ended; mStored holds its outcome.
    Mismatch, ///< Used with another payload.
    Full,     ///< No room for another key. It did not run.
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

  /** Looks a key up and enters it as running when it is new.
   * @param aForget end of the lifetime of the key. */
  BeginResult Begin(const std::string& aKey,
                    uint64_t aFingerprint,
                    ExecutionId aExecution,
                    TimePoint aForget);
  /** As Begin, without entering a new key. */
  [[nodiscard]] std::optional<BeginResult> Find(const std::string& aKey,
                                                uint64_t aFingerprint) const;
  /** Forgets a running key of which nothing was sent to the upstream. */
  void Release(const std::string& aKey);
  /** Stores how a running key ended. An answer that does not fit is stored as
   * MayHaveRun, so that the table stays within its bound. */
  void Finish(const std::string& aKey,
              Outcome aOutcome,
              const HttpResponse& aHttp);
  /** Forgets ended keys whose lifetime is over. */
  void Expire(TimePoint aNow);

  /** @return all ended keys, for a closing record. */
  [[nodiscard]] std::vector<ClosingEntry> FinishedEntries() const;
  [[nodiscard]] size_t Bytes() const { return mBytes; }
  [[nodiscard]] size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    ClosingEntry mEnd;
    bool mIsRunning = true;
    ExecutionId mExecution;
    TimePoint mForget;
    size_t mBytes = 0;
  };
  using Entries = std::unordered_map<std::string, Entry>;

  [[nodiscard]] static BeginResult Known(const Entry& aEntry,
                                         uint64_t aFingerprint);

  Options mOptions;
  Entries mEntries;
  std::set<std::pair<TimePoint, std::string>> mByForget;
  size_t mBytes = 0;
};

/** @return the memory that an answer takes up, with a fixed part per entry. */
size_t
BytesOf(const ClosingEntry& aEntry);

} // namespace amaranthgap
