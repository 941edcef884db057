#include "quarantine/CrashCorrelator.h"

#include <algorithm>
#include <set>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

// Number of crashes after which the only suspect in flight is quarantined even
// if other requests were in flight as well. With two, an innocent suspect would
// be quarantined when another request crashes its target.
constexpr uint32_t kCrashesToQuarantine = 3;

} // namespace

uint64_t
FingerprintOf(const std::string& aServiceOrHost,
              const std::string& aRequestClass,
              const HttpRequest& aHttp)
{
  return FingerprintOf(
    aServiceOrHost, aRequestClass, aHttp.mMethod, aHttp.mPath, aHttp.mBody);
}

uint64_t
FingerprintOf(std::string_view aServiceOrHost,
              std::string_view aRequestClass,
              std::string_view aMethod,
              std::string_view aPath,
              std::string_view aBody)
{
  // The hash of each part seeds the next, so that moving a byte from one part
  // to the next changes the fingerprint.
  uint64_t hash = Hash64(aServiceOrHost);
  hash = Hash64(aRequestClass, hash);
  hash = Hash64(aMethod, hash);
  hash = Hash64(aPath, hash);
  return Hash64(aBody, hash);
}

CrashCorrelator::CrashCorrelator(const Options& aOptions)
  : mOptions(aOptions)
{
}

const CrashCorrelator::Entry*
CrashCorrelator::Find(TimePoint aNow, uint64_t aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end() ||
      aNow - it->second.mSince >= mOptions.mQuarantine) {
    return nullptr;
  }
  return &it->second;
}

FingerprintState
CrashCorrelator::StateOf(TimePoint aNow, uint64_t aFingerprint) const
{
  const Entry* entry = Find(aNow, aFingerprint);
  return entry ? entry->mState : FingerprintState::Clear;
}

CrashReport
CrashCorrelator::RecordCrash(TimePoint aNow,
                             const std::vector<uint64_t>& aInFlight)
{
  const std::set<uint64_t> inFlight(aInFlight.begin(), aInFlight.end());
  std::vector<uint64_t> suspects;
  for (const uint64_t fingerprint : inFlight) {
    if (StateOf(aNow, fingerprint) == FingerprintState::Suspect) {
      suspects.push_back(fingerprint);
    }
  }
  std::optional<uint64_t> cause;
  if (suspects.size() == 1 &&
      (inFlight.size() == 1 ||
       Find(aNow, suspects[0])->mCrashes + 1 >= kCrashesToQuarantine)) {
    cause = suspects[0];
  }

  CrashReport report;
  for (const uint64_t fingerprint : inFlight) {
    if (fingerprint == cause) {
      MarkQuarantined(aNow, fingerprint);
      report.mQuarantined.push_back(fingerprint);
      continue;
    }
    // If the cause is known, the other requests in flight keep their state.
    const Entry* entry = Find(aNow, fingerprint);
    if (cause || (entry && entry->mState == FingerprintState::Quarantined)) {
      continue;
    }
    const uint32_t crashes =
      std::min(entry ? entry->mCrashes + 1 : 1, kCrashesToQuarantine);
    MarkSuspect(aNow, fingerprint, crashes);
    // The report lists a suspect once per crash. It carries the total, so that
    // a duplicate report does not raise the count.
    report.mSuspects.insert(report.mSuspects.end(), crashes, fingerprint);
  }
  return report;
}

std::optional<CrashReport>
CrashCorrelator::RecordCompletion(TimePoint aNow, uint64_t aFingerprint)
{
  if (StateOf(aNow, aFingerprint) != FingerprintState::Suspect) {
    return std::nullopt;
  }
  mEntries.erase(aFingerprint);
  CrashReport report;
  report.mCleared.push_back(aFingerprint);
  return report;
}

void
CrashCorrelator::Apply(TimePoint aNow, const CrashReport& aReport)
{
  std::unordered_map<uint64_t, uint32_t> crashes;
  for (const uint64_t fingerprint : aReport.mSuspects) {
    ++crashes[fingerprint];
  }
  for (const auto& [fingerprint, count] : crashes) {
    MarkSuspect(aNow, fingerprint, std::min(count, kCrashesToQuarantine));
  }
  for (const uint64_t fingerprint : aReport.mQuarantined) {
    MarkQuarantined(aNow, fingerprint);
  }
  for (const uint64_t fingerprint : aReport.mCleared) {
    if (StateOf(aNow, fingerprint) == FingerprintState::Suspect) {
      mEntries.erase(fingerprint);
    }
  }
}

std::vector<uint64_t>
CrashCorrelator::Expire(TimePoint aNow)
{
  std::vector<uint64_t> expired;
  std::erase_if(mEntries, [&](const auto& aPair) {
    if (aNow - aPair.second.mSince < mOptions.mQuarantine) {
      return false;
    }
    if (aPair.second.mState == FingerprintState::Quarantined) {
      expired.push_back(aPair.first);
    }
    return true;
  });
  std::sort(expired.begin(), expired.end());
  return expired;
}

std::optional<NodeId>
CrashCorrelator::DesignatedNode(uint64_t aFingerprint,
                                const std::vector<NodeId>& aNodes)
{
  std::optional<NodeId> best;
  uint64_t bestWeight = 0;
  for (const auto& node : aNodes) {
    const uint64_t weight = RendezvousWeight(node.mValue, aFingerprint);
    if (!best || weight > bestWeight ||
        (weight == bestWeight && node < *best)) {
      best = node;
      bestWeight = weight;
    }
  }
  return best;
}

CrashReport
CrashCorrelator::Snapshot(TimePoint aNow) const
{
  CrashReport report;
  for (const auto& [fingerprint, entry] : mEntries) {
    if (aNow - entry.mSince >= mOptions.mQuarantine) {
      continue;
    }
    if (entry.mState == FingerprintState::Quarantined) {
      report.mQuarantined.push_back(fingerprint);
    } else {
      report.mSuspects.insert(
        report.mSuspects.end(), entry.mCrashes, fingerprint);
    }
  }
  return report;
}

void
CrashCorrelator::MarkSuspect(TimePoint aNow,
                             uint64_t aFingerprint,
                             uint32_t aCrashes)
{
  if (const Entry* entry = Find(aNow, aFingerprint)) {
    if (entry->mState == FingerprintState::Suspect &&
        aCrashes > entry->mCrashes) {
      mEntries[aFingerprint] = { .mCrashes = aCrashes, .mSince = aNow };
    }
    return;
  }
  EvictIfFull(aNow);
  mEntries[aFingerprint] = { .mCrashes = aCrashes, .mSince = aNow };
}

void
CrashCorrelator::MarkQuarantined(TimePoint aNow, uint64_t aFingerprint)
{
  const Entry* entry = Find(aNow, aFingerprint);
  if (entry && entry->mState == FingerprintState::Quarantined) {
    return;
  }
  if (!entry) {
    EvictIfFull(aNow);
  }
  mEntries[aFingerprint] = { .mState = FingerprintState::Quarantined,
                             .mSince = aNow };
}

void
CrashCorrelator::EvictIfFull(TimePoint /*aNow*/)
{
  if (mEntries.size() < std::max<size_t>(1, mOptions.mCapacity)) {
    return;
  }
  // Evicts the oldest suspect, and quarantined fingerprints only if there are
  // no suspects: those are known to crash upstreams, most suspects are
  // innocent.
  const auto evicted = std::min_element(
    mEntries.begin(), mEntries.end(), [](const auto& aOne, const auto& aOther) {
      return std::pair{ aOne.second.mState, aOne.second.mSince } <
             std::pair{ aOther.second.mState, aOther.second.mSince };
    });
  mEntries.erase(evicted);
}

} // namespace amaranthgap
