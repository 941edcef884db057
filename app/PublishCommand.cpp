#include "CommandOptions.h"

#include <chrono>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "NodeReader.h"
#include "config/Manifest.h"
#include "manifest/ManifestPublisher.h"
#include "platform/HttpKeyValueStore.h"

namespace amaranthgap {

namespace {

using nlohmann::json;

// Unclear differs from a failure: the change may have taken effect.
constexpr int kExitUnclear = 3;

std::string
DrawPublishId()
{
  std::random_device device;
  return fmt::format(
    "{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

// The version of a restored store may be behind that of the fleet.
std::optional<uint64_t>
FleetVersion(const std::vector<std::string>& aNodes)
{
  std::optional<uint64_t> highest;
  for (const std::string& node : aNodes) {
    if (const auto status = ReadNode(node, "/status")) {
      highest = std::max(highest.value_or(0),
                         status->value("manifest_version", uint64_t(0)));
    }
  }
  return highest;
}

int
StatusOfVerdict(PublishVerdict aVerdict)
{
  switch (aVerdict) {
    case PublishVerdict::Accepted:
    case PublishVerdict::Unchanged:
      return kExitDone;
    case PublishVerdict::Unclear:
      return kExitUnclear;
    default:
      return kExitFailed;
  }
}

void
PrintReport(const PublishReport& aReport, bool aJson)
{
  if (aJson) {
    const json out{ { "verdict", ToName(aReport.mVerdict) },
                    { "version", aReport.mInForce.mVersion },
                    { "digest",
                      fmt::format("{:016x}", aReport.mInForce.mDigest) },
                    { "publisher", aReport.mPublisher },
                    { "detail", aReport.mDetail } };
    fmt::print("{}\n", out.dump(2));
    return;
  }
  fmt::print("{}: version {} digest {:016x} published by {}\n",
             ToName(aReport.mVerdict),
             aReport.mInForce.mVersion,
             aReport.mInForce.mDigest,
             aReport.mPublisher.empty() ? "-" : aReport.mPublisher);
  if (!aReport.mDetail.empty()) {
    fmt::print(stderr, "amaranthgap publish: {}\n", aReport.mDetail);
  }
}

int
Publish(const cxxopts::ParseResult& aParsed)
{
  for (const char* name : { "store", "publisher", "node" }) {
    if (aParsed.count(name) == 0) {
      throw UsageError{ fmt::format("--{} is required", name) };
    }
  }
  const auto path = aParsed["manifest"].as<std::string>();
  const auto text = ReadFile(path);
  if (!text) {
    return kExitBadUsage;
  }
  const auto entries = ParseManifest(*text, path);
  if (!entries) {
    for (const ConfigProblem& problem : entries.error()) {
      fmt::print(stderr, "{}\n", problem.ToString());
    }
    return kExitBadUsage;
  }
  const auto version =
    FleetVersion(aParsed["node"].as<std::vector<std::string>>());
  if (!version) {
    fmt::print(stderr,
               "amaranthgap publish: none of the nodes answers; nothing was "
               "changed\n");
    return kExitFailed;
  }
  HttpKeyValueStore store(aParsed["store"].as<std::string>());
  const auto report = PublishManifest(
    store,
    entries.value(),
    { .mPublisher = aParsed["publisher"].as<std::string>(),
      .mPublishId = DrawPublishId(),
      .mFleetVersion = *version,
      .mWallMillis = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count() });
  PrintReport(report, aParsed.count("json") > 0);
  return StatusOfVerdict(report.mVerdict);
}

} // namespace

int
RunPublish(const Arguments& aArguments)
{
  CommandOptions options("publish",
                         "Publishes a manifest. The only command that changes "
                         "anything.\nExit status: 0 accepted or unchanged, 1 "
                         "not accepted, 2 bad usage or file, 3 unclear.",
                         { "manifest" });
  options.Add("n,node",
              "Local address of a node, ip:port; may be given several times",
              cxxopts::value<std::vector<std::string>>());
  options.Add("s,store",
              "Address of the platform's store, host:port",
              cxxopts::value<std::string>());
  options.Add("p,publisher",
              "Name of the operator or pipeline, kept in the history",
              cxxopts::value<std::string>());
  options.Add("j,json", "Print JSON");
  return options.Run(aArguments, Publish);
}

} // namespace amaranthgap
