#pragma once

#include <array>
#include <cstdint>

namespace amaranthgap {

/** How far a target is from its caller. */
enum class Distance : uint8_t
{
  Here,   ///< In the same data centre.
  Region, ///< In another data centre of the region.
  Far,    ///< In another region.
};

inline constexpr size_t kDistances = 3;

/** Cost of a message to a target and back, in milliseconds of waiting: the
 * round trip, and what bytes on that way are worth. Links between regions are
 * slow and billed by volume, those within a region are billed as well.
 * @param aKilobytes of request and answer. */
constexpr double
DistanceCost(Distance aDistance, double aKilobytes)
{
  constexpr std::array<double, kDistances> kRoundTripMillis{ 0, 2, 40 };
  constexpr std::array<double, kDistances> kKilobyteMillis{ 0, 25, 100 };
  const auto at = size_t(aDistance);
  return kRoundTripMillis[at] + aKilobytes * kKilobyteMillis[at];
}

} // namespace amaranthgap
