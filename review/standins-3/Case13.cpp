// Large bodies of legal size, after crowds of clients have come and gone.

#include "Harness.h"

using namespace review;

namespace {

constexpr size_t kMemoryMb = 160;
constexpr size_t kKilobytesPerMegabyte = 1024;
constexpr int kWorkMillis = 400;
// How often it is done to each of the two machines.
constexpr int kRounds = 3;
// Lost answers that the rule allows.
constexpr int kAllowed = 3;
// The crowd: bodies in chunks, without the last one.
constexpr int kCrowd = 2700;
constexpr size_t kChunkBytes = 1500;
constexpr int kChunks = 16;
// The body that comes afterwards, well under maxBodyBytes.
constexpr size_t kBodyBytes = size_t(40) * 1024 * 1024;

std::string
Chunk(size_t aBytes)
{
  char size[17];
  std::snprintf(size, sizeof size, "%zx", aBytes);
  return std::string(size) + "\r\n" + std::string(aBytes, 'x') + "\r\n";
}

/** Ends a process that takes more than the memory of its machine, as the
 * platform does. */
class MemoryGuard
{
public:
  explicit MemoryGuard(Proxy& aProxy)
    : mThread([this, &aProxy] {
      while (!mIsEnding) {
        const size_t peak = aProxy.PeakKilobytes();
        mPeak = std::max<size_t>(mPeak, peak);
        if (peak > kMemoryMb * kKilobytesPerMegabyte) {
          aProxy.Kill();
          mHasKilled = true;
          return;
        }
        Sleep(1);
      }
    })
  {
  }
  /** @return whether the process took too much. */
  bool End()
  {
    mIsEnding = true;
    mThread.join();
    return mHasKilled;
  }
  [[nodiscard]] size_t Peak() const { return mPeak; }

private:
  std::atomic<bool> mIsEnding = false;
  std::atomic<bool> mHasKilled = false;
  std::atomic<size_t> mPeak = 0;
  std::thread mThread;
};

/** A crowd comes to a proxy and goes. @return a connection that stays. */
Socket
Visit(Fleet& aFleet, Proxy& aProxy)
{
  std::vector<Socket> crowd;
  for (int n = 0; n < kCrowd; ++n) {
    crowd.push_back(
      Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kCallers)));
    crowd.back().Send(Fleet::Head("POST",
                                  "/upload/1",
                                  "crowd-" + aFleet.NextId(),
                                  "Transfer-Encoding: chunked\r\n"));
  }
  for (int k = 0; k < kChunks; ++k) {
    for (auto& it : crowd) {
      it.Send(Chunk(kChunkBytes), 200);
    }
    Sleep(60);
  }
  Sleep(500);
  aFleet.Log().Line("crowd: " + std::to_string(kCrowd) + " clients have sent " +
                    aProxy.Name() + " " + std::to_string(kChunks) +
                    " chunks of " + std::to_string(kChunkBytes) +
                    " bytes each, and not the last one; peak memory: " +
                    std::to_string(aProxy.PeakKilobytes()) + " kB");
  // An ordinary caller that keeps its connection.
  Socket caller =
    Socket::Connect(aProxy.Host(), aProxy.PortOf(Proxy::kCallers));
  caller.Send(Fleet::Head("GET", "/read/1", "read-" + aFleet.NextId()));
  ReadAnswer(caller, 1000);
  crowd.clear();
  Sleep(1000);
  aFleet.Log().Line("the crowd has left; resident memory: " +
                    std::to_string(aProxy.ResidentKilobytes()) + " kB");
  return caller;
}

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front", kMemoryMb);
  Proxy& target = fleet.AddProxy("sidecar-b", "back", kMemoryMb);
  fleet.AddRoute("/read/", "safe", "back");
  fleet.AddRoute("/book/", "non_idempotent", "back");
  fleet.AddRoute("/upload/", "upload", "back");
  fleet.AddRoute("/other/", "upload", "front");
  fleet.WriteConfig();
  const auto work = [](const Message& aRequest) {
    Sleep(aRequest.Word(1) == "/book/1" ? kWorkMillis : 0);
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
  for (int round = 0; round < kRounds; ++round) {
    for (Proxy* it : { &entry, &target }) {
      Socket caller;
      if (HasTrouble()) {
        caller = Visit(fleet, *it);
      }
      MemoryGuard guard(*it);
      const auto answer = Fleet::Ask(*it,
                                     "POST",
                                     it == &entry ? "/upload/1" : "/other/1",
                                     "upload-" + fleet.NextId(),
                                     std::string(kBodyBytes, 'u'));
      Sleep(500);
      const bool isTooMuch = guard.End();
      fleet.Log().Line("upload of " + std::to_string(kBodyBytes) +
                       " bytes to " + it->Name() + ": " + answer.Text() +
                       "; peak memory: " + std::to_string(guard.Peak()) +
                       " kB, the machine has " +
                       std::to_string(kMemoryMb * kKilobytesPerMegabyte) +
                       " kB");
      if (isTooMuch) {
        ++ends[it->Name()];
        fleet.Log().Line("platform: killed " + it->Name());
        Sleep(500);
        it->Start();
        fleet.AwaitServing(entry, "/read/1");
      }
    }
  }
  callers.End();
  const int lost = callers.LogTotal(fleet.Log());
  fleet.Log().Line("over the memory: sidecar-a " +
                   std::to_string(ends[entry.Name()]) + " times, sidecar-b " +
                   std::to_string(ends[target.Name()]) + " times");
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
