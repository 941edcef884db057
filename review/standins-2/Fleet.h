#pragma once

#include <list>
#include <random>

#include "Node.h"
#include "Record.h"
#include "Store.h"
#include "Target.h"

namespace review {

/** How a client's request ended. */
enum class Outcome : uint8_t
{
  Success,
  Refused, ///< 408, 421, 429 or 503: not run.
  Denied,  ///< Another 3xx or 4xx.
  Failed,  ///< 5xx other than 503.
  Closed,  ///< The connection ended without a complete answer.
  Unanswered,
};

struct Ended
{
  std::string mId;
  Outcome mOutcome = Outcome::Unanswered;
  std::string mStatus;
  milliseconds mTime{};
};

/** Machines of a small deployment with a store. One machine, alone in its zone,
 * hosts the service "front", to which no route leads; the others host "back".
 */
class Fleet
{
public:
  struct Machine
  {
    std::unique_ptr<Target> mTarget;
    std::unique_ptr<Node> mNode;
  };
  struct Limits
  {
    size_t mMemoryMb = 160;
    size_t mDescriptors = 4100;
  };

  /** @param aBacks limits of the machines of "back". */
  Fleet(std::string aRoot,
        std::string aFolder,
        Record& aRecord,
        Limits aFront,
        const std::vector<Limits>& aBacks,
        int aTimeoutMillis)
    : mRoot(std::move(aRoot))
    , mFolder(std::move(aFolder))
    , mRecord(aRecord)
    , mNetwork(DrawNetwork())
    , mStore(mNetwork + ".1")
  {
    mStore.Put("op/config", Configuration(aTimeoutMillis));
    Add("front", aFront);
    for (const Limits& it : aBacks) {
      Add("back", it);
    }
  }

  [[nodiscard]] Node& Front() { return *mMachines.front().mNode; }
  [[nodiscard]] std::list<Machine>& Machines() { return mMachines; }
  /** @return how often the targets began to work on a request. */
  size_t RunsOf(const std::string& aId)
  {
    size_t out = 0;
    for (const Machine& it : mMachines) {
      out += it.mTarget->RunsOf(aId);
    }
    return out;
  }

  /** Waits until a request from the front is served, and the time after which
   * machines are in touch has passed. @return whether that came. */
  bool Settle()
  {
    constexpr int kTouchMillis = 4000;
    const TimePoint end = Clock::now() + milliseconds(20'000);
    while (Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(200));
      if (!Front().IsReady()) {
        continue;
      }
      Socket socket = Socket::Connect(Front().Callers());
      if (Ask(socket, "GET", "/read/1", "", 2000).mOutcome ==
          Outcome::Success) {
        std::this_thread::sleep_for(milliseconds(kTouchMillis));
        return true;
      }
    }
    return false;
  }

  /** Sends a request on an open connection and reads its answer. */
  Ended Ask(Socket& aSocket,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            int aTimeLimitMillis)
  {
    const std::string id = NewId();
    const TimePoint start = Clock::now();
    const std::string framing =
      aMethod == "GET"
        ? ""
        : "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    aSocket.Send(Head(aMethod, aPath, id, aTimeLimitMillis) + framing + "\r\n" +
                 aBody);
    return Receive(aSocket, id, aMethod + ' ' + aPath, start, aTimeLimitMillis);
  }

  /** Reads the answer to a request that was sent before. */
  Ended Receive(Socket& aSocket,
                const std::string& aId,
                const std::string& aRequest,
                TimePoint aSent,
                int aTimeLimitMillis)
  {
    Ended out;
    out.mId = aId;
    Message answer;
    switch (
      aSocket.Read(answer, aSent + milliseconds(aTimeLimitMillis + 2000))) {
      case ReadEnd::Complete:
        out.mStatus = answer.Word(1);
        out.mOutcome = OutcomeOf(out.mStatus);
        break;
      case ReadEnd::Closed:
        out.mOutcome = Outcome::Closed;
        break;
      case ReadEnd::TimedOut:
        break;
    }
    out.mTime = std::chrono::duration_cast<milliseconds>(Clock::now() - aSent);
    mRecord.Write("client: " + aId + " " + aRequest + ": " + Text(out));
    return out;
  }

  std::string NewId() { return "q" + std::to_string(++mLastId); }
  static std::string Head(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId,
                          int aTimeLimitMillis)
  {
    return aMethod + ' ' + aPath +
           " HTTP/1.1\r\nHost: h.example\r\nX-Amaranthgap-Request-Id: " + aId +
           "\r\nX-Amaranthgap-Deadline-Ms: " +
           std::to_string(aTimeLimitMillis) + "\r\n";
  }

  static std::string Text(const Ended& aEnded)
  {
    const std::string time =
      " after " + std::to_string(aEnded.mTime.count()) + " ms";
    switch (aEnded.mOutcome) {
      case Outcome::Closed:
        return "closed without an answer" + time;
      case Outcome::Unanswered:
        return "no answer" + time;
      default:
        return aEnded.mStatus + time;
    }
  }

private:
  static Outcome OutcomeOf(const std::string& aStatus)
  {
    if (aStatus.starts_with("2")) {
      return Outcome::Success;
    }
    if (aStatus == "408" || aStatus == "421" || aStatus == "429" ||
        aStatus == "503") {
      return Outcome::Refused;
    }
    return aStatus.starts_with("5") ? Outcome::Failed : Outcome::Denied;
  }

  /** @return the first three numbers of loopback addresses of this run. */
  static std::string DrawNetwork()
  {
    std::random_device device;
    return "127." + std::to_string(64 + device() % 128) + '.' +
           std::to_string(1 + device() % 250);
  }

  static std::string Configuration(int aTimeoutMillis)
  {
    using Json = nlohmann::json;
    const auto rule = [&](const char* aName, const char* aKind) {
      return Json{ { "name", aName },
                   { "match",
                     { { "prefix", std::string("/") + aName + '/' } } },
                   { "routeType", aKind },
                   { "priority", 1 },
                   { "aimMs", 1000 },
                   { "action",
                     { { "service", "back" },
                       { "timeoutMs", aTimeoutMillis },
                       { "attempts", 2 } } } };
    };
    const auto cluster = [](const char* aName) {
      return Json{ { "name", aName },
                   { "healthPath", "/health" },
                   { "maxConnections", 300 },
                   { "protocol", "h1" },
                   { "tls", false } };
    };
    Json out{
      { "version", "00000003" },
      { "limits",
        { { "maxHeaderBytes", 16384 },
          { "maxBodyBytes", 67108864 },
          { "headerTimeoutMs", 3000 },
          { "idleTimeoutMs", 15000 } } },
      { "listeners",
        Json::array({ { { "hostname", "h.example" },
                        { "ruleSet",
                          Json::array({ rule("read", "safe"),
                                        rule("book", "non_idempotent"),
                                        rule("photo", "upload"),

                                        rule("page", "safe") }) } } }) },
      { "clusters", Json::array({ cluster("front"), cluster("back") }) }
    };
    return out.dump();
  }

  void Add(const std::string& aService, const Limits& aLimits)
  {
    const std::string number = std::to_string(mMachines.size() + 1);
    const std::string zone = "zone-" + aService;
    const std::string host =
      mNetwork + '.' + std::to_string(mMachines.size() + 10);
    Machine machine;
    machine.mTarget =
      std::make_unique<Target>(Target::Options{ .mService = aService,
                                                .mInstance = "i-" + number,
                                                .mHost = host,
                                                .mZone = zone },
                               mRecord);
    machine.mNode = std::make_unique<Node>(
      Node::Options{ .mRoot = mRoot,
                     .mFolder = mFolder,
                     .mName = "sidecar-" + zone + "-" + number,
                     .mHost = host,
                     .mRegion = "region-1",
                     .mZone = zone,
                     .mService = aService,
                     .mTarget = machine.mTarget->At(),
                     .mStore = mStore.At(),
                     .mMemoryMb = aLimits.mMemoryMb,
                     .mDescriptors = aLimits.mDescriptors },
      mRecord);
    machine.mTarget->ReportTo(machine.mNode->Reports());
    mMachines.push_back(std::move(machine));
  }

  std::string mRoot;
  std::string mFolder;
  Record& mRecord;
  std::string mNetwork;
  Store mStore;
  std::list<Machine> mMachines;
  std::atomic<uint64_t> mLastId = 0;
};

} // namespace review
