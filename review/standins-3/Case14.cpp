// Requests of ordinary callers while a crowd of clients, more than a proxy has
// descriptors for, sends bodies piece by piece without their end.

#include "Harness.h"

using namespace review;

namespace {

constexpr int kWorkMillis = 1000;
constexpr int kCallers = 20;
// The crowd. A client that was cut off comes back.
constexpr int kCrowd = 3000;
constexpr size_t kBodyBytes = size_t(1024) * 1024;
constexpr size_t kFirstBytes = 2000;
constexpr size_t kPieceBytes = 8;
constexpr int kPieceMillis = 250;
constexpr int kSeconds = 10;
// Without the disruption.
constexpr int kSmallCrowd = 300;
// Lost answers that the rule allows.
constexpr int kAllowed = 3;

class CrowdClient
{
public:
  CrowdClient(Fleet& aFleet, Proxy& aProxy)
    : mSocket(Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kCallers)))
  {
    mSocket.Send(
      Fleet::Head("POST",
                  "/book/1",
                  "crowd-" + aFleet.NextId(),
                  "Content-Length: " + std::to_string(kBodyBytes) + "\r\n") +
        std::string(kFirstBytes, 'x'),
      100);
  }
  [[nodiscard]] bool IsCut() const
  {
    char byte = 0;
    const ssize_t n = ::recv(mSocket.Fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n >= 0 || errno != EAGAIN;
  }
  void SendPiece() { mSocket.Send(std::string(kPieceBytes, 'x'), 5); }

private:
  Socket mSocket;
};

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

  OrdinaryCallers callers(fleet, entry, back, kWorkMillis, kCallers);
  Sleep(1500);
  std::vector<CrowdClient> crowd;
  int opened = 0;
  const int count = HasTrouble() ? kCrowd : kSmallCrowd;
  const auto end = Clock::now() + std::chrono::seconds(kSeconds);
  while (Clock::now() < end) {
    while (int(crowd.size()) < count) {
      crowd.emplace_back(fleet, entry);
      ++opened;
    }
    std::erase_if(crowd, [](const CrowdClient& aOne) { return aOne.IsCut(); });
    for (CrowdClient& it : crowd) {
      it.SendPiece();
    }
    Sleep(kPieceMillis);
  }
  callers.End();
  fleet.Log().Line("crowd: " + std::to_string(count) +
                   " clients, which opened " + std::to_string(opened) +
                   " connections in " + std::to_string(kSeconds) + " s");
  const int lost = callers.LogTotal(fleet.Log());
  fleet.Log().Line(std::string("proxies alive: ") +
                   (entry.IsAlive() ? "yes " : "no ") +
                   (target.IsAlive() ? "yes" : "no") + "; the rule allows " +
                   std::to_string(kAllowed) + " lost answers");
  const int verdict = lost > kAllowed ? kBroken : kHeld;
  fleet.Log().Line(verdict == kHeld ? "held" : "broken");
  return verdict;
}

} // namespace

int
main(int, char** argv)
{
  constexpr rlim_t kDescriptors = 4100;
  return RunCase([&] { return Play(argv[1]); }, kDescriptors);
}
