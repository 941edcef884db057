#include "CommandOptions.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace amaranthgap {

CommandOptions::CommandOptions(std::string aName,
                               const std::string& aSummary,
                               std::vector<std::string> aPositional)
  : mName(std::move(aName))
  , mPositional(std::move(aPositional))
  , mOptions("amaranthgap " + mName, aSummary)
{
  std::string usage;
  for (const auto& name : mPositional) {
    mOptions.add_options("positional")(name, "", cxxopts::value<std::string>());
    usage += " <" + name + ">";
  }
  mOptions.custom_help("[options]");
  mOptions.positional_help(usage.empty() ? "" : usage.substr(1));
  mOptions.add_options()("h,help", "Print this help and exit");
}

void
CommandOptions::Add(const std::string& aSpec,
                    const std::string& aHelp,
                    const std::shared_ptr<cxxopts::Value>& aValue)
{
  mOptions.add_options()(aSpec, aHelp, aValue);
}

int
CommandOptions::Run(
  const Arguments& aArguments,
  const std::function<int(const cxxopts::ParseResult&)>& aCommand)
{
  std::vector<const char*> argv;
  for (const auto& argument : aArguments) {
    argv.push_back(argument.c_str());
  }
  try {
    mOptions.parse_positional(mPositional);
    const auto parsed = mOptions.parse(int(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      fmt::print("{}", mOptions.help({ "" }));
      return kExitDone;
    }
    for (const auto& name : mPositional) {
      if (parsed.count(name) == 0) {
        throw UsageError{ fmt::format("missing argument <{}>", name) };
      }
    }
    if (!parsed.unmatched().empty()) {
      throw UsageError{ fmt::format("unexpected argument '{}'",
                                    parsed.unmatched().front()) };
    }
    return aCommand(parsed);
  } catch (const UsageError& error) {
    fmt::print(stderr, "amaranthgap {}: {}\n", mName, error.mText);
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "amaranthgap {}: {}\n", mName, error.what());
  }
  fmt::print(stderr, "Try 'amaranthgap {} --help'.\n", mName);
  return kExitBadUsage;
}

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    fmt::print(stderr, "{}: cannot be read: {}\n", aPath, std::strerror(errno));
    return std::nullopt;
  }
  return text.str();
}

} // namespace amaranthgap
