#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

#include "config/Manifest.h"

namespace amaranthgap {

/** Declaration of one fleet limit: key in the TOML table `limits` and in the
 * flat form, member, and the range outside of which a value is refused.
 * Durations are given in milliseconds. */
struct LimitField
{
  using Member = std::variant<uint32_t FleetLimits::*,
                              double FleetLimits::*,
                              Duration FleetLimits::*>;

  std::string_view mKey;
  Member mMember;
  double mLow = 0;
  double mHigh = 0;
};

// A call with its headers has to fit into one inner message of 1 MB.
constexpr double kLargestBody = 896 * 1024;
constexpr double kDayMs = 24 * 3600 * 1000.0;

constexpr std::array kLimitFields{
  LimitField{ "max_retries_per_request",
              &FleetLimits::mMaxRetriesPerRequest,
              0,
              20 },
  LimitField{ "retry_ratio", &FleetLimits::mRetryRatio, 0, 1 },
  LimitField{ "cross_region_mbit_per_s",
              &FleetLimits::mCrossRegionMbitPerS,
              0,
              1e6 },
  LimitField{ "target_delay_ms", &FleetLimits::mTargetDelay, 1, 10'000 },
  LimitField{ "quarantine_ms", &FleetLimits::mQuarantine, 1000, kDayMs },
  LimitField{ "key_lifetime_ms", &FleetLimits::mKeyLifetime, 1000, kDayMs },
  LimitField{ "max_body_bytes",
              &FleetLimits::mMaxBodyBytes,
              1024,
              kLargestBody },
};

/** Declared ranges of a request class. */
constexpr int64_t kShortestTimeoutMs = 1;
constexpr int64_t kLongestTimeoutMs = 600'000;

/** Largest manifest, as TOML and in its flat form. */
constexpr size_t kLargestManifest = size_t(1) << 20;

/** @return the canonical value of a limit in the flat form. */
std::string
LimitValue(const LimitField& aField, const FleetLimits& aLimits);

/** @return the canonical value of a class in the flat form. */
std::string
ClassValue(const RequestClass& aEntry);

} // namespace amaranthgap
