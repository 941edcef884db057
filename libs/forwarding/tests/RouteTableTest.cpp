#include <catch2/catch.hpp>

#include "forwarding/RouteTable.h"

using namespace amaranthgap;

namespace {

Route
MakeRoute(const std::string& aName,
          const std::string& aPrefix,
          std::vector<RouteShare> aShares)
{
  return { .mName = aName,
           .mHost = "pumps.example",
           .mPrefix = aPrefix,
           .mShares = std::move(aShares) };
}

RouteTable::Content
MakeContent(std::vector<Route> aRoutes)
{
  return { .mVersion = 7,
           .mRoutes = std::move(aRoutes),
           .mServices = { { "logs", {} }, { "crews", {} } } };
}

} // namespace

TEST_CASE("the longest prefix of a host selects the route")
{
  const auto table = RouteTable::Build(
    MakeContent({ MakeRoute("all", "/", { { "logs", 1 } }),
                  MakeRoute("a", "/a/", { { "logs", 1 } }),
                  MakeRoute("ab", "/a/b/", { { "crews", 1 } }) }));
  REQUIRE(table);
  const auto match = [&](std::string_view aHost, std::string_view aPath) {
    const Route* route = table.value()->Match(aHost, aPath);
    return route ? route->mName : std::string();
  };
  CHECK(match("pumps.example", "/a/b/c") == "ab");
  CHECK(match("pumps.example", "/a/b/") == "ab");
  CHECK(match("pumps.example", "/a/b") == "a");
  CHECK(match("pumps.example", "/ab/c") == "all");
  CHECK(match("pumps.example:8080", "/a/x?y=/a/b/") == "a");
  CHECK(match("other.example", "/a/x").empty());
  CHECK(match("pumps.example", "a").empty());
}

TEST_CASE("an invalid route table is rejected with the route and the reason")
{
  const std::vector<std::pair<Route, std::string>> cases{
    { MakeRoute("r", "/x", { { "logs", 1 } }), "slash" },
    { MakeRoute("r", "/x/", {}), "no service" },
    { MakeRoute("r", "/x/", { { "trucks", 1 } }), "unknown service trucks" },
    { MakeRoute("r", "/x/", { { "logs", -1 } }), "negative" },
    { MakeRoute("r", "/x/", { { "logs", 0 } }), "above zero" },
  };
  for (const auto& [route, reason] : cases) {
    const auto table = RouteTable::Build(MakeContent({ route }));
    REQUIRE_FALSE(table);
    CHECK(table.error().mPeer == "route r");
    CHECK(table.error().mDetail.find(reason) != std::string::npos);
  }
}

TEST_CASE("requests of a split route follow its weights over 100 requests")
{
  const Route route =
    MakeRoute("r", "/x/", { { "logs", 90 }, { "crews", 10 } });
  ServiceChooser chooser;
  int crews = 0;
  constexpr int kRequests = 100;
  for (int n = 0; n < kRequests; ++n) {
    crews += chooser.Choose(route) == "crews" ? 1 : 0;
  }
  CHECK(crews == 10);
}
