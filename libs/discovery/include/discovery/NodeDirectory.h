#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** @return whether a node can be there: its address can be connected to, and
 * its start is not later than every clock. Entries may be of other writers. */
bool
IsUsable(const NodeAddress& aAddress);

/** The other nodes that this node knows of, and those it keeps a connection to.
 *
 * Nodes of the own data centre and region carry most requests; a few of each
 * service in every other region take over when the own region cannot. The
 * number of connections is bounded by the services and places, not by the
 * nodes. They are chosen by a hash of
 * both node names, so that the load of many callers spreads over the targets.
 * Not thread-safe. */
class NodeDirectory
{
public:
  struct Options
  {
    std::string mNode;
    std::string mDataCentre;
    std::string mRegion;
    /** Most connected nodes of one service in the own data centre, in each
     * other data centre of the own region, and in each other region. */
    size_t mMostInDataCentre = 16;
    size_t mMostInRegion = 8;
    size_t mMostInOtherRegion = 2;
  };

  explicit NodeDirectory(Options aOptions);

  /** Takes the address of a node from the store or from another node.
   * @return whether it is new, or a newer run of a known node. */
  bool Learn(TimePoint aNow, const NodeAddress& aAddress);
  /** Records the state that a connected node has sent. */
  void Connected(const NodeState& aState);
  /** Records that the connection to a node ended or could not be opened. */
  void Lost(TimePoint aNow, const std::string& aNode);
  /** Drops nodes that had no connection for too long. They are learned again
   * from the store or when they connect. */
  void Forget(TimePoint aNow);

  /** @return the nodes to be connected to. */
  [[nodiscard]] std::vector<NodeAddress> Links(TimePoint aNow) const;
  /** @return all nodes known. */
  [[nodiscard]] std::vector<NodeAddress> All() const;
  /** @return the data centre of a node; empty if it is not known. */
  [[nodiscard]] const std::string& DataCentreOf(const std::string& aNode) const;
  [[nodiscard]] size_t Size() const { return mEntries.size(); }
  /** @return whether another node of the own region is known. */
  [[nodiscard]] bool KnowsRegion() const;

private:
  struct Entry
  {
    NodeAddress mAddress;
    uint64_t mWeight = 0; ///< Low weights are chosen first.
    bool mIsConnected = false;
    TimePoint mKnownSince{};
    std::optional<TimePoint> mLostSince; ///< First failure since connected.
  };

  [[nodiscard]] bool IsUnreachable(TimePoint aNow, const Entry& aEntry) const;
  [[nodiscard]] size_t MostOf(const Entry& aEntry) const;

  Options mOptions;
  std::map<std::string, Entry> mEntries; ///< By node.
};

} // namespace amaranthgap
