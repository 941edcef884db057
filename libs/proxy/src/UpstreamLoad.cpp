// Load of an UpstreamSide: what it tells the entry nodes, and its log lines.

#include "proxy/UpstreamSide.h"

#include <array>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr Duration kLogInterval = seconds(1);

} // namespace

void
UpstreamSide::NoteLoadBelow(TimePoint aNow,
                            const CallKind& aParent,
                            const TreeLoad& aLoad)
{
  mLoadsBelow[aParent].Note(aNow, aLoad);
}

TreeLoad
UpstreamSide::LoadOf(TimePoint aNow, const CallKind& aKind)
{
  TreeLoad out = mPlan.Load(aNow, aKind.mPriority);
  if (const auto it = mLoadsBelow.find(aKind); it != mLoadsBelow.end()) {
    out = TreeLoad::MostRestrictive(out, it->second.Value(aNow));
  }
  out.mFailureRatio = mKinds.Find(aKind).mFailedShare;
  return out;
}

GateLoad
UpstreamSide::Load(TimePoint aNow, const ForwardRequest& aRequest)
{
  const CallKind kind = KindOf(aRequest);
  const TreeLoad tree = LoadOf(aNow, kind);
  const Duration wait =
    mGate.EstimateWait(aNow, aRequest.mPriority, aRequest.mIsNested);
  return { .mRunning = mGate.Running(),
           .mWaiting = uint32_t(mGate.Waiting()),
           .mLimit = mGate.UsableSlots(),
           .mWaitMs = uint32_t(ToMillis(wait)),
           .mRunMs = uint32_t(mKinds.Find(kind).mRunMillis),
           .mShare = uint32_t(tree.mShare * kThousandths),
           .mDemand = uint32_t(tree.mDemand * kThousandths),
           .mFailed = uint32_t(tree.mFailureRatio * kThousandths) };
}

LoadReport
UpstreamSide::Report(TimePoint aNow)
{
  LoadReport out;
  for (const CallKind& kind : mFirstKinds) {
    const TreeLoad load = LoadOf(aNow, kind);
    if (load.NeedsReport()) {
      out.mKinds.push_back(
        { .mRoute = kind.mRoute,
          .mShare = uint32_t(load.mShare * kThousandths),
          .mDemand = uint32_t(load.mDemand * kThousandths),
          .mFailed = uint32_t(load.mFailureRatio * kThousandths),
          .mPriority = kind.mPriority });
    }
  }
  return out;
}

void
UpstreamSide::LogRate(TimePoint aNow)
{
  if (aNow - mRateLogged < kLogInterval) {
    return;
  }
  if (const auto rate = RateLimit()) {
    mLogger.Write(aNow,
                  LogLevel::Info,
                  "upstream-limited",
                  { { "instance", Instance() },
                    { "limit_per_s", fmt::format("{:.2f}", *rate) },
                    { "sent", std::to_string(mSentCount - mSentAtRateLog) },
                    { "running", std::to_string(mGate.Running()) },
                    { "waiting", std::to_string(mGate.Waiting()) } });
  }
  mRateLogged = aNow;
  mSentAtRateLog = mSentCount;
}

void
UpstreamSide::LogOverload(TimePoint aNow)
{
  if (aNow - mOverloadLogged < kLogInterval) {
    return;
  }
  std::vector<LogField> fields{ { "instance", Instance() },
                                { "running", std::to_string(mGate.Running()) },
                                { "waiting", std::to_string(mGate.Waiting()) },
                                { "limit", std::to_string(mGate.Limit()) } };
  struct Names
  {
    std::string_view mShare;
    std::string_view mDemand;
    std::string_view mArriving;
  };
  constexpr std::array<Names, 3> kNames{ {
    { "share_0", "demand_0", "arriving_0" },
    { "share_1", "demand_1", "arriving_1" },
    { "share_2", "demand_2", "arriving_2" },
  } };
  bool isOverloaded = false;
  for (uint32_t priority = 0; priority < kNames.size(); ++priority) {
    const Names& names = kNames[priority];
    const TreeLoad load = mPlan.Load(aNow, priority);
    isOverloaded |= load.mShare < 1;
    fields.push_back({ names.mShare, fmt::format("{:.2f}", load.mShare) });
    fields.push_back({ names.mDemand, fmt::format("{:.2f}", load.mDemand) });
    fields.push_back(
      { names.mArriving,
        fmt::format("{:.1f}", mPlan.AdmittedDemand(aNow, priority)) });
  }
  if (isOverloaded) {
    mOverloadLogged = aNow;
    mLogger.Write(aNow, LogLevel::Info, "upstream-overloaded", fields);
  }
}

} // namespace amaranthgap
