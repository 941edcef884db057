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

/** Holds the manifest in force on one node and propagates new versions between
 * nodes by rumors and pulls; see section 8.9 of the design page. Not
 * thread-safe. */
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
    /** Largest delta in bytes that a rumor carries; the rest of a datagram of
     * 1,200 bytes is for the envelope. */
    size_t mMaxRumorDeltaBytes = 960;
    /** Largest content of a page in bytes. */
    size_t mMaxPageBytes = size_t{ 48 } * 1024;

    // Mechanisms that tests disable to show that each is needed.
    bool mRumors = true;
    bool mPulls = true;
    bool mCheckVersion = true;
    bool mCheckDigest = true;
  };

  explicit ManifestReplica(Options aOptions);

  // -- Newer versions --

  /** Applies, in order, the deltas that start from the version in force or from
   * version 0; skips the others. A wrong digest rejects all of them, and later
   * pulls ask for the full manifest.
   * @return whether a newer version came into force. */
  bool ApplyDeltas(TimePoint aNow,
                   const std::vector<ManifestDelta>& aDeltas,
                   const std::string& aSource,
                   PeerOutput& aOut);
  /** Replaces the manifest by the full content of a newer version.
   * @return whether that version came into force. */
  bool ApplyFullManifest(TimePoint aNow,
                         const ManifestStamp& aStamp,
                         ManifestEntries aEntries,
                         const std::string& aSource,
                         PeerOutput& aOut);
  /** Handles the stamp that a peer has in force: pulls a newer version and
   * reports a fork if the same version has a different digest. */
  void HandlePeerStamp(TimePoint aNow,
                       const ManifestStamp& aStamp,
                       const PeerAddress& aPeer,
                       PeerOutput& aOut);

  // -- Events --

  /** Handles rumors, pulls and pages; ignores other messages. */
  void MessageArrived(TimePoint aNow,
                      const Envelope& aEnvelope,
                      PeerOutput& aOut);
  void Tick(TimePoint aNow, const PeerPicker& aPick, PeerOutput& aOut);

  // -- State --

  [[nodiscard]] const ManifestStamp& Stamp() const { return mStamp; }
  /** @return the parsed manifest in force, or null if there is none yet. */
  [[nodiscard]] const std::shared_ptr<const Manifest>& InForce() const
  {
    return mInForce;
  }
  [[nodiscard]] const ManifestEntries& Entries() const { return *mEntries; }
  /** @return the highest version reported by any peer or the store. */
  [[nodiscard]] uint64_t HighestKnownVersion() const { return mHighestKnown; }
  /** Records a version that a peer or the store reports. */
  void RecordKnownVersion(uint64_t aVersion);

private:
  using EntriesPtr = std::shared_ptr<const ManifestEntries>;

  /** Pull in progress from one peer. */
  struct Pull
  {
    PeerAddress mPeer;
    TimePoint mExpiresAt{};
    TimePoint mNextPageAt{}; ///< When to request the next page.
    bool mHasNextPage = false;
    bool mIsFull = false; ///< Transfers the full manifest in pages.
  };

  /** Entries of a full transfer received so far. */
  struct PartialTransfer
  {
    ManifestStamp mStamp;
    ManifestEntries mEntries;
    uint32_t mNext = 0; ///< Index of the next entry.
  };

  /** Version that is being sent in pages. It is kept while it is sent, even if
   * a newer version comes into force. */
  struct Pinned
  {
    ManifestStamp mStamp;
    EntriesPtr mEntries;
    TimePoint mExpiresAt{};
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
  void SendFullPage(const Envelope& aFrom,
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
  /** Keeps a delta for peers that lag behind, within the limits. */
  void KeepDelta(const ManifestDelta& aDelta);
  /** Charges a page to the budget. @return whether it may be sent. */
  bool SpendBytes(TimePoint aNow, size_t aBytes);

  Options mOptions;
  Rng mRng;
  ManifestStamp mStamp;
  EntriesPtr mEntries;
  std::shared_ptr<const Manifest> mInForce;
  /** Kept deltas with their packed sizes in bytes. */
  std::deque<std::pair<ManifestDelta, size_t>> mDeltas;
  size_t mDeltaBytes = 0;
  uint64_t mHighestKnown = 0;
  ManifestStamp mRefused; ///< Not pulled again before mRefusedUntil.
  TimePoint mRefusedUntil{};
  bool mNeedsFullManifest = false;   ///< A delta had the wrong digest.
  std::set<uint64_t> mReportedForks; ///< Digests reported for mStamp.

  uint32_t mRumorRoundsLeft = 0;
  TimePoint mNextRumorAt{};
  std::optional<Pull> mPull;
  std::optional<PartialTransfer> mPartialTransfer;
  std::deque<PeerAddress> mNewerPeers; ///< Peers with a newer version.
  std::deque<Pinned> mPinned;
  double mBudgetBytes;
  TimePoint mBudgetUpdatedAt{};
  TimePoint mPageWindowStart{};
  uint32_t mPagesInWindow = 0;
};

} // namespace amaranthgap
