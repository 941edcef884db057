#pragma once

#include <cstdint>
#include <random>

namespace amaranthgap {

/** Seeded random generator, passed to every decision that draws at random.
 * Not safe for use by several threads. */
class Rng
{
public:
  explicit Rng(uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  uint64_t Next() { return mEngine(); }

  /** @return a number in [0, 1). */
  double Uniform() { return double(mEngine() >> 11) * 0x1.0p-53; }

  /** @return a number in [aLow, aHigh). */
  double Uniform(double aLow, double aHigh)
  {
    return aLow + (aHigh - aLow) * Uniform();
  }

  /** @return a number below aBound; 0 when aBound is 0. */
  uint64_t Below(uint64_t aBound) { return aBound ? mEngine() % aBound : 0; }

private:
  std::mt19937_64 mEngine;
};

} // namespace amaranthgap
