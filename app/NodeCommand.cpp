#include "CommandOptions.h"

#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

#include "config/Manifest.h"
#include "config/NodeSettings.h"
#include "platform/HttpKeyValueStore.h"
#include "server/NodeProcess.h"

namespace amaranthgap {

namespace {

void
PrintProblems(const std::vector<ConfigProblem>& aProblems)
{
  for (const ConfigProblem& problem : aProblems) {
    fmt::print(stderr, "{}\n", problem.ToString());
  }
}

std::optional<NodeSettings>
LoadSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return std::nullopt;
  }
  auto settings = ParseNodeSettings(*text, aPath);
  if (!settings) {
    PrintProblems(settings.error());
    return std::nullopt;
  }
  return settings.value();
}

} // namespace

int
RunNode(const Arguments& aArguments)
{
  CommandOptions options(
    "node", "Runs a node until SIGTERM or SIGINT.", { "settings" });
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto settings = LoadSettings(aParsed["settings"].as<std::string>());
    if (!settings) {
      return kExitBadUsage;
    }
    std::shared_ptr<KeyValueStore> store;
    if (!settings->mStoreAddress.empty()) {
      store = std::make_shared<HttpKeyValueStore>(settings->mStoreAddress);
    }
    int status = 0;
    {
      NodeProcess node(*settings, store);
      status = int(node.Run());
    }
    // A watch on the store may still be pending on a thread that cannot be
    // joined, so that static objects are left alone.
    std::fflush(nullptr);
    std::_Exit(status);
  });
}

int
RunCheckSettings(const Arguments& aArguments)
{
  CommandOptions options(
    "check-settings", "Checks a settings file.", { "file" });
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto path = aParsed["file"].as<std::string>();
    if (!LoadSettings(path)) {
      return kExitBadUsage;
    }
    fmt::print("{}: valid\n", path);
    return kExitDone;
  });
}

int
RunCheckManifest(const Arguments& aArguments)
{
  CommandOptions options(
    "check-manifest", "Checks a manifest file.", { "file" });
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto path = aParsed["file"].as<std::string>();
    const auto text = ReadFile(path);
    if (!text) {
      return kExitBadUsage;
    }
    const auto entries = ParseManifest(*text, path);
    if (!entries) {
      PrintProblems(entries.error());
      return kExitBadUsage;
    }
    fmt::print("{}: valid, {} entries, digest {:016x}\n",
               path,
               entries.value().size(),
               ComputeDigest(entries.value()));
    return kExitDone;
  });
}

} // namespace amaranthgap
