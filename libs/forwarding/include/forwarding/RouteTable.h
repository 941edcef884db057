#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace amaranthgap {

/** Service that serves a part of the requests of a route. */
struct RouteShare
{
  std::string mService;
  double mWeight = 1;
};

/** How requests of one host and path prefix are forwarded. */
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Begins and ends with a slash.
  std::vector<RouteShare> mShares;
  bool mIdempotent = false;
  uint32_t mPriority = 0;         ///< 0 is the most important.
  Duration mTimeout = seconds(5); ///< Longest time to keep a caller waiting.
  Duration mLatencyTarget = seconds(1);
  uint32_t mMaxAttempts = 1; ///< Targets that one request may be sent to.
};

/** What is declared of one service. */
struct ServiceOptions
{
  std::string mHealthPath;
  uint32_t mMaxConnections = 256; ///< Per target, from all callers together.
};

/** Bounds for what callers may send. */
struct CallerLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = uint64_t(64) * 1024 * 1024;
  Duration mHeaderTimeout = seconds(3);
  Duration mIdleTimeout = seconds(15);
};

/** One version of the routes in force. Immutable once built. */
class RouteTable
{
public:
  struct Content
  {
    uint64_t mVersion = 0;
    CallerLimits mLimits;
    std::vector<Route> mRoutes;
    std::map<std::string, ServiceOptions, std::less<>> mServices;
  };

  /** @return the table, or the first entry that contradicts another one. */
  static Result<std::shared_ptr<const RouteTable>> Build(Content aContent);

  /** @param aHost with or without a port.
   * @return the route with the longest prefix of the path, or null. */
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  [[nodiscard]] uint64_t Version() const { return mContent.mVersion; }
  [[nodiscard]] const CallerLimits& Limits() const { return mContent.mLimits; }
  [[nodiscard]] const ServiceOptions* FindService(
    std::string_view aService) const;
  [[nodiscard]] const std::vector<Route>& Routes() const
  {
    return mContent.mRoutes;
  }

private:
  explicit RouteTable(Content aContent);

  Content mContent;
  /** Index of the route, by host and prefix. */
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
    mByHost;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** Chooses the services of split routes in proportion to their weights: smooth
 * weighted round-robin, so that shares hold for short runs of requests too.
 * Not safe for use by several threads. */
class ServiceChooser
{
public:
  /** @return the service of the next request of the route. */
  const std::string& Choose(const Route& aRoute);
  /** Forgets routes; used when another version comes into force. */
  void Clear() { mCredits.clear(); }

private:
  std::map<std::string, std::vector<double>> mCredits; ///< By route.
};

} // namespace amaranthgap
