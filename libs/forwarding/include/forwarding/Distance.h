#pragma once

#include <array>
#include <cstdint>

namespace amaranthgap {

/** How far a target is from its caller. */
enum class Distance : uint8_t
{
  SameDataCentre, ///< In the same data centre.
  SameRegion,     ///< In another data centre of the region.
  OtherRegion,    ///< In another region.
};

inline constexpr size_t kDistanceCount = 3;

/** Cost of a message to a target and back, in milliseconds of waiting: the
 * round trip, and what bytes on that way are worth. Links between regions are
 * slow and billed by volume, those within a region are billed as well.
 * @param aKilobytes of request and answer. */
constexpr double
DistanceCost(Distance aDistance, double aKilobytes)
{
  constexpr std::array<double, kDistanceCount> kRoundTripMillis{ 0, 2, 40 };
  constexpr std::array<double, kDistanceCount> kKilobyteMillis{ 0, 25, 100 };
  const auto at = size_t(aDistance);
  return kRoundTripMillis[at] + aKilobytes * kKilobyteMillis[at];
}

} // namespace amaranthgap
