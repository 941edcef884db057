#pragma once

#include <array>
#include <cstdint>

namespace amaranthgap {

/** Network distance between a caller and a target. */
enum class Distance : uint8_t
{
  SameDataCentre, ///< In the same data centre.
  SameRegion,     ///< In another data centre of the same region.
  OtherRegion,    ///< In another region.
};

inline constexpr size_t kDistanceCount = 3;

/** Cost of a request to a target and its answer, in milliseconds of waiting
 * time: the round trip, plus the billed traffic converted to waiting time.
 * Links between regions are slow and billed by volume; links within a region
 * are billed as well.
 * @param aKilobytes total size of request and answer. */
constexpr double
DistanceCost(Distance aDistance, double aKilobytes)
{
  constexpr std::array<double, kDistanceCount> kRoundTripMillis{ 0, 2, 40 };
  constexpr std::array<double, kDistanceCount> kKilobyteMillis{ 0, 25, 100 };
  const auto at = size_t(aDistance);
  return kRoundTripMillis[at] + aKilobytes * kKilobyteMillis[at];
}

} // namespace amaranthgap
