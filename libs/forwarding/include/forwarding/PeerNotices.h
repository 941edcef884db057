#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/Time.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** What the upstreams beside other nodes have told of themselves, by node. A
 * node that restarts has forgotten what its upstream told; its peers return it
 * with the first message on their next connection, ahead of any request. Not
 * thread-safe. */
class PeerNotices
{
public:
  /** Takes what a node passed on from its upstream. */
  void Record(TimePoint aNow,
              const std::string& aNode,
              const UpstreamNotice& aNotice);
  /** The upstream has answered and told nothing. */
  void Clear(const std::string& aNode) { mByNode.erase(aNode); }
  /** @return what the upstream beside a node told, or nothing if that is
   * unknown or outdated. */
  [[nodiscard]] std::optional<UpstreamNotice> Find(
    TimePoint aNow,
    const std::string& aNode) const;
  /** Removes what is outdated. */
  void Expire(TimePoint aNow);

private:
  struct Entry
  {
    UpstreamNotice mNotice;
    TimePoint mTime{};
  };

  [[nodiscard]] static bool IsOutdated(TimePoint aNow, const Entry& aEntry);

  std::map<std::string, Entry> mByNode;
};

} // namespace amaranthgap
