#include "Arrivals.h"

#include <algorithm>
#include <cmath>

#include "base/Rng.h"

namespace amaranthgap {

std::vector<Arrival>
MakeArrivals(const LoadSpec& aSpec)
{
  std::vector<Arrival> out;
  for (size_t n = 0; n < aSpec.mStreams.size(); ++n) {
    const LoadStream& stream = aSpec.mStreams[n];
    Rng rng(aSpec.mSeed * 1'000'003 + n);
    double at = stream.mFrom;
    while (true) {
      at -= std::log(1 - rng.Uniform()) / stream.mRate;
      if (at >= std::min(stream.mTo, aSpec.mDuration)) {
        break;
      }
      out.push_back({ FromSeconds(at), n });
    }
  }
  std::sort(
    out.begin(), out.end(), [](const Arrival& aLeft, const Arrival& aRight) {
      return aLeft.mAt < aRight.mAt;
    });
  return out;
}

} // namespace amaranthgap
