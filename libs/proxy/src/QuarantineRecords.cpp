#include "proxy/QuarantineRecords.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

#include <fmt/format.h>

#include "net/EventLoop.h"

namespace amaranthgap {

namespace {

constexpr std::string_view kPrefix = "amaranthgap/quarantine/";
// Longest quarantine, which ends with its lease.
constexpr Duration kTtl = minutes(10);
constexpr Duration kReadInterval = seconds(60);
constexpr size_t kMaxMarks = 8;

std::string
KeyOf(uint64_t aFingerprint)
{
  return fmt::format("{}{:016x}", kPrefix, aFingerprint);
}

// `end-in-unix-ms service mark...`; a mark is `crash:service-hash:is-trial`.
std::string
EncodeRecord(uint64_t aWallMillis,
             const std::string& aService,
             const CrashRecord& aRecord)
{
  std::string out =
    fmt::format("{} {}", aWallMillis + aRecord.mQuarantineMs, aService);
  for (const CrashMark& it : aRecord.mMarks) {
    if (!it.mIsCleared) {
      out += fmt::format(
        " {:x}:{:x}:{}", it.mCrash, it.mService, it.mIsTrial ? 1 : 0);
    }
  }
  return out;
}

template<class Number>
bool
ReadNumber(std::string_view aText, Number& aOut, int aBase)
{
  const char* end = aText.data() + aText.size();
  const auto [at, ec] = std::from_chars(aText.data(), end, aOut, aBase);
  return !aText.empty() && ec == std::errc() && at == end;
}

std::optional<CrashMark>
DecodeMark(std::string_view aText)
{
  constexpr int kHexadecimal = 16;
  const size_t first = aText.find(':');
  const size_t second = aText.rfind(':');
  CrashMark out;
  if (first == std::string_view::npos || first == second ||
      !ReadNumber(aText.substr(0, first), out.mCrash, kHexadecimal) ||
      !ReadNumber(aText.substr(first + 1, second - first - 1),
                  out.mService,
                  kHexadecimal)) {
    return std::nullopt;
  }
  const std::string_view trial = aText.substr(second + 1);
  out.mIsTrial = trial == "1";
  return out.mIsTrial || trial == "0" ? std::optional(out) : std::nullopt;
}

struct StoredRecord
{
  std::string mService;
  CrashRecord mRecord;
};

/** @return nothing for what another writer may have left there. */
std::optional<StoredRecord>
DecodeRecord(uint64_t aWallMillis,
             std::string_view aKey,
             const std::string& aValue)
{
  constexpr int kDecimal = 10;
  constexpr int kHexadecimal = 16;
  StoredRecord out;
  std::istringstream in(aValue);
  std::string word;
  uint64_t end = 0;
  const std::string_view hash =
    aKey.substr(std::min(aKey.size(), kPrefix.size()));
  if (!ReadNumber(hash, out.mRecord.mFingerprint, kHexadecimal) ||
      aKey != KeyOf(out.mRecord.mFingerprint) || !(in >> word) ||
      !ReadNumber(word, end, kDecimal) || !(in >> out.mService)) {
    return std::nullopt;
  }
  while (in >> word) {
    const auto mark = DecodeMark(word);
    if (!mark || out.mRecord.mMarks.size() >= kMaxMarks) {
      return std::nullopt;
    }
    out.mRecord.mMarks.push_back(*mark);
  }
  const uint64_t left = end - std::min(end, aWallMillis);
  out.mRecord.mQuarantineMs =
    uint32_t(std::min(left, uint64_t(ToMillis(kTtl))));
  return out;
}

} // namespace

QuarantineRecords::QuarantineRecords(Logger& aLogger,
                                     LeasedStore& aStore,
                                     Options aOptions,
                                     Read aRead)
  : mLogger(aLogger)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mRead(std::move(aRead))
  , mWritePacer(mOptions.mSeed)
  , mReadPacer(mOptions.mSeed + 1)
{
}

void
QuarantineRecords::Keep(TimePoint aNow, const CrashNotice& aVerdicts)
{
  for (const CrashRecord& it : aVerdicts.mRecords) {
    Change change{ .mExpiry = aNow + kTtl };
    if (it.mQuarantineMs > 0) {
      change.mValue =
        EncodeRecord(mOptions.mWallMillis(), aVerdicts.mService, it);
      change.mExpiry = aNow + milliseconds(it.mQuarantineMs);
    }
    mChanges[KeyOf(it.mFingerprint)] = std::move(change);
  }
  Write(aNow);
}

void
QuarantineRecords::SetWatching(bool aWatches)
{
  if (std::exchange(mIsWatching, aWatches) == aWatches) {
    return;
  }
  mIsReadDue |= aWatches;
  mNextRead = TimePoint::max();
}

void
QuarantineRecords::Tick(TimePoint aNow)
{
  if (aNow >= mNextRead) {
    mNextRead = TimePoint::max();
    mIsReadDue = true;
  }
  Write(aNow);
  ReadAll(aNow);
}

void
QuarantineRecords::Write(TimePoint aNow)
{
  std::erase_if(
    mChanges, [&](const auto& aPair) { return aPair.second.mExpiry <= aNow; });
  if (mChanges.empty() || !mWritePacer.MayStart(aNow)) {
    return;
  }
  mWritePacer.Started();
  const auto& [key, change] = *mChanges.begin();
  const auto done =
    [this, key = key, change = change](const StoreResult& aResult) {
      Written(EventLoop::Now(), key, change, aResult);
    };
  if (!change.mValue) {
    mStore.Remove(key, done);
  } else if (mLease != 0) {
    mStore.Put(key, *change.mValue, mLease, done);
  } else {
    mStore.GrantLease(kTtl, [this](const StoreResult& aResult) {
      const TimePoint now = EventLoop::Now();
      if (aResult.mStatus == StoreStatus::Done) {
        mLease = aResult.mLease;
        mWritePacer.Succeeded(now);
      } else {
        mWritePacer.Failed(now);
      }
      Write(now);
    });
  }
}

void
QuarantineRecords::Written(TimePoint aNow,
                           const std::string& aKey,
                           const Change& aChange,
                           const StoreResult& aResult)
{
  const bool isDone = aResult.mStatus == StoreStatus::Done;
  mLogger.Write(aNow,
                isDone ? LogLevel::Info : LogLevel::Warning,
                "quarantine-written",
                { { "key", aKey },
                  { "removed", aChange.mValue ? "no" : "yes" },
                  { "status", std::string(ToName(aResult.mStatus)) },
                  { "detail", aResult.mDetail } });
  if (!isDone) {
    mLease = 0; // It may have ended.
    mWritePacer.Failed(aNow);
    return;
  }
  mWritePacer.Succeeded(aNow);
  if (const auto it = mChanges.find(aKey);
      it != mChanges.end() && it->second.mValue == aChange.mValue) {
    mChanges.erase(it);
  }
  if (mChanges.empty()) {
    mLease = 0; // Later ones have to outlive it.
  }
  Write(aNow);
}

void
QuarantineRecords::ReadAll(TimePoint aNow)
{
  if (!mIsReadDue || !mReadPacer.MayStart(aNow)) {
    return;
  }
  mIsReadDue = false;
  mReadPacer.Started();
  mStore.List(std::string(kPrefix), [this](const StoreChanges& aResult) {
    const TimePoint now = EventLoop::Now();
    if (aResult.mStatus == StoreStatus::Done) {
      mReadPacer.Succeeded(now);
      mNextRead = mIsWatching ? now + kReadInterval : TimePoint::max();
      Listed(now, aResult);
    } else {
      mReadPacer.Failed(now);
      mIsReadDue = true;
    }
  });
}

void
QuarantineRecords::Listed(TimePoint aNow, const StoreChanges& aResult)
{
  std::map<std::string, CrashNotice> byService;
  for (const StoreChange& it : aResult.mChanges) {
    auto record =
      DecodeRecord(mOptions.mWallMillis(), it.mKey, it.mValue.value_or(""));
    if (!record) {
      mLogger.Write(aNow,
                    LogLevel::Warning,
                    "store-entry-unusable",
                    { { "key", it.mKey } });
    } else if (record->mRecord.mQuarantineMs > 0) {
      CrashNotice& notice = byService[record->mService];
      notice.mService = record->mService;
      notice.mRecords.push_back(std::move(record->mRecord));
    }
  }
  for (const auto& [service, notice] : byService) {
    mRead(notice);
  }
}

} // namespace amaranthgap
