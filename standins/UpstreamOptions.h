#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthgap {

/** One kind of child call that each request makes. */
struct ChildCall
{
  std::string mService;
  std::string mRequestClass;
  uint32_t mCount = 1; ///< Copies sent in parallel.
  bool mKeyed = false; ///< Sends an Idempotency-Key of its own.

  /** Parses `service:class[:count[:once]]`. */
  static std::optional<ChildCall> Parse(const std::string& aText);
};

struct UpstreamOptions
{
  std::string mService;
  std::string mListen;
  std::string mControl;
  std::string mNode; ///< Local port of the node; empty: no announcements.
  uint32_t mSlots = 8;
  uint32_t mAnnouncedSlots = 0; ///< 0: the true number.
  uint32_t mMaxQueue = 1024;    ///< Sheds with 503 beyond.
  double mServiceMs = 10;
  bool mIsExponential = false;
  uint64_t mSeed = 1;
  std::vector<ChildCall> mChildren;
  uint32_t mWarmUpMs = 0; ///< As announced.
  uint32_t mColdMs = 0;   ///< Service times fall from mColdFactor to 1.
  double mColdFactor = 4;
  uint32_t mAnswerBytes = 64;
  std::string mCrashMark; ///< Body that ends the process.
  uint32_t mDrainMs = 10'000;
  double mLoadFactor = 1; ///< Factor of the reported load.
  uint32_t mLoadLagMs = 0;
  std::string mHealth = "true"; ///< `true`, `always-up` or `always-down`.
};

} // namespace amaranthgap
