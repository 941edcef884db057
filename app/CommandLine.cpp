#include "Commands.h"

#include <array>
#include <cstdio>
#include <string_view>

#include <fmt/format.h>

#ifndef AMARANTHGAP_VERSION
#define AMARANTHGAP_VERSION "unknown"
#endif

namespace amaranthgap {

namespace {

struct Command
{
  std::string_view mName;
  std::string_view mSummary;
  int (*mRun)(const Arguments&);
};

constexpr std::array<Command, 8> kCommands{ {
  { "node", "Run a node beside its upstream", RunNode },
  { "proxy", "Run a proxy on the users' platform", RunProxy },
  { "check-settings", "Check a settings file", RunCheckSettings },
  { "check-manifest", "Check a manifest file", RunCheckManifest },
  { "publish", "Publish a manifest to the fleet", RunPublish },
  { "status", "Show the state of a node", RunStatus },
  { "explain", "Show what happened to a request at a node", RunExplain },
  { "audit", "Show the latest changes at a node", RunAudit },
} };

void
PrintHelp(std::FILE* aStream)
{
  fmt::print(aStream,
             "Overload control layer for service call graphs\n\n"
             "Usage:\n  amaranthgap <command> [options]\n\nCommands:\n");
  for (const Command& command : kCommands) {
    fmt::print(aStream, "  {:<16}{}\n", command.mName, command.mSummary);
  }
  fmt::print(aStream,
             "\nOptions:\n"
             "  -h, --help      Print this help and exit\n"
             "      --version   Print the version and exit\n\n"
             "'amaranthgap <command> --help' describes one command.\n");
}

} // namespace

int
RunCommandLine(int argc, char** argv)
{
  const Arguments arguments(argv + std::min(argc, 1), argv + argc);
  if (arguments.empty()) {
    PrintHelp(stderr);
    return kExitBadUsage;
  }
  const std::string& name = arguments.front();
  if (name == "-h" || name == "--help" || name == "help") {
    PrintHelp(stdout);
    return kExitDone;
  }
  if (name == "--version") {
    fmt::print("amaranthgap {}\n", AMARANTHGAP_VERSION);
    return kExitDone;
  }
  for (const Command& command : kCommands) {
    if (command.mName == name) {
      return command.mRun(arguments);
    }
  }
  fmt::print(stderr,
             "amaranthgap: unknown command '{}'\n"
             "Try 'amaranthgap --help'.\n",
             name);
  return kExitBadUsage;
}

} // namespace amaranthgap
