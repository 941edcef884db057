#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/Ids.h"
#include "base/Time.h"
#include "wire/Messages.h"

namespace amaranthgap {

enum class FingerprintState : uint8_t
{
  Clear,
  Suspect,     ///< In flight at one crash; runs only at its one target, alone.
  Quarantined, ///< Crashed an upstream as its only suspect.
};

/** @return the fingerprint of a request's content. */
uint64_t
FingerprintOf(const std::string& aService,
              const std::string& aRequestClass,
              const HttpRequest& aHttp);

/** Relates crashes of upstreams to the requests in flight on them; see section
 * 8.7 of the design page. Not safe for use by several threads. */
class CrashCorrelator
{
public:
  struct Options
  {
    Duration mQuarantine = minutes(10);
    size_t mCapacity = 4096;
  };

  explicit CrashCorrelator(const Options& aOptions);

  [[nodiscard]] FingerprintState StateOf(TimePoint aNow,
                                         uint64_t aFingerprint) const;

  /** Records a crash of the local upstream.
   * @return the change to report to the service; its service is not set. */
  CrashReport RecordCrash(TimePoint aNow,
                          const std::vector<uint64_t>& aInFlight);

  /** Records a complete answer. @return a report when it clears a suspect. */
  std::optional<CrashReport> RecordCompletion(TimePoint aNow,
                                              uint64_t aFingerprint);

  /** Takes over the report of another node. */
  void Apply(TimePoint aNow, const CrashReport& aReport);

  /** @return fingerprints whose quarantine ended just now. */
  std::vector<uint64_t> Expire(TimePoint aNow);

  /** @return the one node that may run a suspect, or nothing without nodes. */
  static std::optional<NodeId> DesignatedNode(
    uint64_t aFingerprint,
    const std::vector<NodeId>& aNodes);

  /** @return all that is known, to bring a new node of the service up to date;
   * its service is not set. */
  [[nodiscard]] CrashReport Snapshot(TimePoint aNow) const;

  [[nodiscard]] size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    FingerprintState mState = FingerprintState::Suspect;
    uint32_t mCrashes = 1; ///< Crashes with it in flight, none completed since.
    TimePoint mSince;
  };

  [[nodiscard]] const Entry* Find(TimePoint aNow, uint64_t aFingerprint) const;
  void Suspect(TimePoint aNow, uint64_t aFingerprint, uint32_t aCrashes);
  void Quarantine(TimePoint aNow, uint64_t aFingerprint);
  void MakeRoom(TimePoint aNow);

  Options mOptions;
  std::unordered_map<uint64_t, Entry> mEntries;
};

} // namespace amaranthgap
