// Uploads of ordinary callers while a crowd of clients sends bodies piece by
// piece and stops just short of their end.

#include "Harness.h"

using namespace review;

namespace {

constexpr int kWorkMillis = 100;
constexpr int kUploads = 12;
constexpr size_t kUploadBytes = 50'000;
// The crowd: bodies whose last piece never comes.
constexpr int kCrowd = 2700;
constexpr size_t kPieceBytes = 1000;
constexpr size_t kPieces = 21;
// Without the disruption.
constexpr int kSmallCrowd = 200;
// Lost answers that the rule allows.
constexpr int kAllowed = 3;

/** Records what the proxy holds by its own account. */
void
LogMetrics(Fleet& aFleet, Proxy& aProxy)
{
  Socket socket = Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kReady));
  socket.Send("GET /metrics HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto answer = ReadAnswer(socket, 1000);
  const std::string text = answer.mMessage ? answer.mMessage->mBody : "";
  for (const char* name : { "amaranthgap_held_bytes ",
                            "amaranthgap_held_limit_bytes ",
                            "amaranthgap_caller_connections ",
                            "amaranthgap_callers_shed_for_memory_total " }) {
    if (const size_t at = text.find(std::string("\n") + name);
        at != std::string::npos) {
      aFleet.Log().Line(text.substr(at + 1, text.find('\n', at + 1) - at - 1));
    }
  }
}

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front");
  Proxy& target = fleet.AddProxy("sidecar-b", "back");
  fleet.AddRoute("/read/", "safe", "back");
  fleet.AddRoute("/upload/", "upload", "back");
  fleet.WriteConfig();
  const auto work = [](const Message&) {
    Sleep(kWorkMillis);
    return Upstream::Answer{};
  };
  Upstream front(
    fleet.Log(), entry.Host(), entry.PortOf(Proxy::kUpstream), "i-a", work);
  Upstream back(
    fleet.Log(), target.Host(), target.PortOf(Proxy::kUpstream), "i-b", work);
  entry.Start();
  target.Start();
  fleet.Beat(entry, "i-a", 64);
  fleet.Beat(target, "i-b", 64);
  fleet.AwaitServing(entry, "/read/1");

  const int count = HasTrouble() ? kCrowd : kSmallCrowd;
  std::vector<Socket> crowd;
  for (int n = 0; n < count; ++n) {
    crowd.push_back(
      Socket::Connect(entry.Host(), entry.PortOf(Proxy::kCallers)));
    crowd.back().Send(Fleet::Head(
      "POST",
      "/upload/1",
      "crowd-" + fleet.NextId(),
      "Content-Length: " + std::to_string((kPieces + 1) * kPieceBytes) +
        "\r\n"));
  }
  const std::string piece(kPieceBytes, 'x');
  for (size_t n = 0; n < kPieces; ++n) {
    for (auto& it : crowd) {
      it.Send(piece, 200);
    }
    Sleep(150);
  }
  fleet.Log().Line("crowd: " + std::to_string(count) + " clients have sent " +
                   std::to_string(kPieces) + " pieces of " +
                   std::to_string(kPieceBytes) +
                   " bytes each, and not the last");

  LogMetrics(fleet, entry);
  int lost = 0;
  for (int n = 0; n < kUploads; ++n) {
    // The crowd goes on, so that its connections are not overdue.
    constexpr int kUploadsForByte = 4;
    if (n % kUploadsForByte == 0) {
      for (auto& it : crowd) {
        it.Send("x", 200);
      }
      Sleep(150);
    }
    const std::string id = "upload-" + fleet.NextId();
    const auto answer = Fleet::Ask(
      entry, "POST", "/upload/1", id, std::string(kUploadBytes, 'u'));
    Sleep(2 * kWorkMillis);
    const int runs = back.RunsOf(id);
    lost += !answer.mMessage && runs > 0 ? 1 : 0;
    fleet.Log().Line("ordinary caller: " + id + " of " +
                     std::to_string(kUploadBytes) + " bytes: " + answer.Text() +
                     ", runs: " + std::to_string(runs));
  }
  LogMetrics(fleet, entry);
  fleet.Log().Line(
    std::string("proxies alive: ") + (entry.IsAlive() ? "yes " : "no ") +
    (target.IsAlive() ? "yes" : "no") + ", peak memory of the first: " +
    std::to_string(entry.PeakKilobytes()) + " kB");
  fleet.Log().Line(std::to_string(lost) + " of " + std::to_string(kUploads) +
                   " uploads ran and got no answer; the rule allows " +
                   std::to_string(kAllowed));
  const int verdict = lost > kAllowed ? kBroken : kHeld;
  fleet.Log().Line(verdict == kHeld ? "held" : "broken");
  return verdict;
}

} // namespace

int
main(int, char** argv)
{
  return RunCase([&] { return Play(argv[1]); });
}
