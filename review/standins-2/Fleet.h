#pragma once

#include <list>
#include <random>
#include <set>

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

/** Machines of a small deployment with a store. */
class Fleet
{
public:
  /** What a machine is and hosts. */
  struct MachineOptions
  {
    std::string mService;
    std::string mZone;
    size_t mMemoryMb = 160;
  };
  struct Machine
  {
    std::string mName;
    std::string mService;
    std::unique_ptr<Target> mTarget;
    std::unique_ptr<Node> mNode;
  };

  /** @param aService to which the first configuration leads all routes. */
  Fleet(std::string aRoot,
        std::string aFolder,
        Record& aRecord,
        const std::vector<MachineOptions>& aMachines,
        const std::string& aService,
        int aTimeoutMillis)
    : mRoot(std::move(aRoot))
    , mFolder(std::move(aFolder))
    , mRecord(aRecord)
    , mTimeoutMillis(aTimeoutMillis)
    , mNetwork(DrawNetwork())
    , mStore(mNetwork + ".1")
  {
    for (const MachineOptions& it : aMachines) {
      mServices.insert(it.mService);
    }
    Lead(aService);
    for (const MachineOptions& it : aMachines) {
      Add(it);
    }
  }

  [[nodiscard]] Store& Platform() { return mStore; }
  /** Leads all routes to a service, by a new configuration. */
  void Lead(const std::string& aService)
  {
    mVersion += 3;
    mStore.Put("op/config", Configuration(aService));
    mRecord.Write("operator: version " + std::to_string(mVersion) +
                  ", all routes to " + aService);
  }
  [[nodiscard]] Node& Front() { return *mMachines.front().mNode; }
  [[nodiscard]] std::list<Machine>& Machines() { return mMachines; }
  /** @return how often the targets of a service, or of any if it is empty,
   * began to work on a request. */
  size_t RunsOf(const std::string& aId, const std::string& aService = "")
  {
    size_t out = 0;
    for (const Machine& it : mMachines) {
      if (aService.empty() || aService == it.mService) {
        out += it.mTarget->RunsOf(aId);
      }
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

  std::string Configuration(const std::string& aService) const
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
                     { { "service", aService },
                       { "timeoutMs", mTimeoutMillis },
                       { "attempts", 2 } } } };
    };
    const auto cluster = [](const std::string& aName) {
      return Json{ { "name", aName },
                   { "healthPath", "/health" },
                   { "maxConnections", 300 },
                   { "protocol", "h1" },
                   { "tls", false } };
    };
    Json clusters = Json::array();
    for (const std::string& it : mServices) {
      clusters.push_back(cluster(it));
    }
    std::string version = std::to_string(mVersion);
    version.insert(0, 8 - version.size(), '0'); // Digits are hexadecimal.
    Json out{ { "version", version },
              { "limits",
                { { "maxHeaderBytes", 16384 },
                  { "maxBodyBytes", 67108864 },
                  { "headerTimeoutMs", 3000 },
                  { "idleTimeoutMs", 15000 } } },
              { "listeners",
                Json::array(
                  { { { "hostname", "h.example" },
                      { "ruleSet",
                        Json::array({ rule("read", "safe"),
                                      rule("book", "non_idempotent"),
                                      rule("photo", "upload"),

                                      rule("page", "safe") }) } } }) },
              { "clusters", clusters } };
    return out.dump();
  }

  void Add(const MachineOptions& aOptions)
  {
    const std::string number = std::to_string(mMachines.size() + 1);
    const std::string host =
      mNetwork + '.' + std::to_string(mMachines.size() + 10);
    Machine machine;
    machine.mName = "sidecar-" + aOptions.mZone + '-' + number;
    machine.mService = aOptions.mService;
    machine.mTarget =
      std::make_unique<Target>(Target::Options{ .mService = aOptions.mService,
                                                .mInstance = "i-" + number,
                                                .mHost = host,
                                                .mZone = aOptions.mZone },
                               mRecord);
    machine.mNode = std::make_unique<Node>(
      Node::Options{ .mRoot = mRoot,
                     .mFolder = mFolder,
                     .mName = machine.mName,
                     .mHost = host,
                     .mRegion = "region-1",
                     .mZone = aOptions.mZone,
                     .mService = aOptions.mService,
                     .mTarget = machine.mTarget->At(),
                     .mStore = mStore.Open(machine.mName),
                     .mMemoryMb = aOptions.mMemoryMb },
      mRecord);
    machine.mTarget->ReportTo(machine.mNode->Reports());
    mMachines.push_back(std::move(machine));
  }

  std::string mRoot;
  std::string mFolder;
  Record& mRecord;
  int mTimeoutMillis;
  int mVersion = 0;
  std::set<std::string> mServices;
  std::string mNetwork;
  Store mStore;
  std::list<Machine> mMachines;
  std::atomic<uint64_t> mLastId = 0;
};

} // namespace review
