#include "idempotency/ExecutionTable.h"

namespace amaranthgap {
namespace {

// Map nodes, key copies and fixed fields; rounded up.
constexpr size_t kEntryBytes = 512;

} // namespace

size_t
BytesOf(const ClosingEntry& aEntry)
{
  size_t bytes = kEntryBytes + 2 * aEntry.mKey.size();
  bytes += aEntry.mHttp.mBody.size();
  for (const auto& [name, value] : aEntry.mHttp.mHeaders) {
    bytes += name.size() + value.size() + 2 * sizeof(std::string);
  }
  return bytes;
}

ExecutionTable::BeginResult
ExecutionTable::Known(const Entry& aEntry, uint64_t aFingerprint)
{
  if (aEntry.mEnd.mFingerprint != aFingerprint) {
    return { .mVerdict = Verdict::Mismatch };
  }
  if (aEntry.mIsRunning) {
    return { .mVerdict = Verdict::Join,
             .mRunningExecution = aEntry.mExecution };
  }
  return { .mVerdict = Verdict::Stored, .mStored = &aEntry.mEnd };
}

std::optional<ExecutionTable::BeginResult>
ExecutionTable::Find(const std::string& aKey, uint64_t aFingerprint) const
{
  const auto it = mEntries.find(aKey);
  if (it == mEntries.end()) {
    return std::nullopt;
  }
  return Known(it->second, aFingerprint);
}

ExecutionTable::BeginResult
ExecutionTable::Begin(const std::string& aKey,
                      uint64_t aFingerprint,
                      ExecutionId aExecution,
                      TimePoint aForget)
{
  if (const auto known = Find(aKey, aFingerprint)) {
    return *known;
  }
  Entry entry{ .mEnd = { .mKey = aKey, .mFingerprint = aFingerprint },
               .mExecution = aExecution,
               .mForget = aForget };
  entry.mBytes = BytesOf(entry.mEnd);
  if (mBytes + entry.mBytes > mOptions.mMaxBytes) {
    return { .mVerdict = Verdict::Full };
  }
  mBytes += entry.mBytes;
  mByForget.emplace(aForget, aKey);
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
  mByForget.erase({ it->second.mForget, aKey });
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
  entry.mEnd.mOutcome = aOutcome;
  entry.mEnd.mHttp = aHttp;
  size_t bytes = BytesOf(entry.mEnd);
  if (mBytes - entry.mBytes + bytes > mOptions.mMaxBytes) {
    entry.mEnd.mOutcome = Outcome::MayHaveRun;
    entry.mEnd.mHttp = {};
    bytes = entry.mBytes;
  }
  mBytes += bytes - entry.mBytes;
  entry.mBytes = bytes;
}

void
ExecutionTable::Expire(TimePoint aNow)
{
  auto it = mByForget.begin();
  while (it != mByForget.end() && it->first <= aNow) {
    const auto entry = mEntries.find(it->second);
    if (entry->second.mIsRunning) {
      ++it;
      continue;
    }
    mBytes -= entry->second.mBytes;
    mEntries.erase(entry);
    it = mByForget.erase(it);
  }
}

std::vector<ClosingEntry>
ExecutionTable::FinishedEntries() const
{
  std::vector<ClosingEntry> ended;
  for (const auto& [key, entry] : mEntries) {
    if (!entry.mIsRunning) {
      ended.push_back(entry.mEnd);
    }
  }
  return ended;
}

} // namespace amaranthgap
