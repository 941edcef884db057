#include "forwarding/RouteTable.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

std::string_view
WithoutPort(std::string_view aHost)
{
  return aHost.substr(0, aHost.find(':'));
}

std::optional<std::string>
ProblemOf(const Route& aRoute)
{
  if (aRoute.mHost.empty()) {
    return "no host";
  }
  if (aRoute.mPrefix.empty() || aRoute.mPrefix.front() != '/' ||
      aRoute.mPrefix.back() != '/') {
    return "the prefix does not begin and end with a slash";
  }
  if (aRoute.mShares.empty()) {
    return "no service";
  }
  double sum = 0;
  for (const RouteShare& it : aRoute.mShares) {
    if (it.mWeight < 0) {
      return "a weight is negative";
    }
    sum += it.mWeight;
  }
  if (sum <= 0) {
    return "no weight is above zero";
  }
  if (aRoute.mTimeout <= Duration::zero() || aRoute.mMaxAttempts == 0) {
    return "the timeout or the number of attempts is zero";
  }
  return std::nullopt;
}

/** @return the first problem of the customers, without any key in full. */
std::optional<Error>
ProblemOf(const std::vector<Customer>& aCustomers)
{
  std::map<std::string_view, std::string_view> owners; // By key.
  std::set<std::string_view> names;
  for (const Customer& customer : aCustomers) {
    std::string problem;
    if (customer.mName.empty()) {
      problem = "no name";
    } else if (!names.insert(customer.mName).second) {
      problem = "the name is used twice";
    } else if (customer.mRequestsPerSecond < 0 || customer.mBurst < 0) {
      problem = "the allowance is negative";
    }
    for (const std::string& key : customer.mKeys) {
      const auto [owner, isNew] = owners.emplace(key, customer.mName);
      if (key.empty()) {
        problem = "a key is empty";
      } else if (!isNew && owner->second != customer.mName) {
        problem = fmt::format("a key is also that of {}", owner->second);
      }
    }
    if (!problem.empty()) {
      return Error{ Step::ReadManifest,
                    fmt::format("customer {}", customer.mName),
                    problem };
    }
  }
  return std::nullopt;
}

} // namespace

RouteTable::RouteTable(Content aContent)
  : mContent(std::move(aContent))
{
  for (size_t n = 0; n < mContent.mRoutes.size(); ++n) {
    const Route& route = mContent.mRoutes[n];
    mByHost[route.mHost].emplace(route.mPrefix, n);
  }
  for (size_t n = 0; n < mContent.mCustomers.size(); ++n) {
    for (const std::string& key : mContent.mCustomers[n].mKeys) {
      mByKey.emplace(key, n);
    }
  }
}

Result<RouteTablePtr>
RouteTable::Build(Content aContent)
{
  for (const Route& route : aContent.mRoutes) {
    auto problem = ProblemOf(route);
    for (const RouteShare& it : route.mShares) {
      if (!problem && !aContent.mServices.contains(it.mService)) {
        problem = fmt::format("unknown service {}", it.mService);
      }
    }
    if (problem) {
      return Error{ Step::ReadManifest,
                    fmt::format("route {}", route.mName),
                    *problem };
    }
  }
  if (auto problem = ProblemOf(aContent.mCustomers)) {
    return *problem;
  }
  return RouteTablePtr(new RouteTable(std::move(aContent)));
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mByHost.find(WithoutPort(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  std::string_view path = aPath.substr(0, aPath.find('?'));
  // Prefixes end with a slash, so only path prefixes up to a slash can match.
  while (true) {
    const size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    path = path.substr(0, slash + 1);
    if (const auto it = host->second.find(path); it != host->second.end()) {
      return &mContent.mRoutes[it->second];
    }
    path.remove_suffix(1);
  }
}

const Customer*
RouteTable::FindCustomer(std::string_view aKey) const
{
  const auto it = mByKey.find(aKey);
  return it == mByKey.end() ? nullptr : &mContent.mCustomers[it->second];
}

const ServiceOptions*
RouteTable::FindService(std::string_view aService) const
{
  const auto it = mContent.mServices.find(aService);
  return it == mContent.mServices.end() ? nullptr : &it->second;
}

const std::string&
ServiceChooser::Choose(const Route& aRoute)
{
  if (aRoute.mShares.size() == 1) {
    return aRoute.mShares.front().mService;
  }
  auto& credits = mCredits[aRoute.mName];
  credits.resize(aRoute.mShares.size());
  double sum = 0;
  for (size_t n = 0; n < credits.size(); ++n) {
    credits[n] += aRoute.mShares[n].mWeight;
    sum += aRoute.mShares[n].mWeight;
  }
  const auto best = std::max_element(credits.begin(), credits.end());
  *best -= sum;
  return aRoute.mShares[size_t(best - credits.begin())].mService;
}

} // namespace amaranthgap
