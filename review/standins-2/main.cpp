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
  Fleet fleet(
    aSetting.mRoot, aSetting.mFolder, aSetting.mRecord, {}, { {}, {} }, 5000);
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
  Fleet fleet(
    aSetting.mRoot, aSetting.mFolder, aSetting.mRecord, {}, { {}, {} }, 5000);
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

/** Some clients send requests with many connection options and trailers. */
int
ConnectionOptions(const Setting& aSetting)
{
  constexpr int kTimeoutMillis = 1500;
  constexpr int kHalfSecond = 500;
  Fleet fleet(aSetting.mRoot,
              aSetting.mFolder,
              aSetting.mRecord,
              {},
              { {}, {} },
              kTimeoutMillis);
  if (!fleet.Settle()) {
    return kNotRun;
  }
  Tally tally;
  std::atomic<bool> isOver = false;
  Crowd callers(20, [&](size_t aNumber) {
    Pause(int(aNumber) * 10);
    Socket socket = Socket::Connect(fleet.Front().Callers());
    while (!isOver) {
      const Ended ended = fleet.Ask(socket, "GET", "/read/20", "", 3000);
      tally.Add(ended);
      if (ended.mOutcome != Outcome::Success) {
        socket = Socket::Connect(fleet.Front().Callers());
      }
      Pause(200);
    }
  });
  std::atomic<int> asked = 0;
  std::atomic<int> ready = 0;
  Crowd platform(1, [&](size_t) {
    while (!isOver) {
      ++asked;
      ready += fleet.Front().IsReady() ? 1 : 0;
      Pause(1000);
    }
  });
  Pause(2000);
  const std::string options = "Connection: " + Repeat("b,", 7800) + "b\r\n";
  const std::string plain = "Connection: " + std::string(15'600, 'b') + "\r\n";
  const std::string trailers = Repeat("a:\r\n", 3900);
  const std::string trailer = "a: " + std::string(15'595, 'x') + "\r\n";
  constexpr size_t kClients = 40;
  constexpr size_t kRequests = 6;
  std::list<Socket> clients;
  for (size_t n = 0; n < kClients; ++n) {
    std::string requests;
    for (size_t k = 0; k < kRequests; ++k) {
      requests += Fleet::Head("GET", "/read/20", fleet.NewId(), 5000) +
                  "Transfer-Encoding: chunked\r\n" +
                  (aSetting.mHasTrouble ? options : plain) +
                  "\r\n1\r\nx\r\n0\r\n" +
                  (aSetting.mHasTrouble ? trailers : trailer) + "\r\n";
    }
    clients.push_back(Socket::Connect(fleet.Front().Callers()));
    clients.back().Send(requests, milliseconds(100));
    Pause(40);
  }
  aSetting.mRecord.Tell("hostile clients: " + std::to_string(kClients) +
                        ", each with " + std::to_string(kRequests) +
                        " requests of about 31 KB");
  Pause(12'000);
  isOver = true;
  callers.Join();
  platform.Join();
  size_t late = 0;
  size_t over = 0;
  for (const Ended& it : tally.All()) {
    late += it.mTime.count() > kTimeoutMillis ? 1 : 0;
    over += it.mTime.count() > kTimeoutMillis + kHalfSecond ? 1 : 0;
  }
  aSetting.mRecord.Tell("ordinary requests: " + tally.Text());
  aSetting.mRecord.Tell(
    "unanswered at the timeout of the route: " + std::to_string(late) +
    ", of them without an answer half a second later: " + std::to_string(over));
  aSetting.mRecord.Tell(
    "asked whether it is ready: " + std::to_string(asked) +
    " times, answered within a second: " + std::to_string(ready));
  constexpr size_t kLeast = 10;
  return late >= kLeast && 2 * over > late ? kBroken : kHeld;
}

/** Single clients send a large body each, in calm. */
int
LargeBody(const Setting& aSetting)
{
  constexpr size_t kMegabyte = size_t(1024) * 1024;
  constexpr size_t kLargeMemoryMb = 512;
  Fleet fleet(
    aSetting.mRoot,
    aSetting.mFolder,
    aSetting.mRecord,
    {},
    { { .mMemoryMb = kLargeMemoryMb }, { .mMemoryMb = kLargeMemoryMb } },
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
  Fleet fleet(
    aSetting.mRoot, aSetting.mFolder, aSetting.mRecord, {}, { {}, {} }, 5000);
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

} // namespace

int
main(int aCount, char** aWords)
{
  const std::map<std::string, int (*)(const Setting&)> cases{
    { "short-requests", ShortRequests },
    { "short-header-lines", ShortHeaderLines },
    { "connection-options", ConnectionOptions },
    { "large-body", LargeBody },
    { "planned-stop", PlannedStop },
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
