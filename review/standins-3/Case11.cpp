// A client sends many short requests one behind the other on one connection.

#include "Harness.h"

using namespace review;

namespace {

constexpr int kWorkMillis = 400;
// What the client sends: eight proper reads, and behind them requests without
// an id, which are answered with 400. All together they are 82 KB.
constexpr int kReads = 8;
constexpr int kFirstBatch = 1024;
constexpr int kSecondBatch = 4096;
constexpr int kMostConnections = 20;
// Without the disruption.
constexpr int kFewRequests = 16;
// The rules: ends of a process that count, and lost answers that are allowed.
constexpr int kEnds = 3;
constexpr int kAllowed = 3;

std::string
Short(int aCount)
{
  std::string out;
  for (int n = 0; n < aCount; ++n) {
    out += "G / HTTP/1.1\r\n\r\n";
  }
  return out;
}

/** Sends the requests on one connection after the other, until the process
 * has ended or the client gives up. */
void
SendShortRequests(Fleet& aFleet, Proxy& aProxy)
{
  const bool hasTrouble = HasTrouble();
  const int most = hasTrouble ? kMostConnections : 1;
  for (int n = 1; n <= most && aProxy.IsAlive(); ++n) {
    Socket client =
      Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kCallers));
    std::string reads;
    for (int k = 0; k < kReads; ++k) {
      reads += Fleet::Head("GET", "/read/1", "read-" + aFleet.NextId());
    }
    client.Send(reads);
    Sleep(20);
    client.Send(Short(hasTrouble ? kFirstBatch : kFewRequests));
    Sleep(20);
    if (hasTrouble) {
      client.Send(Short(kSecondBatch));
    }
    const auto end = Clock::now() + milliseconds(kWorkMillis + 600);
    while (client.Fill(end)) {
    }
    size_t refused = 0;
    for (size_t at = 0;
         (at = client.Buffer().find("HTTP/1.1 400", at)) != std::string::npos;
         ++at) {
      ++refused;
    }
    aFleet.Log().Line(
      "client, connection " + std::to_string(n) + " to " + aProxy.Name() +
      ": sent " + std::to_string(kReads) + " reads and " +
      std::to_string(hasTrouble ? kFirstBatch + kSecondBatch : kFewRequests) +
      " short requests, got " + std::to_string(refused) + " answers with 400");
  }
  const bool isAlive = aProxy.IsAlive();
  aFleet.Log().Line(
    aProxy.Name() +
    (isAlive ? " still runs" : " has ended by itself: " + aProxy.End()));
}

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front");
  Proxy& target = fleet.AddProxy("sidecar-b", "back");
  fleet.AddRoute("/read/", "safe", "back");
  fleet.AddRoute("/book/", "non_idempotent", "back");
  fleet.WriteConfig();
  const auto work = [](const Message&) {
    Sleep(kWorkMillis);
    return Upstream::Answer{};
  };
  Upstream front(
    fleet.Log(), entry.Host(), entry.PortOf(Proxy::kUpstream), "i-a", work);
  Upstream back(
    fleet.Log(), target.Host(), target.PortOf(Proxy::kUpstream), "i-b", work);
  back.SetIsQuiet(true);
  entry.Start();
  target.Start();
  fleet.Beat(entry, "i-a", 64);
  fleet.Beat(target, "i-b", 64);
  fleet.AwaitServing(entry, "/read/1");

  OrdinaryCallers callers(fleet, entry, back, kWorkMillis);
  std::map<std::string, int> ends;
  for (int round = 0; round < kEnds; ++round) {
    for (Proxy* it : { &entry, &target }) {
      Sleep(1000);
      SendShortRequests(fleet, *it);
      if (!it->IsAlive()) {
        ++ends[it->Name()];
        Sleep(500);
        it->Start(); // As the platform does.
        fleet.AwaitServing(entry, "/read/1");
      }
    }
  }
  callers.End();
  const int lost = callers.LogTotal(fleet.Log());
  const bool isFault =
    ends[entry.Name()] >= kEnds && ends[target.Name()] >= kEnds;
  fleet.Log().Line("processes ended by themselves: sidecar-a " +
                   std::to_string(ends[entry.Name()]) + " times, sidecar-b " +
                   std::to_string(ends[target.Name()]) + " times");
  const int verdict = isFault || lost > kAllowed ? kBroken : kHeld;
  fleet.Log().Line(verdict == kHeld ? "held" : "broken");
  return verdict;
}

} // namespace

int
main(int, char** argv)
{
  return RunCase([&] { return Play(argv[1]); });
}
