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
  Suspect, ///< In flight at a crash; runs only on its designated node, never
           ///< together with another suspect.
  Quarantined, ///< Identified as the cause of crashes; refused.
};

/** @return a hash of the service or host name, request class, method, path and
 * body. Headers do not count. */
uint64_t
FingerprintOf(const std::string& aServiceOrHost,
              const std::string& aRequestClass,
              const HttpRequest& aHttp);
uint64_t
FingerprintOf(std::string_view aServiceOrHost,
              std::string_view aRequestClass,
              std::string_view aMethod,
              std::string_view aPath,
              std::string_view aBody);

/** Finds the requests that crash upstreams, from the requests in flight at each
 * crash; see section 8.7 of the design page. Not thread-safe. */
class CrashCorrelator
{
public:
  struct Options
  {
    Duration mQuarantine = minutes(10); ///< Lifetime of every entry.
    size_t mCapacity = 4096;            ///< Largest number of entries.
  };

  explicit CrashCorrelator(const Options& aOptions);

  [[nodiscard]] FingerprintState StateOf(TimePoint aNow,
                                         uint64_t aFingerprint) const;

  /** Records a crash of the local upstream.
   * @return the change to report to the service; its service is not set. */
  CrashReport RecordCrash(TimePoint aNow,
                          const std::vector<uint64_t>& aInFlight);

  /** Records that a request completed.
   * @return a report if this cleared a suspect; its service is not set. */
  std::optional<CrashReport> RecordCompletion(TimePoint aNow,
                                              uint64_t aFingerprint);

  /** Merges a report of another node. */
  void Apply(TimePoint aNow, const CrashReport& aReport);

  /** Removes expired entries.
   * @return the quarantined fingerprints among them, sorted. */
  std::vector<uint64_t> Expire(TimePoint aNow);

  /** @return the only node that may run a suspect, chosen by rendezvous
   * hashing; nothing if there are no nodes. */
  static std::optional<NodeId> DesignatedNode(
    uint64_t aFingerprint,
    const std::vector<NodeId>& aNodes);

  /** @return all suspect and quarantined fingerprints, as a report for a new
   * node of the service; its service is not set. */
  [[nodiscard]] CrashReport Snapshot(TimePoint aNow) const;

  [[nodiscard]] size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    FingerprintState mState = FingerprintState::Suspect;
    uint32_t mCrashes = 1; ///< Crashes with it in flight, up to a bound.
    TimePoint mSince;      ///< Start of the lifetime.
  };

  /** @return the entry, or nullptr if there is none or it has expired. */
  [[nodiscard]] const Entry* Find(TimePoint aNow, uint64_t aFingerprint) const;
  /** Adds a suspect, or raises its number of crashes and restarts its lifetime.
   * Leaves quarantined fingerprints unchanged. */
  void MarkSuspect(TimePoint aNow, uint64_t aFingerprint, uint32_t aCrashes);
  /** Does not extend a quarantine that is in force. */
  void MarkQuarantined(TimePoint aNow, uint64_t aFingerprint);
  /** Makes room for one entry. */
  void EvictIfFull(TimePoint aNow);

  Options mOptions;
  std::unordered_map<uint64_t, Entry> mEntries;
};

} // namespace amaranthgap
