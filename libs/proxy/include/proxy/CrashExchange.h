#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Logger.h"
#include "base/Rng.h"
#include "quarantine/CrashEvidence.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** @return fingerprints of a request. Its content is host name, method, path
 * with query, and body; its resource is host name, decoded path and body. */
[[nodiscard]] RequestFingerprints
FingerprintsOf(const ForwardRequest& aRequest);

/** Keeps the evidence about requests that crash upstreams, and exchanges it
 * with other nodes: all of it with the nodes of the same service, and what is
 * quarantined with every node, so that a node that restarts gets it back from
 * any other. Not thread-safe. */
class CrashExchange
{
public:
  /** Node at the other end of a connection. */
  struct Peer
  {
    std::string_view mNode;
    std::string_view mService;
    std::string_view mRegion;
  };

  using PeerFilter = std::function<bool(const Peer&)>;

  struct Outlets
  {
    /** Sends a notice to each connected node that the filter selects. */
    std::function<void(const CrashNotice&, const PeerFilter&)> mSend;
    /** Keeps quarantines that this node has imposed or ended in the store. */
    std::function<void(TimePoint, const CrashNotice&)> mKeep;
    /** Asks for the quarantines in the store, which nodes may have imposed that
     * this one has no connection to.
     * @param aIsUrgent whether a request is close to its quarantine. */
    std::function<void(bool aIsUrgent)> mReadKept;
  };

  struct Options
  {
    std::string mNode;
    std::string mRegion;
    std::string mService; ///< Of the upstream beside this node.
    uint64_t mSeed = 1;
  };

  CrashExchange(Logger& aLogger, Options aOptions, Outlets aOutlets);

  void SetService(const std::string& aService) { mOptions.mService = aService; }

  [[nodiscard]] const CrashEvidence& Evidence() const { return mEvidence; }
  /** @return the time for which such a request is refused; zero if it is not.
   */
  [[nodiscard]] Duration QuarantineLeft(TimePoint aNow,
                                        const ForwardRequest& aRequest) const;
  /** @return the number of crashes of the upstream beside this node. */
  [[nodiscard]] uint64_t CrashCount() const { return mCrashCount; }

  /** Takes a crash of the upstream beside this node. */
  void Crashed(TimePoint aNow, const std::vector<InFlightRequest>& aInFlight);
  /** Takes an answer of the upstream beside this node. */
  void Completed(TimePoint aNow, const RequestFingerprints& aFingerprints);
  /** Takes a notice of another node. */
  void Received(TimePoint aNow, const Peer& aFrom, const CrashNotice& aNotice);
  /** Takes quarantines that were in the store. */
  void ReadKept(TimePoint aNow, const CrashNotice& aNotice);
  /** @return what a node that has just connected has to know. */
  [[nodiscard]] std::vector<CrashNotice> NoticesFor(TimePoint aNow,
                                                    const Peer& aPeer) const;
  /** Removes what is outdated. */
  void Expire(TimePoint aNow);

private:
  /** Passes on what this node has learnt.
   * @param aFromRegion region of the node that told it; empty if it was learnt
   * from the upstream beside this node. */
  void Tell(const CrashNotice& aNews, std::string_view aFromRegion);
  /** @return what is, or was, quarantined. */
  [[nodiscard]] static CrashNotice Verdicts(const CrashNotice& aNews);
  void Log(TimePoint aNow, const CrashNotice& aNews, std::string_view aSource);

  Logger& mLogger;
  Options mOptions;
  Outlets mOutlets;
  Rng mRng;
  CrashEvidence mEvidence{ CrashEvidence::Options{} };
  uint64_t mCrashCount = 0;
};

} // namespace amaranthgap
