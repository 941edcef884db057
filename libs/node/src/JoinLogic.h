#pragma once

#include <set>
#include <string>
#include <vector>

#include "SeedList.h"
#include "StoreCalls.h"
#include "membership/Membership.h"

namespace amaranthgap {

/** Finds members to join through, in the static peers and in the seeds of the
 * store, and keeps the seeds up to date. Not safe for use by several threads.
 */
class JoinLogic
{
public:
  struct Options
  {
    std::string mDataCentre;
    std::string mAddress;
    std::vector<std::string> mStaticPeers;
    bool mHasStore = true;
    uint64_t mSeed = 1;
  };

  explicit JoinLogic(Options aOptions);

  /** @param aWatcher whether this node watches the store, and with it the
   * seeds of its data centre. */
  void Tick(TimePoint aNow,
            Membership& aMembership,
            StoreCalls& aStore,
            bool aWatcher,
            PeerOutput& aOut,
            Actions& aActions);
  void SeedsRead(TimePoint aNow,
                 const StoreAnswer& aAnswer,
                 const Membership& aMembership,
                 StoreCalls& aStore,
                 Actions& aActions);
  void SeedsWritten(TimePoint aNow, const StoreAnswer& aAnswer);

  /** @return whether the member list is known, or no other member exists. */
  [[nodiscard]] bool IsOver() const { return mOver; }

private:
  /** Keys of the store that are used in turn: the seeds of the own data
   * centre, then those of the whole fleet. */
  enum class Scope : uint8_t
  {
    DataCentre,
    Fleet,
  };

  struct Known
  {
    bool mRead = false;
    uint64_t mRevision = 0;
    SeedList mSeeds;
  };

  [[nodiscard]] std::string Key() const;
  [[nodiscard]] Known& Current() { return mKnown[size_t(mScope)]; }
  [[nodiscard]] std::vector<std::string> Candidates() const;
  void Contact(TimePoint aNow, Membership& aMembership, PeerOutput& aOut);
  void CheckOver(TimePoint aNow,
                 const Membership& aMembership,
                 const StoreCalls& aStore,
                 PeerOutput& aOut);
  /** Nodes of another island, which joined when no seed was reachable, are
   * known only from the seeds. */
  void FindUnknown(const SeedList& aSeeds, const Membership& aMembership);
  void Write(TimePoint aNow,
             const Membership& aMembership,
             StoreCalls& aStore,
             Actions& aActions);
  [[nodiscard]] Duration RefreshPause(const Membership& aMembership) const;
  void NextScope(TimePoint aNow, Duration aPause);

  Options mOptions;
  Rng mRng;
  bool mStarted = false;
  bool mOver = false;
  bool mReported = false;
  Scope mScope = Scope::DataCentre;
  Known mKnown[2];
  std::vector<std::string> mUnknown; ///< To be contacted.
  bool mSeenEmpty = false;
  uint32_t mUnanswered = 0; ///< Rounds of contacts without any answer.
  TimePoint mStart{};
  TimePoint mContactSince{}; ///< Time of the first answer.
  TimePoint mNextContact{};
  TimePoint mNextRead{};
};

} // namespace amaranthgap
