#include "node/Journal.h"

namespace amaranthgap {

void
Journal::Take(TimePoint aNow, Effects& aEffects)
{
  for (const auto& [name, suffix] : aEffects.mCounts) {
    std::string key{ name };
    key += suffix;
    ++mCounters[key];
  }
  for (RequestStep& step : aEffects.mSteps) {
    mRecords.push_back({ .mTime = aNow, .mStep = std::move(step) });
  }
  while (mRecords.size() > mOptions.mSteps) {
    mRecords.pop_front();
  }
}

std::vector<ExplainStep>
Journal::Explain(const RequestId& aRequest) const
{
  std::vector<ExplainStep> steps;
  for (const Record& record : mRecords) {
    if (record.mStep.mRequest != aRequest) {
      continue;
    }
    steps.push_back({ .mWallMillis = ToMillis(record.mTime.time_since_epoch() +
                                              mOptions.mWallOffset),
                      .mRole = std::string(record.mStep.mRole),
                      .mEvent = std::string(record.mStep.mEvent),
                      .mPeer = record.mStep.mPeer,
                      .mDetail = record.mStep.mDetail });
  }
  return steps;
}

} // namespace amaranthgap
