#include <cstdio>
#include <fstream>
#include <iterator>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "Connections.h"
#include "ControlSlopes.h"
#include "LoadRun.h"

using namespace amaranthgap;

namespace {

constexpr int kUsageStatus = 2;

int
RunLoad(int argc, char** argv)
{
  cxxopts::Options options("amaranthgap-bench load", "Open-loop load");
  auto add = options.add_options();
  add("spec", "Run in JSON", cxxopts::value<std::string>());
  add("ids",
      "File for the outcome of each request id",
      cxxopts::value<std::string>()->default_value(""));
  const auto parsed = options.parse(argc, argv);
  std::ifstream in(parsed["spec"].as<std::string>());
  LoadRun run(LoadSpec::FromJson(nlohmann::json::parse(in)));
  run.Run();
  if (const auto file = parsed["ids"].as<std::string>(); !file.empty()) {
    std::ofstream(file) << run.Figures().Ids();
  }
  fmt::print("{}\n", run.Figures().ToJson().dump(1));
  return 0;
}

int
RunConnections(int argc, char** argv)
{
  cxxopts::Options options("amaranthgap-bench connections",
                           "Opens connections at once and keeps them idle");
  auto add = options.add_options();
  add("node", "ip:port", cxxopts::value<std::string>());
  add("count", "Connections", cxxopts::value<uint32_t>());
  add("idle-ms",
      "Time to keep them",
      cxxopts::value<uint32_t>()->default_value("0"));
  add("caller", "", cxxopts::value<std::string>()->default_value(""));
  add("service", "", cxxopts::value<std::string>()->default_value("none"));
  add("class", "", cxxopts::value<std::string>()->default_value("none"));
  const auto parsed = options.parse(argc, argv);
  const auto request =
    fmt::format("GET /call/{}/work HTTP/1.1\r\nHost: amaranthgap\r\n"
                "Amaranthgap-Caller: {}\r\nAmaranthgap-Class: {}\r\n\r\n",
                parsed["service"].as<std::string>(),
                parsed["caller"].as<std::string>(),
                parsed["class"].as<std::string>());
  const auto result =
    OpenConnections(parsed["node"].as<std::string>(),
                    parsed["count"].as<uint32_t>(),
                    request,
                    milliseconds(parsed["idle-ms"].as<uint32_t>()));
  fmt::print("{}\n", result.dump(1));
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  const std::string command = argc > 1 ? argv[1] : "";
  try {
    if (command == "load") {
      return RunLoad(argc - 1, argv + 1);
    }
    if (command == "control-slopes") {
      return RunControlSlopes(argc - 1, argv + 1);
    }
    if (command == "connections") {
      return RunConnections(argc - 1, argv + 1);
    }
  } catch (const std::exception& e) {
    fmt::print(stderr, "amaranthgap-bench {}: {}\n", command, e.what());
    return kUsageStatus;
  }
  fmt::print(stderr,
             "usage: amaranthgap-bench "
             "load|connections|control-slopes [options]\n");
  return kUsageStatus;
}
