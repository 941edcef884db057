#pragma once

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <spawn.h>
#include <sys/wait.h>

#include "Net.h"
#include "Record.h"

namespace review {

/** Process of the program beside one target, started as the deploy file says.
 * Does what the platform does: ends it with SIGKILL if it exceeds the memory of
 * its machine, and starts it again after a short delay whenever it ends. */
class Node
{
public:
  struct Options
  {
    std::string mRoot; ///< Of the repository.
    std::string mFolder;
    std::string mName;
    std::string mHost;
    std::string mRegion;
    std::string mZone;
    std::string mService;
    std::string mTarget; ///< Address of the target beside it.
    std::string mStore;
    size_t mMemoryMb = 160;
    size_t mDescriptors = 4100;
    int mGraceSeconds = 6;
  };

  Node(Options aOptions, Record& aRecord)
    : mOptions(std::move(aOptions))
    , mRecord(aRecord)
    , mCallers{ mOptions.mHost, FreePort(mOptions.mHost) }
    , mReady{ mOptions.mHost, FreePort(mOptions.mHost) }
    , mReports{ mOptions.mHost, FreePort(mOptions.mHost) }
    , mPeers{ mOptions.mHost, FreePort(mOptions.mHost) }
  {
    WriteSettings();
    Start();
    mPlatform = std::thread([this] { Watch(); });
  }
  ~Node()
  {
    mStopped = true;
    mPlatform.join();
    if (mPid > 0) {
      kill(mPid, SIGKILL);
      waitpid(mPid, nullptr, 0);
    }
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  [[nodiscard]] const Address& Callers() const { return mCallers; }
  [[nodiscard]] const Address& Reports() const { return mReports; }
  /** @return how often its process ended by itself or for its memory. */
  [[nodiscard]] size_t Ends() const { return mEnds; }
  /** @return the most memory that any process of it was seen to hold. */
  [[nodiscard]] size_t PeakMemoryMb() const { return mPeakMemoryMb; }
  /** Sends its process SIGTERM, and SIGKILL once the grace is over; the
   * platform starts it again. */
  void Terminate()
  {
    mRecord.Write("SIGTERM for " + mOptions.mName);
    mKillAt = Clock::now() + std::chrono::seconds(mOptions.mGraceSeconds);
    kill(mPid, SIGTERM);
  }
  /** @return whether it says that it is ready. */
  bool IsReady() const
  {
    Socket socket = Socket::Connect(mReady);
    Message answer;
    return socket.IsOpen() &&
           socket.Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           socket.Read(answer, Clock::now() + milliseconds(1000)) ==
             ReadEnd::Complete &&
           answer.Word(1) == "200";
  }

private:
  static void Replace(std::string& aText,
                      const std::string& aMark,
                      const std::string& aValue)
  {
    for (size_t at = aText.find(aMark); at != std::string::npos;
         at = aText.find(aMark, at + aValue.size())) {
      aText.replace(at, aMark.size(), aValue);
    }
  }

  void WriteSettings()
  {
    std::ifstream in(mOptions.mRoot + "/deploy/proxy.toml");
    std::stringstream text;
    text << in.rdbuf();
    std::string settings = text.str();
    const std::string port = std::to_string(mPeers.mPort);
    const std::pair<const char*, std::string> values[] = {
      { "{{node}}", mOptions.mName },
      { "{{region}}", mOptions.mRegion },
      { "{{zone}}", mOptions.mZone },
      { "{{service}}", mOptions.mService },
      { "{{appAddr}}", mOptions.mTarget },
      { "{{listen.outbound}}", mCallers.Text() },
      { "{{listen.ready}}", mReady.Text() },
      { "{{listen.control}}", mReports.Text() },
      { "{{ip}}", mOptions.mHost },
      { "{{internalPorts.0}}", port },
      { "{{platform.address}}", mOptions.mStore },
      { "{{bounds.graceS}}", std::to_string(mOptions.mGraceSeconds) },
    };
    for (const auto& [mark, value] : values) {
      Replace(settings, mark, value);
    }
    std::ofstream(SettingsPath()) << settings;
  }

  [[nodiscard]] std::string SettingsPath() const
  {
    return mOptions.mFolder + '/' + mOptions.mName + ".toml";
  }

  void Start()
  {
    std::string words[] = { mOptions.mRoot + "/target/app/amaranthgap",
                            "proxy",
                            "--settings-variable",
                            "AMARANTHGAP_BOOT" };
    std::string variables[] = {
      "AMARANTHGAP_BOOT=" + SettingsPath(),
      "AMARANTHGAP_MEMORY_MB=" + std::to_string(mOptions.mMemoryMb),
      "AMARANTHGAP_MAX_DESCRIPTORS=" + std::to_string(mOptions.mDescriptors)
    };
    char* arguments[] = { words[0].data(),
                          words[1].data(),
                          words[2].data(),
                          words[3].data(),
                          nullptr };
    char* environment[] = {
      variables[0].data(), variables[1].data(), variables[2].data(), nullptr
    };
    const std::string log = mOptions.mFolder + '/' + mOptions.mName + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(
      &files, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    if (posix_spawn(
          &pid, arguments[0], &files, nullptr, arguments, environment) != 0) {
      throw std::runtime_error("cannot start " + words[0]);
    }
    posix_spawn_file_actions_destroy(&files);
    mPid = pid;
    std::ofstream(mOptions.mFolder + "/pids", std::ios::app) << pid << '\n';
    mRecord.Write("platform starts " + mOptions.mName);
  }

  [[nodiscard]] size_t MemoryMb() const
  {
    std::ifstream in("/proc/" + std::to_string(mPid) + "/status");
    std::string word;
    while (in >> word) {
      if (word == "VmRSS:") {
        size_t kilobytes = 0;
        in >> kilobytes;
        return kilobytes / 1024;
      }
    }
    return 0;
  }

  void Watch()
  {
    while (!mStopped) {
      std::this_thread::sleep_for(milliseconds(10));
      const size_t memory = MemoryMb();
      mPeakMemoryMb = std::max<size_t>(mPeakMemoryMb, memory);
      if (memory > mOptions.mMemoryMb) {
        mRecord.Write("platform ends " + mOptions.mName + ": it holds " +
                      std::to_string(memory) + " MB of " +
                      std::to_string(mOptions.mMemoryMb));
        kill(mPid, SIGKILL);
      }
      if (mPid > 0 && Clock::now() > mKillAt.load()) {
        mKillAt = TimePoint::max();
        mRecord.Write("platform ends " + mOptions.mName + " after its grace");
        kill(mPid, SIGKILL);
      }
      int status = 0;
      if (waitpid(mPid, &status, WNOHANG) == mPid) {
        mPid = 0;
        ++mEnds;
        mKillAt = TimePoint::max();
        mRecord.Write(mOptions.mName + " has ended: " +
                      (WIFSIGNALED(status)
                         ? "signal " + std::to_string(WTERMSIG(status))
                         : "status " + std::to_string(WEXITSTATUS(status))));
        constexpr int kRestartMillis = 500;
        std::this_thread::sleep_for(milliseconds(kRestartMillis));
        Start();
      }
    }
  }

  Options mOptions;
  Record& mRecord;
  Address mCallers;
  Address mReady;
  Address mReports;
  Address mPeers;
  std::atomic<pid_t> mPid = 0;
  std::atomic<bool> mStopped = false;
  std::atomic<TimePoint> mKillAt = TimePoint::max();
  std::atomic<size_t> mEnds = 0;
  std::atomic<size_t> mPeakMemoryMb = 0;
  std::thread mPlatform;
};

} // namespace review
