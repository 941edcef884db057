#include "CommandOptions.h"

#include <charconv>
#include <csignal>
#include <cstdlib>

#include <fmt/format.h>
#include <malloc.h>

#include "DeploymentBinding.h"
#include "config/ProxySettings.h"
#include "net/EventLoop.h"
#include "proxy/ProxyProcess.h"

namespace amaranthgap {

namespace {

// Limits of the host that the variables of the environment name; they go before
// those of the settings file, since whoever starts the process knows them.
constexpr const char* kMemoryVariable = "AMARANTHGAP_MEMORY_MB";
constexpr const char* kDescriptorsVariable = "AMARANTHGAP_MAX_DESCRIPTORS";

/** Reads a number from a variable of the environment into aValue, if it is set.
 * @return whether it is unset or valid. */
bool
ReadVariable(const char* aName, uint32_t aLeast, uint32_t& aValue)
{
  const char* text = std::getenv(aName);
  if (!text || *text == '\0') {
    return true;
  }
  const std::string_view digits = text;
  uint32_t number = 0;
  const auto [at, ec] =
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (ec != std::errc() || at != digits.data() + digits.size() ||
      number < aLeast) {
    fmt::print(
      stderr, "{}: {}: must be a number of {} or more\n", aName, text, aLeast);
    return false;
  }
  aValue = number;
  return true;
}

std::optional<ProxySettings>
LoadProxySettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseProxySettings(*text, aPath);
  if (!settings) {
    for (const ConfigProblem& problem : settings.error()) {
      fmt::print(stderr, "{}\n", problem.ToString());
    }
    return std::nullopt;
  }
  constexpr uint32_t kLeastMegabytes = 32;
  constexpr uint32_t kLeastDescriptors = 128;
  ProxySettings& out = settings.value();
  if (!ReadVariable(kMemoryVariable, kLeastMegabytes, out.mMemoryMegabytes) ||
      !ReadVariable(
        kDescriptorsVariable, kLeastDescriptors, out.mMaxDescriptors)) {
    return std::nullopt;
  }
  return out;
}

// The settings file: the argument, or else what a variable of the environment
// names.
std::string
SettingsPath(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("settings") > 0) {
    return aParsed["settings"].as<std::string>();
  }
  const char* path =
    std::getenv(aParsed["settings-variable"].as<std::string>().c_str());
  return path ? path : "";
}

} // namespace

int
RunProxy(const Arguments& aArguments)
{
  CommandOptions options(
    "proxy", "Runs a proxy beside an upstream until SIGTERM or SIGINT.", {});
  options.Add("settings", "Settings file", cxxopts::value<std::string>());
  options.Add(
    "settings-variable",
    "Variable of the environment that names the settings file",
    cxxopts::value<std::string>()->default_value("AMARANTHGAP_SETTINGS"));
  options.Add("check", "Check the settings file and exit");
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const std::string path = SettingsPath(aParsed);
    const auto settings = LoadProxySettings(path);
    if (!settings) {
      return kExitBadUsage;
    }
    if (aParsed.count("check") > 0) {
      fmt::print("{}: valid\n", path);
      return kExitDone;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // Large buffers are given back to the system when they are freed. Without
    // this the allocator raises the size from which it does so.
    constexpr int kMappedBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    mallopt(M_TRIM_THRESHOLD, kMappedBytes);
    EventLoop loop;
    ProxyProcess process(loop, *settings, deployment::MakeBinding());
    process.OnStopped([&] { loop.Stop(); });
    loop.OnSignal(SIGTERM, [&] { process.StartShutdown(); });
    loop.OnSignal(SIGINT, [&] { process.StartShutdown(); });
    loop.OnSignal(SIGHUP,
                  [&] { process.SettingsReread(LoadProxySettings(path)); });
    if (const auto started = process.Start(); !started) {
      fmt::print(stderr, "amaranthgap: {}\n", started.error().ToString());
      return kExitFailed;
    }
    loop.Run();
    return kExitDone;
  });
}

} // namespace amaranthgap
