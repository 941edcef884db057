#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

#include "config/Manifest.h"

namespace amaranthgap {

/** Describes one fleet limit: its key in the TOML table `limits` and in the
 * flat form, its member in FleetLimits, and its valid range (inclusive).
 * Durations are in milliseconds. */
struct LimitField
{
  using Member = std::variant<uint32_t FleetLimits::*,
                              double FleetLimits::*,
                              Duration FleetLimits::*>;

  std::string_view mKey;
  Member mMember;
  double mMin = 0;
  double mMax = 0;
};

// A call with its headers must fit into one message between nodes, which is
// limited to 1 MB.
constexpr double kMaxBodyBytes = 896 * 1024;
constexpr double kDayInMs = 24 * 3600 * 1000.0;

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
  LimitField{ "quarantine_ms", &FleetLimits::mQuarantine, 1000, kDayInMs },
  LimitField{ "key_lifetime_ms", &FleetLimits::mKeyLifetime, 1000, kDayInMs },
  LimitField{ "max_body_bytes",
              &FleetLimits::mMaxBodyBytes,
              1024,
              kMaxBodyBytes },
};

/** Valid range of the timeout of a request class. */
constexpr int64_t kMinTimeoutMs = 1;
constexpr int64_t kMaxTimeoutMs = 600'000;

/** Maximum size of a manifest, both as TOML and in its flat form. */
constexpr size_t kMaxManifestBytes = size_t(1) << 20;

/** @return the canonical text of a limit in the flat form. */
std::string
FormatLimit(const LimitField& aField, const FleetLimits& aLimits);

/** @return the canonical text of a class in the flat form. */
std::string
FormatClass(const RequestClass& aClass);

} // namespace amaranthgap
