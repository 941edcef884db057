// Cases of the review: each starts a small deployment, plays clients, and
// judges what they and the targets saw.

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>

#include "Fleet.h"

namespace {

using namespace review;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// More than three requests break the rule LOST.
constexpr size_t kMostLost = 3;

/** What a case is given. */
struct Setting
{
  std::string mRoot;
  std::string mFolder; ///< For settings and logs.
  Record& mRecord;
  bool mHasTrouble = true;
};

void
Pause(int aMillis)
{
  std::this_thread::sleep_for(milliseconds(aMillis));
}

std::string
Repeat(const std::string& aText, size_t aCount)
{
  std::string out;
  out.reserve(aText.size() * aCount);
  for (size_t n = 0; n < aCount; ++n) {
    out += aText;
  }
  return out;
}

/** @return a machine, alone in its zone, that hosts a service to which no route
 * leads, and two that host "back".
 * @param aMemoryMb of those two. */
std::vector<Fleet::MachineOptions>
FrontAndBacks(size_t aMemoryMb)
{
  const Fleet::MachineOptions back{ .mService = "back",
                                    .mZone = "zone-2",
                                    .mMemoryMb = aMemoryMb };
  return { { .mService = "front", .mZone = "zone-1" }, back, back };
}

/** Counts of requests that ordinary clients sent. */
class Tally
{
public:
  void Add(const Ended& aEnded)
  {
    const std::lock_guard lock(mMutex);
    mEnded.push_back(aEnded);
  }
  [[nodiscard]] std::vector<Ended> All()
  {
    const std::lock_guard lock(mMutex);
    return mEnded;
  }
  size_t CountOf(Outcome aOutcome)
  {
    const std::lock_guard lock(mMutex);
    return size_t(
      std::count_if(mEnded.begin(), mEnded.end(), [&](const Ended& aOne) {
        return aOne.mOutcome == aOutcome;
      }));
  }
  std::string Text()
  {
    return std::to_string(CountOf(Outcome::Success)) + " served, " +
           std::to_string(CountOf(Outcome::Refused)) + " refused as not run, " +
           std::to_string(CountOf(Outcome::Denied)) + " denied, " +
           std::to_string(CountOf(Outcome::Failed)) + " failed, " +
           std::to_string(CountOf(Outcome::Closed)) +
           " closed without an answer, " +
           std::to_string(CountOf(Outcome::Unanswered)) + " unanswered";
  }

private:
  std::mutex mMutex;
  std::vector<Ended> mEnded;
};

/** Runs a function in several threads until it has returned in all. */
class Crowd
{
public:
  Crowd(size_t aCount, const std::function<void(size_t)>& aWork)
  {
    for (size_t n = 0; n < aCount; ++n) {
      mThreads.emplace_back([aWork, n] { aWork(n); });
    }
  }
  ~Crowd() { Join(); }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Join()
  {
    for (std::thread& it : mThreads) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

private:
  std::list<std::thread> mThreads;
};

/** Judges LOST: requests from kept connections that were passed on to a target,
 * and whose connections were closed without an answer. */
int
JudgeLost(Fleet& aFleet, Record& aRecord, Tally& aTally)
{
  Pause(1000); // Until the end of a process has been noticed.
  size_t lost = 0;
  for (const Ended& it : aTally.All()) {
    if (it.mOutcome == Outcome::Closed && aFleet.RunsOf(it.mId) > 0) {
      aRecord.Write("lost: " + it.mId);
      ++lost;
    }
  }
  aRecord.Tell("ordinary requests: " + aTally.Text());
  aRecord.Tell(
    "run by a target and closed without an answer: " + std::to_string(lost) +
    " (at most " + std::to_string(kMostLost) + " allowed)");
  for (const Fleet::Machine& it : aFleet.Machines()) {
    aRecord.Tell("a node ended " + std::to_string(it.mNode->Ends()) +
                 " times, peak memory " +
                 std::to_string(it.mNode->PeakMemoryMb()) + " MB");
  }
  return lost > kMostLost ? kBroken : kHeld;
}

/** Bookings that are at work for a while, each on a connection that has served
 * a request before. */
void
Book(Fleet& aFleet, Tally& aTally)
{
  constexpr int kTimeLimit = 6000;
  Socket socket = Socket::Connect(aFleet.Front().Callers());
  aFleet.Ask(socket, "GET", "/read/5", "", kTimeLimit);
  aTally.Add(aFleet.Ask(socket, "POST", "/book/3000", "a booking", kTimeLimit));
}

constexpr size_t kBookings = 12;
// Bookings are at work after this time.
constexpr int kAtWorkMillis = 1000;

/** One client sends short requests one behind the other. */
int
ShortRequests(const Setting& aSetting)
{
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              FrontAndBacks(160),
              "back",
              5000);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  Tally tally;
  Crowd bookings(kBookings, [&](size_t) { Book(fleet, tally); });
  Pause(kAtWorkMillis);
  Socket client = Socket::Connect(fleet.Front().Callers());
  std::string safe;
  for (int n = 0; n < 8; ++n) {
    safe += Fleet::Head("GET", "/read/1000", fleet.NewId(), 5000) + "\r\n";
  }
  client.Send(safe);
  Pause(300);
  if (aSetting.mHasTrouble) {
    const std::string request = "G / HTTP/1.1\r\n\r\n";
    constexpr size_t kFirst = 1024;
    constexpr size_t kMore = 6000;
    aSetting.mRecord.Write("hostile client: " + std::to_string(kFirst + kMore) +
                           " requests of " + std::to_string(request.size()) +
                           " bytes on one connection");
    client.Send(Repeat(request, kFirst));
    Pause(200);
    client.Send(Repeat(request, kMore), milliseconds(2000));
  }
  bookings.Join();
  return JudgeLost(fleet, aSetting.mRecord, tally);
}

/** Many clients stop short of the end of a chunked body; the head of each has
 * many short lines. */
int
ShortHeaderLines(const Setting& aSetting)
{
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              FrontAndBacks(160),
              "back",
              5000);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  Tally tally;
  Crowd bookings(kBookings, [&](size_t) { Book(fleet, tally); });
  Pause(kAtWorkMillis);
  constexpr size_t kClients = 700;
  constexpr size_t kHeadBytes = 15'800;
  constexpr size_t kChunkBytes = 8192;
  std::list<Socket> clients;
  size_t sent = 0;
  for (size_t n = 0; n < kClients; ++n) {
    std::string head = Fleet::Head("POST", "/photo/100", fleet.NewId(), 5000) +
                       "Transfer-Encoding: chunked\r\n";
    const size_t left = kHeadBytes - head.size();
    const std::string line = "a:\r\n";
    if (aSetting.mHasTrouble) {
      head += Repeat(line, left / line.size());
    } else {
      head.append("a: ").append(left - line.size() - 1, 'x').append("\r\n");
    }
    clients.push_back(Socket::Connect(fleet.Front().Callers()));
    head.append("\r\n2000\r\n").append(kChunkBytes, 'x').append("\r\n");
    sent += clients.back().Send(head, milliseconds(200)) ? 1 : 0;
  }
  aSetting.mRecord.Tell("hostile clients: " + std::to_string(sent) + " of " +
                        std::to_string(kClients) + " sent a head of " +
                        std::to_string(kHeadBytes) +
                        " bytes and a body without its last chunk");
  bookings.Join();
  return JudgeLost(fleet, aSetting.mRecord, tally);
}

/** Single clients send a large body each, in calm. */
int
LargeBody(const Setting& aSetting)
{
  constexpr size_t kMegabyte = size_t(1024) * 1024;
  constexpr size_t kLargeMemoryMb = 512;
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              FrontAndBacks(kLargeMemoryMb),
              "back",
              5000);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  std::atomic<bool> isOver = false;
  Crowd others(4, [&](size_t) {
    Socket socket = Socket::Connect(fleet.Front().Callers());
    while (!isOver) {
      fleet.Ask(socket, "GET", "/read/20", "", 2000);
      Pause(50);
    }
  });
  Tally tally;
  const std::string body((aSetting.mHasTrouble ? 40 : 8) * kMegabyte, 'b');
  for (int n = 0; n < 12; ++n) {
    Socket socket = Socket::Connect(fleet.Front().Callers());
    fleet.Ask(socket, "GET", "/read/5", "", 4000);
    tally.Add(fleet.Ask(socket, "POST", "/book/200", body, 5000));
    Pause(1000);
  }
  isOver = true;
  others.Join();
  return JudgeLost(fleet, aSetting.mRecord, tally);
}

/** A node is stopped as planned while clients with small windows send safe
 * requests one behind the other. */
int
PlannedStop(const Setting& aSetting)
{
  constexpr size_t kClients = 8;
  constexpr int kTimeLimit = 6000;
  constexpr int kWindowBytes = 4096;
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              FrontAndBacks(160),
              "back",
              5000);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  Tally tally;
  const TimePoint start = Clock::now() + milliseconds(500);
  Crowd clients(kClients, [&](size_t) {
    Socket socket = Socket::Connect(fleet.Front().Callers(), kWindowBytes);
    fleet.Ask(socket, "GET", "/read/5", "", kTimeLimit);
    std::this_thread::sleep_until(start + milliseconds(2000));
    const std::string first = fleet.NewId();
    const std::string second = fleet.NewId();
    const TimePoint sent = Clock::now();
    socket.Send(Fleet::Head("GET", "/page/1000", first, kTimeLimit) + "\r\n");
    Pause(1300);
    socket.Send(Fleet::Head("GET", "/read/5", second, kTimeLimit) + "\r\n");
    Pause(300);
    tally.Add(fleet.Receive(socket, first, "GET /page/1000", sent, kTimeLimit));
  });
  std::this_thread::sleep_until(start);
  if (aSetting.mHasTrouble) {
    fleet.Front().Terminate();
  }
  clients.Join();
  size_t lost = 0;
  for (const Ended& it : tally.All()) {
    lost += it.mOutcome == Outcome::Closed && fleet.RunsOf(it.mId) > 0 ? 1 : 0;
  }
  aSetting.mRecord.Tell("requests sent before the process ended: " +
                        tally.Text());
  aSetting.mRecord.Tell(
    "run by a target and ended without a complete answer: " +
    std::to_string(lost) + " (none allowed)");
  return lost > 0 ? kBroken : kHeld;
}

/** The store turns machines away that watch the configuration, while it
 * changes. */
int
StoreRefusals(const Setting& aSetting)
{
  constexpr size_t kMachines = 15;
  constexpr size_t kTurnedAway = 5;
  constexpr milliseconds kTime(9000);
  constexpr milliseconds kConfig(2500);
  constexpr milliseconds kOuter(5000);
  std::vector<Fleet::MachineOptions> machines;
  for (size_t n = 0; n < kMachines; ++n) {
    machines.push_back(
      { .mService = n % 2 == 0 ? "before" : "after", .mZone = "zone-1" });
  }
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              machines,
              "before",
              1500);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  const TimePoint start = Clock::now();
  if (aSetting.mHasTrouble) {
    aSetting.mRecord.Write("store turns machines away");
    fleet.Platform().TurnAway(kTurnedAway);
  }
  Pause(200);
  fleet.Lead("after");
  const TimePoint acknowledged = Clock::now();
  struct Sent
  {
    std::string mMachine;
    std::string mId;
    milliseconds mAfterAck;
  };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::list<std::unique_ptr<Crowd>> clients;
  for (Fleet::Machine& machine : fleet.Machines()) {
    clients.push_back(std::make_unique<Crowd>(1, [&](size_t) {
      Socket socket = Socket::Connect(machine.mNode->Callers());
      while (Clock::now() < start + kTime + milliseconds(2000)) {
        const auto after =
          std::chrono::duration_cast<milliseconds>(Clock::now() - acknowledged);
        const Ended ended = fleet.Ask(socket, "GET", "/read/5", "", 1500);
        {
          const std::lock_guard lock(mutex);
          sent.push_back({ machine.mName, ended.mId, after });
        }
        Pause(100);
      }
    }));
  }
  std::this_thread::sleep_until(start + kTime);
  fleet.Platform().TakeBack();
  aSetting.mRecord.Write("store serves all machines");
  clients.clear();
  const auto turnedAway = fleet.Platform().EverTurnedAway();
  size_t stale = 0;
  milliseconds latest{};
  for (const Sent& it : sent) {
    if (!turnedAway.contains(it.mMachine) &&
        fleet.RunsOf(it.mId, "before") > 0) {
      latest = std::max(latest, it.mAfterAck);
      stale += it.mAfterAck > kConfig + kOuter ? 1 : 0;
    }
  }
  aSetting.mRecord.Tell(
    "machines turned away: " + std::to_string(turnedAway.size()) + " of " +
    std::to_string(kMachines));
  aSetting.mRecord.Tell(
    "latest request at one of the others that the service before the change "
    "ran: sent " +
    std::to_string(latest.count()) + " ms after the ack");
  aSetting.mRecord.Tell("such requests sent over 7500 ms after it: " +
                        std::to_string(stale) + " (none allowed)");
  return stale > 0 ? kBroken : kHeld;
}

} // namespace

int
main(int aCount, char** aWords)
{
  const std::map<std::string, int (*)(const Setting&)> cases{
    { "short-requests", ShortRequests },
    { "short-header-lines", ShortHeaderLines },
    { "large-body", LargeBody },
    { "planned-stop", PlannedStop },
    { "store-refusals", StoreRefusals },
  };
  const auto it = aCount == 5 ? cases.find(aWords[1]) : cases.end();
  if (it == cases.end()) {
    std::cerr << "usage: review-cases CASE ROOT FOLDER RECORD\n";
    return kNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  Record record(aWords[4]);
  try {
    const Setting setting{ .mRoot = aWords[2],
                           .mFolder = aWords[3],
                           .mRecord = record,
                           .mHasTrouble =
                             !trouble || std::string_view(trouble) != "0" };
    const int verdict = it->second(setting);
    record.Tell(verdict == kBroken ? "broken"
                : verdict == kHeld ? "held"
                                   : "not run: the deployment did not start");
    return verdict;
  } catch (const std::exception& error) {
    record.Tell(std::string("not run: ") + error.what());
    return kNotRun;
  }
}
