// A client with a key that no configuration ever held gives its request an id
// that begins with that of its own request to a public route.

#include "Harness.h"

using namespace review;

namespace {

constexpr int kWorkMillis = 1500;
constexpr int kTries = 5;

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front");
  Proxy& target = fleet.AddProxy("sidecar-b", "back");
  fleet.AddRoute("/read/", "safe", "back", 5000, { { "public", true } });
  fleet.AddRoute("/help/", "safe", "front", 5000, { { "public", true } });
  fleet.AddRoute("/book/", "non_idempotent", "back");
  fleet.SetTenants(Json::array({ { { "name", "tenant-a" },
                                   { "apiKeys", Json::array({ "key-a" }) },
                                   { "priority", 1 } } }));
  fleet.WriteConfig();
  std::mutex mutex;
  std::map<std::string, std::string> tenants; // By id, of what ran.
  Upstream front(fleet.Log(),
                 entry.Host(),
                 entry.PortOf(Proxy::kUpstream),
                 "i-a",
                 [](const Message&) {
                   Sleep(kWorkMillis);
                   return Upstream::Answer{};
                 });
  Upstream back(fleet.Log(),
                target.Host(),
                target.PortOf(Proxy::kUpstream),
                "i-b",
                [&](const Message& aRequest) {
                  const std::scoped_lock lock(mutex);
                  tenants[aRequest.Header("x-amaranthgap-request-id")] =
                    aRequest.Header("x-amaranthgap-tenant-id");
                  return Upstream::Answer{ .mBody = "data of a tenant" };
                });
  entry.Start();
  target.Start();
  fleet.Beat(entry, "i-a", 64);
  fleet.Beat(target, "i-b", 64);
  fleet.AwaitServing(entry, "/read/1");

  // As a check of the stand-ins: a known key is served, and named.
  const auto known = Fleet::Ask(
    entry, "POST", "/book/1", "known", "x", 5000, "X-Api-Key: key-a\r\n");
  fleet.Log().Line("known key: " + known.Text() + ", tenant at the target: '" +
                   tenants["known"] + "'");
  if (!known.mMessage || known.mMessage->Status() != 200 ||
      tenants["known"] != "tenant-a") {
    throw CouldNotRun("a request with a known key is not served");
  }

  int broken = 0;
  for (int n = 0; n < kTries; ++n) {
    const std::string open = "open" + fleet.NextId();
    std::thread first([&] {
      const auto answer = Fleet::Ask(entry, "GET", "/help/1", open, "");
      fleet.Log().Line("client: " + open +
                       " on the public route: " + answer.Text());
    });
    Sleep(kWorkMillis / 3);
    const std::string id = HasTrouble() ? open + ".1" : "other" + open;
    const auto answer = Fleet::Ask(
      entry, "POST", "/book/1", id, "x", 3000, "X-Api-Key: no-such-key\r\n");
    first.join();
    const int runs = back.RunsOf(id);
    const std::scoped_lock lock(mutex);
    fleet.Log().Line("client: " + id + " with an unknown key: " +
                     answer.Text() + ", runs: " + std::to_string(runs) +
                     ", tenant at the target: '" + tenants[id] + "', body: '" +
                     (answer.mMessage ? answer.mMessage->mBody : "") + "'");
    broken += runs > 0 ? 1 : 0;
  }
  fleet.Log().Line(std::to_string(broken) + " of " + std::to_string(kTries) +
                   " requests with an unknown key ran; the rule allows none");
  const int verdict = broken > 0 ? kBroken : kHeld;
  fleet.Log().Line(verdict == kHeld ? "held" : "broken");
  return verdict;
}

} // namespace

int
main(int, char** argv)
{
  return RunCase([&] { return Play(argv[1]); });
}
