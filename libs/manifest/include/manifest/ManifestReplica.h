#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/Rng.h"
#include "config/Manifest.h"
#include "wire/Outgoing.h"

namespace amaranthgap {

/** Version of the manifest in force on one node, with its propagation between
 * nodes; see section 8.9 of the design page. Not safe for use by several
 * threads. */
class ManifestReplica
{
public:
  struct Options
  {
    uint64_t mSeed = 1;
    uint32_t mRumorTargets = 3;
    uint32_t mRumorRounds = 4;
    Duration mRumorPeriod = milliseconds(200);
    Duration mPullTimeout = seconds(1);
    /** Delta that is carried on a rumor; the rest of 1,200 bytes is for the
     * envelope. */
    size_t mMaxRumorDeltaBytes = 960;
    size_t mMaxPageBytes = size_t{ 48 } * 1024;

    // Mechanisms that tests switch off to show that they are needed.
    bool mRumors = true;
    bool mPulls = true;
    bool mCheckVersion = true;
    bool mCheckDigest = true;
  };

  explicit ManifestReplica(Options aOptions);

  // -- Offers of a newer version --

  /** Takes deltas that follow on the version held, in order.
   * @return whether a newer version came into force. */
  bool ApplyDeltas(TimePoint aNow,
                   const std::vector<ManifestDelta>& aDeltas,
                   const std::string& aSource,
                   PeerOutput& aOut);
  /** Takes the whole content of a version. */
  bool ApplyFullManifest(TimePoint aNow,
                         const ManifestStamp& aStamp,
                         ManifestEntries aEntries,
                         const std::string& aSource,
                         PeerOutput& aOut);
  /** Takes the version that a peer has in force: pulls a newer one, reports a
   * different digest of the same one. */
  void HandlePeerStamp(TimePoint aNow,
                       const ManifestStamp& aStamp,
                       const PeerAddress& aPeer,
                       PeerOutput& aOut);

  // -- Events --

  /** Takes rumors, pulls and pages. */
  void MessageArrived(TimePoint aNow,
                      const Envelope& aEnvelope,
                      PeerOutput& aOut);
  void Tick(TimePoint aNow, const PeerPicker& aPick, PeerOutput& aOut);

  // -- State --

  [[nodiscard]] const ManifestStamp& Stamp() const { return mStamp; }
  /** @return the typed form, or null before any version is in force. */
  [[nodiscard]] const std::shared_ptr<const Manifest>& InForce() const
  {
    return mInForce;
  }
  [[nodiscard]] const ManifestEntries& Entries() const { return *mEntries; }
  /** @return the highest version that any peer or the store has named. */
  [[nodiscard]] uint64_t HighestKnownVersion() const { return mHighestKnown; }
  /** Notes a version that exists elsewhere. */
  void RecordKnownVersion(uint64_t aVersion);

private:
  using EntriesPtr = std::shared_ptr<const ManifestEntries>;

  struct Pull
  {
    PeerAddress mPeer;
    TimePoint mUntil{};
    TimePoint mContinueAt{}; ///< Next page of a whole transfer.
    bool mContinue = false;
    bool mWhole = false;
  };

  /** Part of a whole transfer received so far. */
  struct Partial
  {
    ManifestStamp mStamp;
    ManifestEntries mEntries;
    uint32_t mNext = 0;
  };

  /** Version that is being sent in pages; later versions do not disturb it. */
  struct Pinned
  {
    ManifestStamp mStamp;
    EntriesPtr mEntries;
    TimePoint mUntil{};
  };

  void HandleRumor(TimePoint aNow,
                   const Envelope& aFrom,
                   const ManifestRumor& aRumor,
                   PeerOutput& aOut);
  void HandlePull(TimePoint aNow,
                  const Envelope& aFrom,
                  const ManifestPull& aPull,
                  PeerOutput& aOut);
  void HandlePage(TimePoint aNow,
                  const Envelope& aFrom,
                  const ManifestPage& aPage,
                  PeerOutput& aOut);
  bool SendDeltas(const Envelope& aFrom,
                  const ManifestPull& aPull,
                  TimePoint aNow,
                  PeerOutput& aOut);
  void SendWhole(const Envelope& aFrom,
                 const ManifestPull& aPull,
                 TimePoint aNow,
                 PeerOutput& aOut);
  void StartPull(TimePoint aNow, const PeerAddress& aPeer, PeerOutput& aOut);
  void SendPull(TimePoint aNow, PeerOutput& aOut);
  bool Install(TimePoint aNow,
               const ManifestStamp& aStamp,
               EntriesPtr aEntries,
               const std::string& aSource,
               PeerOutput& aOut);
  void Refuse(TimePoint aNow,
              const ManifestStamp& aStamp,
              const std::string& aCause,
              const std::string& aSource,
              PeerOutput& aOut);
  void ReportFork(const ManifestStamp& aStamp,
                  const std::string& aSource,
                  PeerOutput& aOut);
  void Remember(const ManifestDelta& aDelta);
  bool SpendBytes(TimePoint aNow, size_t aBytes);

  Options mOptions;
  Rng mRng;
  ManifestStamp mStamp;
  EntriesPtr mEntries;
  std::shared_ptr<const Manifest> mInForce;
  std::deque<std::pair<ManifestDelta, size_t>> mDeltas; ///< With sizes.
  size_t mDeltaBytes = 0;
  uint64_t mHighestKnown = 0;
  ManifestStamp mRefused; ///< Not asked for before mRefusedUntil.
  TimePoint mRefusedUntil{};
  bool mWantWhole = false;   ///< A delta did not lead to its digest.
  std::set<uint64_t> mForks; ///< Digests already reported for mStamp.

  uint32_t mRumorsLeft = 0;
  TimePoint mNextRumor{};
  std::optional<Pull> mPull;
  std::optional<Partial> mPartial;
  std::deque<PeerAddress> mAhead; ///< Peers seen with a newer version.
  std::deque<Pinned> mPinned;
  double mBudget;
  TimePoint mBudgetAt{};
  TimePoint mSecond{};
  uint32_t mPagesInSecond = 0;
};

} // namespace amaranthgap
