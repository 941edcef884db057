#include <csignal>
#include <cstdio>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "Relay.h"
#include "StoreStandin.h"
#include "UpstreamStandin.h"

using namespace amaranthgap;

namespace {

constexpr int kUsageStatus = 2;
constexpr int kListenStatus = 3;

// The signals are blocked before any thread starts, so that only this call
// receives them.
void
BlockSignals(sigset_t& aSignals)
{
  sigemptyset(&aSignals);
  sigaddset(&aSignals, SIGTERM);
  sigaddset(&aSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &aSignals, nullptr);
  (void)std::signal(SIGPIPE, SIG_IGN);
}

void
WaitForSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

int
RunStore(int argc, char** argv)
{
  cxxopts::Options options("amaranthgap-standin store", "Key-value service");
  options.add_options()("listen", "Address", cxxopts::value<std::string>())(
    "control",
    "Address of the control endpoint",
    cxxopts::value<std::string>()->default_value(""))(
    "max-calls-per-s",
    "Refuses calls above this rate",
    cxxopts::value<uint32_t>()->default_value("2000"))(
    "latency-ms",
    "Time of each call",
    cxxopts::value<uint32_t>()->default_value("2"));
  const auto parsed = options.parse(argc, argv);
  const StoreStandin::Options chosen{
    .mListen = parsed["listen"].as<std::string>(),
    .mControl = parsed["control"].as<std::string>(),
    .mMaxCallsPerSecond = parsed["max-calls-per-s"].as<uint32_t>(),
    .mLatencyMs = parsed["latency-ms"].as<uint32_t>(),
  };
  sigset_t signals{};
  BlockSignals(signals);
  StoreStandin store(chosen);
  if (!store.Start()) {
    fmt::print(stderr, "event=listen-failed address={}\n", chosen.mListen);
    return kListenStatus;
  }
  WaitForSignal(signals);
  store.Stop();
  return 0;
}

cxxopts::Options
UpstreamArguments()
{
  using cxxopts::value;
  cxxopts::Options options("amaranthgap-standin upstream", "A service");
  auto add = options.add_options();
  add("service", "Name of the service", value<std::string>());
  add("listen", "Address", value<std::string>());
  add("control", "Control endpoint", value<std::string>()->default_value(""));
  add("node",
      "Local address of the node beside it",
      value<std::string>()->default_value(""));
  add("slots", "Parallel work", value<uint32_t>()->default_value("8"));
  add("announced-slots",
      "Announced instead of the true number; 0: the true number",
      value<uint32_t>()->default_value("0"));
  add("max-queue",
      "Sheds with 503 beyond this queue length",
      value<uint32_t>()->default_value("1024"));
  add("service-ms", "Mean time", value<double>()->default_value("10"));
  add("exponential", "Exponential service times");
  add("seed", "Of the service times", value<uint64_t>()->default_value("1"));
  add("child",
      "service:class[:count[:once]], may be repeated",
      value<std::vector<std::string>>());
  add("warm-up-ms", "As announced", value<uint32_t>()->default_value("0"));
  add(
    "cold-ms", "Length of a cold start", value<uint32_t>()->default_value("0"));
  add("cold-factor",
      "Of the service time at the start",
      value<double>()->default_value("4"));
  add("answer-bytes", "Body size", value<uint32_t>()->default_value("64"));
  add("crash-mark",
      "Text in a body that ends the process",
      value<std::string>()->default_value(""));
  add("drain-ms", "Longest drain", value<uint32_t>()->default_value("10000"));
  add("load-factor", "Of reported load", value<double>()->default_value("1"));
  add("load-lag-ms", "Of /load", value<uint32_t>()->default_value("0"));
  add("health",
      "true, always-up or always-down",
      value<std::string>()->default_value("true"));
  return options;
}

UpstreamOptions
ReadUpstream(const cxxopts::ParseResult& aParsed)
{
  const auto number = [&](const char* aName) {
    return aParsed[aName].as<uint32_t>();
  };
  const auto text = [&](const char* aName) {
    return aParsed[aName].as<std::string>();
  };
  UpstreamOptions out{
    .mService = text("service"),
    .mListen = text("listen"),
    .mControl = text("control"),
    .mNode = text("node"),
    .mSlots = number("slots"),
    .mAnnouncedSlots = number("announced-slots"),
    .mMaxQueue = number("max-queue"),
    .mServiceMs = aParsed["service-ms"].as<double>(),
    .mIsExponential = aParsed.count("exponential") > 0,
    .mSeed = aParsed["seed"].as<uint64_t>(),
    .mWarmUpMs = number("warm-up-ms"),
    .mColdMs = number("cold-ms"),
    .mColdFactor = aParsed["cold-factor"].as<double>(),
    .mAnswerBytes = number("answer-bytes"),
    .mCrashMark = text("crash-mark"),
    .mDrainMs = number("drain-ms"),
    .mLoadFactor = aParsed["load-factor"].as<double>(),
    .mLoadLagMs = number("load-lag-ms"),
    .mHealth = text("health"),
  };
  if (aParsed.count("child") > 0) {
    for (const auto& spec : aParsed["child"].as<std::vector<std::string>>()) {
      const auto child = ChildCall::Parse(spec);
      if (!child) {
        throw std::invalid_argument(fmt::format("bad child call {}", spec));
      }
      out.mChildren.push_back(*child);
    }
  }
  return out;
}

int
RunUpstream(int argc, char** argv)
{
  auto arguments = UpstreamArguments();
  const auto options = ReadUpstream(arguments.parse(argc, argv));
  sigset_t signals{};
  BlockSignals(signals);
  UpstreamStandin upstream(options);
  if (!upstream.Start()) {
    fmt::print(stderr, "event=listen-failed address={}\n", options.mListen);
    return kListenStatus;
  }
  WaitForSignal(signals);
  upstream.Drain();
  return 0;
}

int
RunRelay(int argc, char** argv)
{
  using Texts = std::vector<std::string>;
  cxxopts::Options options("amaranthgap-standin relay", "A network to cut");
  options.add_options()(
    "control", "Control endpoint", cxxopts::value<std::string>())(
    "route", "LISTEN=TARGET[@GROUP], may be repeated", cxxopts::value<Texts>())(
    "group", "GROUP=ADDRESS-PREFIX, may be repeated", cxxopts::value<Texts>());
  const auto parsed = options.parse(argc, argv);
  Relay::Options chosen{ .mControl = parsed["control"].as<std::string>() };
  for (const auto& route : parsed["route"].as<Texts>()) {
    chosen.mRoutes.push_back(Relay::Route::Parse(route));
  }
  for (const auto& group : parsed["group"].as<Texts>()) {
    const size_t equals = group.find('=');
    if (equals == std::string::npos) {
      throw std::invalid_argument(fmt::format("bad group {}", group));
    }
    chosen.mGroupOfPrefix[group.substr(equals + 1)] = group.substr(0, equals);
  }
  sigset_t signals{};
  BlockSignals(signals);
  Relay relay(chosen);
  if (!relay.Start()) {
    fmt::print(stderr, "event=listen-failed address={}\n", chosen.mControl);
    return kListenStatus;
  }
  WaitForSignal(signals);
  relay.Stop();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string command = argc > 1 ? argv[1] : "";
  try {
    if (command == "store") {
      return RunStore(argc - 1, argv + 1);
    }
    if (command == "upstream") {
      return RunUpstream(argc - 1, argv + 1);
    }
    if (command == "relay") {
      return RunRelay(argc - 1, argv + 1);
    }
  } catch (const std::exception& e) {
    fmt::print(stderr, "amaranthgap-standin {}: {}\n", command, e.what());
    return kUsageStatus;
  }
  fmt::print(stderr,
             "usage: amaranthgap-standin store|upstream|relay [options]\n");
  return kUsageStatus;
}
