#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/EnumNames.h"
#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** How far requests with one fingerprint are suspected of crashing upstreams.
 */
enum class Suspicion : uint8_t
{
  Clear,
  Suspect,     ///< In flight at one crash.
  Probation,   ///< In flight at two crashes or more; a resource, under two of
               ///< its contents or more. Runs at one node of the service, as
               ///< the only such one there.
  Quarantined, ///< Crashed an upstream while on probation; refused at the
               ///< services that it has crashed upstreams of.
};

template<>
struct EnumNames<Suspicion>
{
  static constexpr std::array kNames{
    std::pair{ Suspicion::Clear, std::string_view{ "clear" } },
    std::pair{ Suspicion::Suspect, std::string_view{ "suspect" } },
    std::pair{ Suspicion::Probation, std::string_view{ "probation" } },
    std::pair{ Suspicion::Quarantined, std::string_view{ "quarantined" } },
  };
};

/** Fingerprints of a request: of its content alone, of its content from one
 * caller, and of the resource and body that this caller names. A request may
 * crash upstreams whoever sends it, or only if it comes from that caller, while
 * others use the same content without harm; and it may come with another query
 * or method each time. They stay the same when its route goes to another
 * service. */
struct RequestFingerprints
{
  uint64_t mOfContent = 0;
  uint64_t mFromCaller = 0;
  uint64_t mOfResource = 0; ///< From the caller, whatever query or method.
  uint64_t mTrialKey = 0;   ///< Requests with one key are tried at one target.
  uint64_t mService = 0;    ///< Hash of the service that is to run it.

  [[nodiscard]] std::array<uint64_t, 3> All() const
  {
    return { mOfContent, mFromCaller, mOfResource };
  }

  auto operator<=>(const RequestFingerprints&) const = default;
};

/** Request in flight at a crash. */
struct InFlightRequest
{
  RequestFingerprints mFingerprints;
  bool mIsTrial = false; ///< It ran on probation.
};

/** Evidence about requests that crash upstreams: which ones were in flight at
 * which crashes, and which have completed since. Copies of it on several nodes
 * converge when they exchange their notices, in any order and repeatedly. Not
 * thread-safe. */
class CrashEvidence
{
public:
  struct Options
  {
    Duration mQuarantine = minutes(10);
    /** Lifetime of an entry after its latest crash or quarantine. */
    Duration mExpiry = minutes(10);
    size_t mMaxEntries = 4096;
    /** A content that completed here within this time is no suspect. */
    Duration mRecentCompletion = seconds(10);
    size_t mMaxRecentCompletions = 12288;
  };

  explicit CrashEvidence(const Options& aOptions);

  /** @return the gravest state of a fingerprint at any service. */
  [[nodiscard]] Suspicion StateOf(TimePoint aNow, uint64_t aFingerprint) const;
  /** @return the gravest state of its fingerprints, at the service that is to
   * run the request. */
  [[nodiscard]] Suspicion StateOf(
    TimePoint aNow,
    const RequestFingerprints& aFingerprints) const;
  /** @return the time left of the quarantine; zero without one. */
  [[nodiscard]] Duration QuarantineLeft(
    TimePoint aNow,
    const RequestFingerprints& aFingerprints) const;

  /** Records a crash of the local upstream.
   * @param aCrash unique number of the crash, not 0.
   * @return what other nodes have to know. */
  CrashNotice RecordCrash(TimePoint aNow,
                          const std::string& aService,
                          uint64_t aCrash,
                          const std::vector<InFlightRequest>& aInFlight);
  /** Records that the local upstream has answered a request.
   * @return what other nodes have to know, if this ends a probation. */
  CrashNotice RecordCompletion(TimePoint aNow,
                               const RequestFingerprints& aFingerprints);
  /** Takes a notice of another node.
   * @return the part of it that was unknown here, and what is known better. */
  CrashNotice Merge(TimePoint aNow, const CrashNotice& aNotice);
  /** Removes what is outdated.
   * @return what is no longer quarantined since the previous call, because its
   * time is over; a notice each. */
  std::vector<CrashNotice> Expire(TimePoint aNow);

  /** @return the entries of a service that have reached a state, the gravest
   * first. */
  [[nodiscard]] CrashNotice Snapshot(TimePoint aNow,
                                     const std::string& aService,
                                     Suspicion aLeast) const;
  /** @return the services that have entries. */
  [[nodiscard]] std::vector<std::string> Services() const;
  [[nodiscard]] size_t CountOf(TimePoint aNow, Suspicion aState) const;
  [[nodiscard]] bool IsEmpty() const { return mEntries.empty(); }

private:
  struct Entry
  {
    std::string mService; ///< Of the latest crash.
    std::vector<CrashMark> mMarks;
    TimePoint mQuarantineEnd{};
    TimePoint mLatest{}; ///< Time of the latest mark or end of quarantine.
  };

  /** Fingerprints of requests that completed of late, in two generations. */
  class RecentCompletions
  {
  public:
    void Add(TimePoint aNow, uint64_t aFingerprint, const Options& aOptions);
    [[nodiscard]] bool Contains(uint64_t aFingerprint) const;
    /** Starts a new generation if the present one is old. */
    void Expire(TimePoint aNow, const Options& aOptions);

  private:
    void Rotate(TimePoint aNow);

    std::unordered_set<uint64_t> mPresent;
    std::unordered_set<uint64_t> mEarlier;
    TimePoint mPresentSince{};
  };

  /** @return the gravest state at any service. */
  [[nodiscard]] static Suspicion StateOf(TimePoint aNow, const Entry& aEntry);
  /** @return the state at one service. A service whose upstreams it has not
   * crashed yet may have been chosen because they can run it: it gets a trial.
   */
  [[nodiscard]] static Suspicion StateAt(TimePoint aNow,
                                         const Entry& aEntry,
                                         uint64_t aService);
  [[nodiscard]] static CrashRecord RecordOf(TimePoint aNow,
                                            uint64_t aFingerprint,
                                            const Entry& aEntry);
  Entry& FindOrAdd(TimePoint aNow,
                   const std::string& aService,
                   uint64_t aFingerprint);
  /** How a crash counts against one fingerprint. */
  struct Blame
  {
    bool mIsFailedTrial = false;
    uint64_t mContents = 0; ///< As in CrashMark.
  };
  /** @return the fingerprints of the requests in flight, with their blame. */
  [[nodiscard]] std::map<uint64_t, Blame> Blamed(
    TimePoint aNow,
    const std::vector<InFlightRequest>& aInFlight) const;
  /** Adds a fingerprint to what other nodes have to know: as a record from
   * probation on, as in flight at this crash before that.
   * @param aContents at this crash, as in CrashMark. */
  static void AddNews(TimePoint aNow,
                      uint64_t aFingerprint,
                      const Entry& aEntry,
                      uint64_t aContents,
                      CrashNotice& aNews);
  /** Adds a mark, or what it says beyond the known one.
   * @return whether something was new. */
  static bool AddMark(TimePoint aNow, Entry& aEntry, const CrashMark& aMark);
  /** @return whether the entry knows more than a record, which rests on crashes
   * that have been cleared since. */
  [[nodiscard]] static bool Corrects(const Entry& aEntry,
                                     const CrashRecord& aRecord);
  void MergeRecord(TimePoint aNow,
                   const std::string& aService,
                   const CrashRecord& aRecord,
                   CrashNotice& aNews);
  void EvictIfFull(TimePoint aNow);

  Options mOptions;
  std::unordered_map<uint64_t, Entry> mEntries;
  RecentCompletions mRecent;
  TimePoint mLatestExpire{};
};

} // namespace amaranthgap
