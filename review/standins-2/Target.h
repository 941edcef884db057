#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "Net.h"
#include "Record.h"

namespace review {

/** Sound stand-in of a target: reports itself to the node beside it, answers
 * status checks, and serves one request at a time on a connection. The path
 * tells how long it works: `/PREFIX/MILLIS`. */
class Target
{
public:
  struct Options
  {
    std::string mService;
    std::string mInstance;
    std::string mHost;
    std::string mZone;
    int mSlots = 60;
    int mHeartbeatMillis = 1500;
  };

  Target(Options aOptions, Record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
    , mBorn(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count())
    , mListener({ mOptions.mHost, 0 })
    , mAcceptor([this] { Accept(); })
  {
  }
  ~Target()
  {
    mStopped = true;
    mAcceptor.join();
    if (mReporter.joinable()) {
      mReporter.join();
    }
    for (std::thread& it : mThreads) {
      it.join();
    }
  }
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;

  /** Bytes of an answer to a request below `/page/`. */
  static constexpr size_t kPageBytes = 9'000;

  [[nodiscard]] std::string At() const { return mListener.At().Text(); }
  /** Begins to report itself to the node beside it. */
  void ReportTo(const Address& aNode)
  {
    mReporter = std::thread([this, aNode] { Report(aNode); });
  }
  /** @return how often it began to work on a request. */
  size_t RunsOf(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    const auto it = mRuns.find(aId);
    return it == mRuns.end() ? 0 : it->second;
  }

private:
  void Report(const Address& aNode)
  {
    for (uint64_t sequence = 1; !mStopped; ++sequence) {
      const std::string body = nlohmann::json{
        { "service", mOptions.mService },
        { "address", At() },
        { "zone", mOptions.mZone },
        { "version", "v1" },
        { "slots", mOptions.mSlots },
        { "state", "ready" },
        { "coldRemainingMs", 0 },
        { "seq", sequence },
        { "born", mBorn }
      }.dump();
      Socket socket = Socket::Connect(aNode);
      Message answer;
      const bool isAcknowledged =
        socket.IsOpen() &&
        socket.Send("POST /v1/instances/" + mOptions.mInstance +
                    "/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: "
                    "application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body) &&
        socket.Read(answer, Clock::now() + milliseconds(1000)) ==
          ReadEnd::Complete;
      const int pause = isAcknowledged ? mOptions.mHeartbeatMillis : 200;
      for (int n = 0; n < pause && !mStopped; n += 50) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
  }

  void Accept()
  {
    while (!mStopped) {
      if (Socket socket = mListener.Accept(); socket.IsOpen()) {
        mThreads.emplace_back(
          [this, held = std::make_shared<Socket>(std::move(socket))] {
            Serve(*held);
          });
      }
    }
  }

  void Serve(Socket& aSocket)
  {
    Message request;
    while (!mStopped) {
      const auto end = aSocket.Read(request, Clock::now() + milliseconds(200));
      if (end == ReadEnd::Closed) {
        return;
      }
      if (end == ReadEnd::Complete && !aSocket.Send(Handle(request))) {
        return;
      }
    }
  }

  std::string Handle(const Message& aRequest)
  {
    const std::string id = aRequest.Header("x-amaranthgap-request-id");
    const std::string path = aRequest.Word(1);
    const std::string instance =
      "X-Amaranthgap-Instance-Id: " + mOptions.mInstance + "\r\n";
    if (path == "/health") {
      return "HTTP/1.1 200 OK\r\n" + instance + "Content-Length: 0\r\n\r\n";
    }
    if (aRequest.Header("x-amaranthgap-expected-instance") !=
        mOptions.mInstance) {
      return "HTTP/1.1 421 Misdirected Request\r\n" + instance +
             "Content-Length: 0\r\n\r\n";
    }
    {
      const std::lock_guard lock(mMutex);
      ++mRuns[id];
    }
    mRecord.Write("target " + mOptions.mInstance + " runs " + id + " " +
                  aRequest.Word(0) + " " + path + ", " +
                  std::to_string(aRequest.mBody.size()) + " bytes");
    const std::string work = path.substr(path.rfind('/') + 1);
    std::this_thread::sleep_for(
      milliseconds(work.empty() ? 0 : std::stoi(work)));
    const std::string body =
      path.starts_with("/page/") ? std::string(kPageBytes, 'p') : "done";
    return "HTTP/1.1 200 OK\r\nX-Amaranthgap-Request-Id: " + id +
           "\r\nX-Amaranthgap-Response-Signature: signature-of-" + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  Options mOptions;
  Record& mRecord;
  int64_t mBorn;
  std::atomic<bool> mStopped = false;
  std::mutex mMutex;
  std::map<std::string, size_t> mRuns; ///< By id of the request.
  std::list<std::thread> mThreads;
  Listener mListener;
  std::thread mAcceptor;
  std::thread mReporter;
};

} // namespace review
