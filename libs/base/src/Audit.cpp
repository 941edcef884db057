#include "base/Audit.h"

#include <algorithm>

namespace amaranthgap {

void
AuditTrail::Add(int64_t aWallMillis, AuditEntry aEntry)
{
  if (mRecords.size() == mCapacity) {
    mRecords.pop_front();
  }
  mRecords.push_back({ ++mLastNumber, aWallMillis, std::move(aEntry) });
}

std::vector<AuditRecord>
AuditTrail::Since(uint64_t aAfter) const
{
  const auto first =
    std::find_if(mRecords.begin(), mRecords.end(), [&](const auto& aRecord) {
      return aRecord.mNumber > aAfter;
    });
  return { first, mRecords.end() };
}

} // namespace amaranthgap
