#include "idempotency/ExecutionTable.h"

namespace amaranthgap {
namespace {

// Overhead of map nodes, key copies and fixed fields, rounded up.
constexpr size_t kEntryOverheadBytes = 512;

} // namespace

size_t
BytesOf(const ClosingEntry& aEntry)
{
  size_t bytes = kEntryOverheadBytes + 2 * aEntry.mKey.size();
  bytes += aEntry.mHttp.mBody.size();
  for (const auto& [name, value] : aEntry.mHttp.mHeaders) {
    bytes += name.size() + value.size() + 2 * sizeof(std::string);
  }
  return bytes;
}

ExecutionTable::BeginResult
ExecutionTable::ResultFor(const Entry& aEntry, uint64_t aFingerprint)
{
  if (aEntry.mClosingEntry.mFingerprint != aFingerprint) {
    return { .mVerdict = Verdict::Mismatch };
  }
  if (aEntry.mIsRunning) {
    return { .mVerdict = Verdict::Join,
             .mRunningExecution = aEntry.mExecution };
  }
  return { .mVerdict = Verdict::Stored, .mStored = &aEntry.mClosingEntry };
}

std::optional<ExecutionTable::BeginResult>
ExecutionTable::Find(const std::string& aKey, uint64_t aFingerprint) const
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  return ResultFor(it->second, aFingerprint);
}

ExecutionTable::BeginResult
ExecutionTable::Begin(const std::string& aKey,
                      uint64_t aFingerprint,
                      ExecutionId aExecution,
                      TimePoint aExpiry)
{
  if (const auto known = Find(aKey, aFingerprint)) {
    return *known;
  }
  Entry entry{ .mClosingEntry = { .mKey = aKey, .mFingerprint = aFingerprint },
               .mExecution = aExecution,
               .mExpiry = aExpiry };
  entry.mBytes = BytesOf(entry.mClosingEntry);
  if (mBytes + entry.mBytes > mOptions.mMaxBytes) {
    return { .mVerdict = Verdict::Full };
  }
  mBytes += entry.mBytes;
  mByExpiry.emplace(aExpiry, aKey);
  mEntries.emplace(aKey, std::move(entry));
  return { .mVerdict = Verdict::Run, .mRunningExecution = aExecution };
}

void
ExecutionTable::Release(const std::string& aKey)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || !it->second.mIsRunning) {
    return;
  }
  mBytes -= it->second.mBytes;
  mByExpiry.erase({ it->second.mExpiry, aKey });
  mEntries.erase(it);
}

void
ExecutionTable::Finish(const std::string& aKey,
                       Outcome aOutcome,
                       const HttpResponse& aHttp)
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end() || !it->second.mIsRunning) {
    return;
  }
  Entry& entry = it->second;
  entry.mIsRunning = false;
  entry.mClosingEntry.mOutcome = aOutcome;
  entry.mClosingEntry.mHttp = aHttp;
  size_t bytes = BytesOf(entry.mClosingEntry);
  if (mBytes - entry.mBytes + bytes > mOptions.mMaxBytes) {
    entry.mClosingEntry.mOutcome = Outcome::MayHaveRun;
    entry.mClosingEntry.mHttp = {};
    bytes = entry.mBytes;
  }
  mBytes += bytes - entry.mBytes;
  entry.mBytes = bytes;
}

void
ExecutionTable::Expire(TimePoint aNow)
{
  auto it = mByExpiry.begin();
  while (it != mByExpiry.end() && it->first <= aNow) {
    const auto entry = mEntries.find(it->second);
    if (entry->second.mIsRunning) {
      ++it;
      continue;
    }
    mBytes -= entry->second.mBytes;
    mEntries.erase(entry);
    it = mByExpiry.erase(it);
  }
}

std::vector<ClosingEntry>
ExecutionTable::FinishedEntries() const
{
  std::vector<ClosingEntry> finished;
  for (const auto& [key, entry] : mEntries) {
    if (!entry.mIsRunning) {
      finished.push_back(entry.mClosingEntry);
    }
  }
  return finished;
}

} // namespace amaranthgap
