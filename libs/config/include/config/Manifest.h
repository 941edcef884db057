#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace amaranthgap {

constexpr uint32_t kMaxImportance = 9;

/** Caller declared in the manifest. */
struct CallerIdentity
{
  std::string mParty;
};

/** Request class declared for a service. */
struct RequestClass
{
  uint32_t mImportance = 0; ///< At most kMaxImportance.
  bool mIdempotent = true;
  Duration mTimeout{};
};

/** Limits that apply to the whole fleet. */
struct FleetLimits
{
  uint32_t mMaxRetriesPerRequest = 3;
  double mRetryRatio = 0.1;
  double mCrossRegionMbitPerS = 400;
  Duration mTargetDelay = milliseconds(50);
  Duration mQuarantine = minutes(10);
  Duration mKeyLifetime = minutes(10);
  uint32_t mMaxBodyBytes = 512 * 1024;
};

/** Typed form of the operators' declarations. Immutable once shared. */
struct Manifest
{
  uint64_t mVersion = 0;
  uint64_t mDigest = 0;
  FleetLimits mLimits;
  std::map<std::string, CallerIdentity, std::less<>> mCallers;
  /** Classes by service name, then by class name. Every declared service has
   * at least one class. */
  std::map<std::string,
           std::map<std::string, RequestClass, std::less<>>,
           std::less<>>
    mServices;

  [[nodiscard]] const CallerIdentity* FindCaller(std::string_view aName) const;
  [[nodiscard]] const RequestClass* FindClass(std::string_view aService,
                                              std::string_view aName) const;
};

/** Canonical flat form of a manifest: maps an entry key, such as
 * `classes/billing/charge`, to its value. Digests and deltas are computed from
 * this form. */
using ManifestEntries = std::map<std::string, std::string>;

/** Error found in a configuration file. */
struct ConfigProblem
{
  std::string mFile;
  uint32_t mLine = 0;
  std::string mKey;
  std::string mReason;

  /** @return `file:line: key: reason`. */
  [[nodiscard]] std::string ToString() const;
};

template<class T>
using ConfigResult =
  boost::outcome_v2::basic_result<T,
                                  std::vector<ConfigProblem>,
                                  boost::outcome_v2::policy::terminate>;

/**
 * Parses and validates a manifest in TOML.
 * @param aText content of the file.
 * @param aFile file name to report in problems.
 * @return the flat form, or all problems found.
 */
ConfigResult<ManifestEntries>
ParseManifest(std::string_view aText, const std::string& aFile);

/** @return the typed form of the entries, or an error that names the first
 * invalid entry. */
Result<Manifest>
BuildManifest(uint64_t aVersion, const ManifestEntries& aEntries);

/** @return the digest of the flat form; it does not depend on the version. */
uint64_t
ComputeDigest(const ManifestEntries& aEntries);

} // namespace amaranthgap
