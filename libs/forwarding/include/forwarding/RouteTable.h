#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/Error.h"
#include "base/Time.h"

namespace amaranthgap {

/** Service that receives a weighted share of a route's requests. */
struct RouteShare
{
  std::string mService;
  double mWeight = 1;
};

/** Forwarding rules for requests with one host and path prefix. */
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; ///< Begins and ends with a slash.
  std::vector<RouteShare> mShares;
  bool mIdempotent = false;
  uint32_t mPriority = 0;         ///< 0 is the highest priority.
  Duration mTimeout = seconds(5); ///< Maximum wait of a caller.
  Duration mLatencyTarget = seconds(1);
  uint32_t mMaxAttempts = 1; ///< Maximum number of targets per request.
  bool mIsPublic = false;    ///< Needs no key of a customer.
};

/** Party that sends requests under keys of its own. */
struct Customer
{
  std::string mName;
  std::vector<std::string> mKeys;    ///< None if all have been revoked.
  std::optional<uint32_t> mPriority; ///< Goes before that of the route.
  /** Requests per second at all nodes together; 0 for no limit. */
  double mRequestsPerSecond = 0;
  double mBurst = 0; ///< Requests beyond the rate that may come at once.
};

/** Declared settings of a service. */
struct ServiceOptions
{
  std::string mHealthPath;
  uint32_t mMaxConnections = 256; ///< Per target, summed over all callers.
};

/** Limits on requests that callers send. */
struct CallerLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = uint64_t(8) * 1024 * 1024;
  Duration mHeaderTimeout = seconds(3);
  Duration mIdleTimeout = seconds(15);
};

/** Immutable version of the routes. */
class RouteTable
{
public:
  struct Content
  {
    uint64_t mVersion = 0;
    CallerLimits mLimits;
    std::vector<Route> mRoutes;
    std::map<std::string, ServiceOptions, std::less<>> mServices;
    std::vector<Customer> mCustomers;
    /** What was read in a way that its author may not expect. */
    std::vector<std::string> mRemarks;
  };

  /** @return the table, or an error for the first invalid route or customer. */
  static Result<std::shared_ptr<const RouteTable>> Build(Content aContent);

  /** @param aHost with or without a port.
   * @return the route with the longest matching path prefix, or null. */
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  [[nodiscard]] uint64_t Version() const { return mContent.mVersion; }
  [[nodiscard]] const CallerLimits& Limits() const { return mContent.mLimits; }
  [[nodiscard]] const ServiceOptions* FindService(
    std::string_view aService) const;
  /** @return the customer with that key, or null. */
  [[nodiscard]] const Customer* FindCustomer(std::string_view aKey) const;
  [[nodiscard]] const std::vector<Customer>& Customers() const
  {
    return mContent.mCustomers;
  }
  [[nodiscard]] const std::vector<std::string>& Remarks() const
  {
    return mContent.mRemarks;
  }
  [[nodiscard]] const std::vector<Route>& Routes() const
  {
    return mContent.mRoutes;
  }

private:
  struct KeyHash
  {
    // The name by which the standard library knows that a key can be looked up
    // without a copy.
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    size_t operator()(std::string_view aKey) const
    {
      return std::hash<std::string_view>()(aKey);
    }
  };

  explicit RouteTable(Content aContent);

  Content mContent;
  /** Index into the routes, by host and prefix. */
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
    mByHost;
  /** Index into the customers, by key. */
  std::unordered_map<std::string, size_t, KeyHash, std::equal_to<>> mByKey;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** Chooses the services of routes with several services by smooth weighted
 * round-robin, so that the weights hold over short runs of requests as well.
 * Not thread-safe. */
class ServiceChooser
{
public:
  /** @return the service for the next request of the route. */
  const std::string& Choose(const Route& aRoute);
  /** Drops the state of all routes; called when a new version takes effect. */
  void Clear() { mCredits.clear(); }

private:
  std::map<std::string, std::vector<double>> mCredits; ///< By route name.
};

} // namespace amaranthgap
