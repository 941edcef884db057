#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "node/Effects.h"
#include "node/NodeLogic.h"

namespace amaranthgap {

/** Counters of a node, and a bounded memory of what happened to requests.
 * Not safe for use by several threads. */
class Journal
{
public:
  struct Options
  {
    size_t mSteps = 20'000;
    Duration mWallOffset{};
  };

  explicit Journal(const Options& aOptions)
    : mOptions(aOptions)
  {
  }

  void Take(TimePoint aNow, Effects& aEffects);
  void Count(std::string_view aName) { ++mCounters[std::string(aName)]; }

  [[nodiscard]] std::vector<ExplainStep> Explain(
    const RequestId& aRequest) const;
  [[nodiscard]] const std::map<std::string, uint64_t>& Counters() const
  {
    return mCounters;
  }

private:
  struct Record
  {
    TimePoint mTime;
    RequestStep mStep;
  };

  Options mOptions;
  std::map<std::string, uint64_t> mCounters;
  std::deque<Record> mRecords;
};

} // namespace amaranthgap
