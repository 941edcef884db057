// Ordinary reads while strangers send heads with many options of `Connection`
// and bodies with many short trailer lines.

#include "Harness.h"

using namespace review;

namespace {

constexpr int kWorkMillis = 100;
// The strangers.
constexpr int kStrangers = 80;
constexpr int kRequestsEach = 4;
constexpr int kOptions = 7600;
constexpr int kTrailers = 3800;
// The ordinary callers.
constexpr int kReaders = 16;
constexpr int kTimeoutMillis = 1500;
constexpr int kSeconds = 10;
// The rule: how long after the timeout, how many requests at least, and over
// which part of those that were open at the timeout.
constexpr int kLateMillis = 500;
constexpr int kLeastLate = 8;
constexpr int kLatePart = 4;

std::string
Repeat(const std::string& aText, int aCount)
{
  std::string out;
  for (int n = 0; n < aCount; ++n) {
    out += aText;
  }
  return out;
}

/** @return a request inside the limits of the configuration: its head and its
 * trailers are shorter than maxHeaderBytes. Without the disruption it has as
 * many bytes in one option and one line. */
std::string
StrangeRequest(const std::string& aId)
{
  const bool hasTrouble = HasTrouble();
  const std::string options =
    hasTrouble ? Repeat("a,", kOptions - 1) + "a" : Repeat("aa", kOptions);
  const std::string trailers =
    hasTrouble ? Repeat("b:\r\n", kTrailers)
               : "b:" + std::string(size_t(4) * kTrailers, 'b') + "\r\n";
  return Fleet::Head("POST",
                     "/read/1",
                     aId,
                     "Connection: " + options +
                       "\r\nTransfer-Encoding: chunked\r\n") +
         "1\r\nx\r\n0\r\n" + trailers + "\r\n";
}

struct Reads
{
  std::atomic<int> mSent = 0;
  std::atomic<int> mAtTimeout = 0; ///< Without an answer then.
  std::atomic<int> mLater = 0;     ///< Without one half a second later.
};

std::vector<std::thread>
StartReaders(Fleet& aFleet, Proxy& aEntry, Reads& aReads)
{
  std::vector<std::thread> out;
  out.reserve(kReaders);
  for (int n = 0; n < kReaders; ++n) {
    out.emplace_back([&] {
      const auto end = Clock::now() + std::chrono::seconds(kSeconds);
      while (Clock::now() < end) {
        const std::string id = "read-" + aFleet.NextId();
        const auto begin = Clock::now();
        const auto answer =
          Fleet::Ask(aEntry, "GET", "/read/1", id, "", kTimeoutMillis + 1000);
        const auto took =
          std::chrono::duration_cast<milliseconds>(Clock::now() - begin)
            .count();
        ++aReads.mSent;
        aReads.mAtTimeout += took > kTimeoutMillis ? 1 : 0;
        aReads.mLater += took > kTimeoutMillis + kLateMillis ? 1 : 0;
        if (took > kTimeoutMillis) {
          aFleet.Log().Line("ordinary caller: " + id + ": " + answer.Text() +
                            " after " + std::to_string(took) + " ms");
        }
        Sleep(100);
      }
    });
  }
  return out;
}

std::vector<std::thread>
StartStrangers(Fleet& aFleet, Proxy& aEntry)
{
  std::vector<std::thread> out;
  out.reserve(kStrangers);
  for (int n = 0; n < kStrangers; ++n) {
    out.emplace_back([&] {
      Socket socket =
        Socket::Connect(aEntry.Host(), aEntry.PortOf(Proxy::kCallers));
      std::string last = "no answer";
      int answered = 0;
      for (int k = 0; k < kRequestsEach; ++k) {
        socket.Send(StrangeRequest("strange-" + aFleet.NextId()));
        const auto answer = ReadAnswer(socket, 20000);
        if (!answer.mMessage) {
          break;
        }
        ++answered;
        last = answer.Text();
      }
      aFleet.Log().Line("stranger: " + std::to_string(answered) + " of " +
                        std::to_string(kRequestsEach) +
                        " requests answered, the last with " + last);
    });
  }
  return out;
}

int
Play(const char* aRecord)
{
  Fleet fleet(aRecord, kPageLimits);
  Proxy& entry = fleet.AddProxy("sidecar-a", "front");
  Proxy& target = fleet.AddProxy("sidecar-b", "back");
  fleet.AddRoute("/read/", "safe", "back", kTimeoutMillis);
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

  fleet.Log().Line(
    "request of a stranger: " + std::to_string(StrangeRequest("id").size()) +
    " bytes, " + std::to_string(kStrangers * kRequestsEach) + " of them from " +
    std::to_string(kStrangers) + " clients");
  Reads reads;
  auto readers = StartReaders(fleet, entry, reads);
  Sleep(1000);
  auto strangers = StartStrangers(fleet, entry);
  for (auto* threads : { &strangers, &readers }) {
    for (auto& it : *threads) {
      it.join();
    }
  }
  fleet.Log().Line(
    std::string("proxies alive: ") + (entry.IsAlive() ? "yes " : "no ") +
    (target.IsAlive() ? "yes; " : "no; ") + std::to_string(reads.mSent) +
    " reads, without an answer after their route's timeout: " +
    std::to_string(reads.mAtTimeout) +
    ", half a second later: " + std::to_string(reads.mLater));
  const bool isBroken =
    reads.mLater >= kLeastLate && kLatePart * reads.mLater > reads.mAtTimeout;
  const int verdict = isBroken ? kBroken : kHeld;
  fleet.Log().Line(verdict == kHeld ? "held" : "broken");
  return verdict;
}

} // namespace

int
main(int, char** argv)
{
  return RunCase([&] { return Play(argv[1]); });
}
