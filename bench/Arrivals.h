#pragma once

#include <cstdint>
#include <vector>

#include "LoadSpec.h"
#include "base/Time.h"

namespace amaranthgap {

/** One request with its intended start. */
struct Arrival
{
  Duration mAt{};
  size_t mStream = 0;
};

/** @return Poisson arrivals of all streams in order, fixed by the seed. They
 * do not depend on answers, so that a slow system is not offered less. */
std::vector<Arrival>
MakeArrivals(const LoadSpec& aSpec);

} // namespace amaranthgap
