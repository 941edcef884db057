#include "forwarding/CallKindStats.h"

namespace amaranthgap {

namespace {

// Weight of one run in the mean run time and in the failure share. While most
// runs fail, few requests are sent, so a success has a higher weight.
constexpr double kRunWeight = 0.05;
constexpr double kFailureWeight = 0.05;
constexpr double kHighFailureShare = 0.5;
constexpr double kRecoveryWeight = 0.15;
constexpr double kMillisPerSecond = 1000;

} // namespace

void
CallKindStats::Ended(const CallKind& aKind, Duration aRun, bool aIsSuccess)
{
  Record& record = mRecords[aKind];
  const double failed = aIsSuccess ? 0 : 1;
  const bool recovers = aIsSuccess && record.mFailedShare > kHighFailureShare;
  record.mFailedShare += (recovers ? kRecoveryWeight : kFailureWeight) *
                         (failed - record.mFailedShare);
  if (aIsSuccess) {
    const double run = ToSeconds(aRun) * kMillisPerSecond;
    const double weight = record.mRunMillis > 0 ? kRunWeight : 1;
    record.mRunMillis += weight * (run - record.mRunMillis);
  }
}

CallKindStats::Record
CallKindStats::Find(const CallKind& aKind) const
{
  const auto it = mRecords.find(aKind);
  return it == mRecords.end() ? Record{} : it->second;
}

std::vector<CallKind>
CallKindStats::Kinds() const
{
  std::vector<CallKind> out;
  for (const auto& [kind, record] : mRecords) {
    out.push_back(kind);
  }
  return out;
}

} // namespace amaranthgap
