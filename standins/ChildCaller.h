#pragma once

#include <string>
#include <vector>

#include <httplib.h>

#include "UpstreamOptions.h"

namespace amaranthgap {

/** Makes the child calls of one request through the node's local port. */
class ChildCaller
{
public:
  struct Outcome
  {
    bool mIsSuccess = true;
    int mStatus = 200; ///< Of the first child call that failed.
    std::string mOutcome;
    std::string mReason;
    std::string mRetryAfterMs;
  };

  ChildCaller(std::string aNode, std::vector<ChildCall> aChildren)
    : mNode(std::move(aNode))
    , mChildren(std::move(aChildren))
  {
  }

  [[nodiscard]] bool IsEmpty() const { return mChildren.empty(); }
  /** Calls one kind of child after the other, and the copies of one kind in
   * parallel. Stops at the first failure. */
  Outcome CallAll(const httplib::Request& aParent) const;

private:
  Outcome CallOne(const httplib::Request& aParent,
                  const ChildCall& aChild,
                  const std::string& aKey) const;
  Outcome CallCopies(const httplib::Request& aParent,
                     const ChildCall& aChild,
                     size_t aIndex) const;

  std::string mNode;
  std::vector<ChildCall> mChildren;
};

} // namespace amaranthgap
