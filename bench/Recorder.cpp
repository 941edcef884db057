#include "Recorder.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

constexpr Duration kTimelineStep = milliseconds(100);

nlohmann::json
Percentiles(std::vector<double> aValues)
{
  nlohmann::json out = { { "count", aValues.size() } };
  if (aValues.empty()) {
    return out;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto at = [&](double aShare) {
    return aValues[std::min(aValues.size() - 1,
                            size_t(aShare * double(aValues.size())))];
  };
  out["p50"] = at(0.5);
  out["p90"] = at(0.9);
  out["p99"] = at(0.99);
  out["p999"] = at(0.999);
  out["max"] = aValues.back();
  return out;
}

void
CountAt(std::vector<uint64_t>& aTimeline, Duration aAt)
{
  const auto slot = size_t(std::max<int64_t>(0, aAt / kTimelineStep));
  if (aTimeline.size() <= slot) {
    aTimeline.resize(slot + 1, 0);
  }
  ++aTimeline[slot];
}

} // namespace

void
Recorder::Offered(size_t aStream, Duration aAt)
{
  CountAt(mOfferedTimeline, aAt);
  if (ToSeconds(aAt) < mSpec.mMeasureFrom) {
    return;
  }
  const LoadStream& stream = mSpec.mStreams[aStream];
  ++mTotal.mOffered;
  ++mByStream[stream.mName].mOffered;
  ++mByCaller[stream.mCaller].mOffered;
}

void
Recorder::Answered(const std::string& aReason, int aStatus)
{
  ++mReasons[aReason.empty() ? "none" : aReason];
  ++mStatuses[std::to_string(aStatus)];
}

void
Recorder::Add(Group& aGroup,
              RequestEnd aOutcome,
              uint32_t aTries,
              double aLatencyMs)
{
  ++aGroup.mEnds[std::string(ToName(aOutcome))];
  aGroup.mTries += aTries;
  if (aOutcome == RequestEnd::Ok) {
    aGroup.mLatencies.push_back(aLatencyMs);
  }
}

void
Recorder::Ended(size_t aStream,
                Duration aStart,
                Duration aEnd,
                RequestEnd aOutcome,
                uint32_t aTries,
                const std::string& aId)
{
  if (aOutcome == RequestEnd::Ok) {
    CountAt(mOkTimeline, aEnd);
    CountAt(mOkByStart, aStart);
  }
  mIds += fmt::format("{} {}\n", aId, ToName(aOutcome));
  if (ToSeconds(aStart) < mSpec.mMeasureFrom) {
    return;
  }
  const LoadStream& stream = mSpec.mStreams[aStream];
  const double latency = ToSeconds(aEnd - aStart) * 1e3;
  Add(mTotal, aOutcome, aTries, latency);
  Add(mByStream[stream.mName], aOutcome, aTries, latency);
  Add(mByCaller[stream.mCaller], aOutcome, aTries, latency);
}

nlohmann::json
Recorder::GroupJson(const Group& aGroup) const
{
  const auto it = aGroup.mEnds.find("ok");
  const uint64_t ok = it == aGroup.mEnds.end() ? 0 : it->second;
  return { { "offered", aGroup.mOffered },
           { "ok", ok },
           { "goodput_per_s",
             double(ok) / (mSpec.mDuration - mSpec.mMeasureFrom) },
           { "success_rate",
             aGroup.mOffered > 0 ? double(ok) / double(aGroup.mOffered) : 0 },
           { "ends", aGroup.mEnds },
           { "client_tries", aGroup.mTries },
           { "latency_ms", Percentiles(aGroup.mLatencies) } };
}

double
Recorder::Jain() const
{
  std::set<std::string> callers;
  for (const LoadStream& stream : mSpec.mStreams) {
    if (stream.mIsInJain) {
      callers.insert(stream.mCaller);
    }
  }
  double sum = 0;
  double squares = 0;
  for (const std::string& caller : callers) {
    const auto group = mByCaller.find(caller);
    if (group != mByCaller.end()) {
      const auto ok = double(group->second.mLatencies.size());
      sum += ok;
      squares += ok * ok;
    }
  }
  return squares > 0 ? sum * sum / (double(callers.size()) * squares) : 0;
}

nlohmann::json
Recorder::ToJson() const
{
  nlohmann::json out = GroupJson(mTotal);
  out["seed"] = mSpec.mSeed;
  out["duration_s"] = mSpec.mDuration;
  out["measure_from_s"] = mSpec.mMeasureFrom;
  out["retry"] = ToName(mSpec.mRetry);
  out["reasons"] = mReasons;
  out["statuses"] = mStatuses;
  out["timeline_step_ms"] = ToMillis(kTimelineStep);
  out["ok_timeline"] = mOkTimeline;
  out["ok_by_start_timeline"] = mOkByStart;
  out["offered_timeline"] = mOfferedTimeline;
  out["client_lateness_ms"] = Percentiles(mLateness);
  out["jain"] = Jain();
  for (const auto& [name, group] : mByStream) {
    out["by_class"][name] = GroupJson(group);
  }
  for (const auto& [name, group] : mByCaller) {
    out["by_caller"][name] = GroupJson(group);
  }
  return out;
}

} // namespace amaranthgap
