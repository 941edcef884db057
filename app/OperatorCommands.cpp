#include "CommandOptions.h"

#include <algorithm>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "NodeReader.h"

namespace amaranthgap {

namespace {

using nlohmann::json;

std::string
Text(const json& aObject, const char* aKey)
{
  const auto it = aObject.find(aKey);
  if (it == aObject.end()) {
    return "-";
  }
  if (it->is_string()) {
    const auto value = it->get<std::string>();
    return value.empty() ? "-" : value;
  }
  return it->dump();
}

std::string
WallTime(const json& aObject)
{
  const auto ms = aObject.value("wall_ms", int64_t(0));
  return fmt::format(
    "{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(ms / 1000), ms % 1000);
}

void
PrintStatus(const json& aStatus)
{
  for (const char* key : { "node",
                           "incarnation",
                           "ready",
                           "draining",
                           "manifest_version",
                           "manifest_digest",
                           "service",
                           "upstream",
                           "in_flight",
                           "waiting",
                           "limit",
                           "calls_in_flight" }) {
    fmt::print("{:<18}{}\n", key, Text(aStatus, key));
  }
  fmt::print("\n{:<24}{:<10}{:<20}{:<16}{}\n",
             "member",
             "state",
             "service",
             "region",
             "address");
  for (const json& member : aStatus.value("members", json::array())) {
    fmt::print("{:<24}{:<10}{:<20}{:<16}{}\n",
               Text(member, "node"),
               Text(member, "state"),
               Text(member, "service"),
               Text(member, "region"),
               Text(member, "peer_address"));
  }
}

void
PrintRows(const json& aRows, const std::vector<const char*>& aColumns)
{
  for (const json& row : aRows) {
    std::string line = WallTime(row);
    for (const char* column : aColumns) {
      line += fmt::format("  {}={}", column, Text(row, column));
    }
    fmt::print("{}\n", line);
  }
}

void
AddCommon(CommandOptions& aOptions)
{
  aOptions.Add("n,node",
               "Local address of the node, ip:port",
               cxxopts::value<std::string>());
  aOptions.Add("j,json", "Print JSON");
}

std::string
NodeOf(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("node") != 1) {
    throw UsageError{ "--node is required once" };
  }
  return aParsed["node"].as<std::string>();
}

} // namespace

int
RunStatus(const Arguments& aArguments)
{
  CommandOptions options("status", "Shows the state of a node.", {});
  AddCommon(options);
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto status = ReadNode(NodeOf(aParsed), "/status");
    if (!status) {
      return kExitFailed;
    }
    if (aParsed.count("json") > 0) {
      fmt::print("{}\n", status->dump(2));
    } else {
      PrintStatus(*status);
    }
    return kExitDone;
  });
}

int
RunExplain(const Arguments& aArguments)
{
  CommandOptions options(
    "explain", "Shows what happened to a request at a node.", { "request-id" });
  AddCommon(options);
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto request = aParsed["request-id"].as<std::string>();
    const auto steps =
      ReadNode(NodeOf(aParsed), "/explain?request=" + EncodeQuery(request));
    if (!steps) {
      return kExitFailed;
    }
    if (aParsed.count("json") > 0) {
      fmt::print("{}\n", steps->dump(2));
    } else {
      PrintRows(*steps, { "role", "event", "peer", "detail" });
    }
    if (steps->empty()) {
      fmt::print(stderr, "amaranthgap: request {} is not known\n", request);
      return kExitFailed;
    }
    return kExitDone;
  });
}

int
RunAudit(const Arguments& aArguments)
{
  CommandOptions options("audit", "Shows the latest changes at a node.", {});
  AddCommon(options);
  options.Add("after",
              "Show records above this number",
              cxxopts::value<uint64_t>()->default_value("0"));
  return options.Run(aArguments, [](const cxxopts::ParseResult& aParsed) {
    const auto records =
      ReadNode(NodeOf(aParsed),
               fmt::format("/audit?after={}", aParsed["after"].as<uint64_t>()));
    if (!records) {
      return kExitFailed;
    }
    if (aParsed.count("json") > 0) {
      fmt::print("{}\n", records->dump(2));
    } else {
      PrintRows(*records, { "number", "kind", "subject", "cause", "peer" });
    }
    return kExitDone;
  });
}

} // namespace amaranthgap
