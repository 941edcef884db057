// Requests of ordinary callers while a crowd of clients sends bodies piece by
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
// Without the disruption the bodies are shorter.
constexpr size_t kFewPieces = 5;
// The second part: the crowd sends byte after byte.
constexpr int kByteMillis = 100;
constexpr int kReaders = 16;
constexpr int kReadTimeoutMillis = 1500;
constexpr int kReadSeconds = 8;
// The rules: lost answers that are allowed, and the requests without an answer
// at the end of the route's timeout and later that are not.
constexpr int kAllowed = 3;
constexpr int kLateMillis = 500;
constexpr int kLeastLate = 8;

/** Ordinary reads that are not answered in the time of their route. */
struct LateReads
{
  std::atomic<int> mSent = 0;
  std::atomic<int> mAtTimeout = 0; ///< Without an answer then.
  std::atomic<int> mLater = 0;     ///< Without one half a second later.

  /** The rule, which counts the requests that were open at the timeout. */
  [[nodiscard]] bool IsBroken() const
  {
    return mLater >= kLeastLate && 2 * mLater > mAtTimeout;
  }
};

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

/** Uploads, one after the other. @return those that ran and got no answer. */
int
Upload(Fleet& aFleet,
       Proxy& aEntry,
       Upstream& aUpstream,
       std::vector<Socket>& aCrowd)
{
  int lost = 0;
  for (int n = 0; n < kUploads; ++n) {
    // The crowd goes on, so that its connections are not overdue.
    constexpr int kUploadsForByte = 4;
    if (n % kUploadsForByte == 0) {
      for (auto& it : aCrowd) {
        it.Send("x", 200);
      }
      Sleep(150);
    }
    const std::string id = "upload-" + aFleet.NextId();
    Socket kept = Fleet::OpenKept(aFleet, aEntry);
    const auto answer = Fleet::AskOn(
      kept, "POST", "/upload/1", id, std::string(kUploadBytes, 'u'));
    Sleep(2 * kWorkMillis);
    const int runs = aUpstream.RunsOf(id);
    lost += !answer.mMessage && runs > 0 ? 1 : 0;
    aFleet.Log().Line(
      "ordinary caller: " + id + " of " + std::to_string(kUploadBytes) +
      " bytes: " + answer.Text() + ", runs: " + std::to_string(runs));
  }
  return lost;
}

/** Reads of several callers, while the crowd sends byte after byte. */
void
Read(Fleet& aFleet,
     Proxy& aEntry,
     std::vector<Socket>& aCrowd,
     LateReads& aReads)
{
  std::atomic<bool> isEnding = false;
  std::thread crowd([&] {
    while (!isEnding) {
      for (auto& it : aCrowd) {
        it.Send("x", 2);
      }
      Sleep(kByteMillis);
    }
  });
  Sleep(1000);
  std::vector<std::thread> readers;
  readers.reserve(kReaders);
  for (int n = 0; n < kReaders; ++n) {
    readers.emplace_back([&] {
      const auto end = Clock::now() + std::chrono::seconds(kReadSeconds);
      while (Clock::now() < end) {
        const std::string id = "read-" + aFleet.NextId();
        const auto begin = Clock::now();
        const auto answer = Fleet::Ask(
          aEntry, "GET", "/read/1", id, "", kReadTimeoutMillis + 1000);
        const auto took =
          std::chrono::duration_cast<milliseconds>(Clock::now() - begin)
            .count();
        ++aReads.mSent;
        aReads.mAtTimeout += took > kReadTimeoutMillis ? 1 : 0;
        aReads.mLater += took > kReadTimeoutMillis + kLateMillis ? 1 : 0;
        if (took > kReadTimeoutMillis) {
          aFleet.Log().Line("ordinary caller: " + id + ": " + answer.Text() +
                            " after " + std::to_string(took) + " ms");
        }
        Sleep(200);
      }
    });
  }
  for (auto& it : readers) {
    it.join();
  }
  isEnding = true;
  crowd.join();
}

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front");
  Proxy& target = fleet.AddProxy("sidecar-b", "back");
  fleet.AddRoute("/read/", "safe", "back", kReadTimeoutMillis);
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
  back.SetIsQuiet(true);
  entry.Start();
  target.Start();
  fleet.Beat(entry, "i-a", 64);
  fleet.Beat(target, "i-b", 64);
  fleet.AwaitServing(entry, "/read/1");

  const size_t pieces = HasTrouble() ? kPieces : kFewPieces;
  std::vector<Socket> crowd;
  for (int n = 0; n < kCrowd; ++n) {
    crowd.push_back(
      Socket::Connect(entry.Host(), entry.PortOf(Proxy::kCallers)));
    crowd.back().Send(Fleet::Head(
      "POST",
      "/upload/1",
      "crowd-" + fleet.NextId(),
      "Content-Length: " + std::to_string((pieces + 1) * kPieceBytes) +
        "\r\n"));
  }
  const std::string piece(kPieceBytes, 'x');
  for (size_t n = 0; n < pieces; ++n) {
    for (auto& it : crowd) {
      it.Send(piece, 200);
    }
    Sleep(150);
  }
  fleet.Log().Line("crowd: " + std::to_string(kCrowd) + " clients have sent " +
                   std::to_string(pieces) + " pieces of " +
                   std::to_string(kPieceBytes) +
                   " bytes each, and not the last");
  LogMetrics(fleet, entry);
  const int lost = Upload(fleet, entry, back, crowd);
  LogMetrics(fleet, entry);
  LateReads reads;
  Read(fleet, entry, crowd, reads);
  fleet.Log().Line(
    std::string("proxies alive: ") + (entry.IsAlive() ? "yes " : "no ") +
    (target.IsAlive() ? "yes" : "no") + ", peak memory of the first: " +
    std::to_string(entry.PeakKilobytes()) + " kB");
  fleet.Log().Line(std::to_string(lost) + " of " + std::to_string(kUploads) +
                   " uploads ran and got no answer; the rule allows " +
                   std::to_string(kAllowed));
  fleet.Log().Line(
    std::to_string(reads.mSent) + " reads, without an answer " +
    "after their route's timeout: " + std::to_string(reads.mAtTimeout) +
    ", half a second later: " + std::to_string(reads.mLater));
  const int verdict = lost > kAllowed || reads.IsBroken() ? kBroken : kHeld;
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
