#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/Rng.h"
#include "base/Time.h"

namespace amaranthgap {

/** Decides which node to ask for newer routes, and asks another one if it does
 * not answer. Not thread-safe. */
class RoutesFetch
{
public:
  explicit RoutesFetch(uint64_t aSeed);

  /** Records the version that a node holds.
   * @param aIsNear whether it is in the own data centre, where large documents
   * cost nothing. */
  void RecordVersion(TimePoint aNow,
                     const std::string& aNode,
                     bool aIsNear,
                     uint64_t aVersion);
  void Lost(const std::string& aNode) { mHolders.erase(aNode); }

  /** @param aHave version in force; 0 without any.
   * @param aWatchesStore whether this node watches the store and is going to
   * read the routes there soon.
   * @return the node to ask now, if any. */
  std::optional<std::string> Next(TimePoint aNow,
                                  uint64_t aHave,
                                  bool aWatchesStore);

private:
  struct Holder
  {
    bool mIsNear = false;
    uint64_t mVersion = 0;
    TimePoint mToldAt{};
    uint32_t mAsked = 0; ///< Times it was asked for this version.
  };

  Rng mRng;
  std::map<std::string, Holder> mHolders; ///< By node.
  TimePoint mNextAsk{};
};

} // namespace amaranthgap
