#pragma once

#include <functional>
#include <optional>
#include <string>

#include <cxxopts.hpp>

#include "Commands.h"

namespace amaranthgap {

/** Mistake in the use of a subcommand, printed with a hint to its help. */
struct UsageError
{
  std::string mText;
};

/** Declares and reads the options of one subcommand. */
class CommandOptions
{
public:
  /** @param aPositional names of the required positional arguments. */
  CommandOptions(std::string aName,
                 const std::string& aSummary,
                 std::vector<std::string> aPositional);

  /** Adds an option; see cxxopts for aSpec, such as `j,json`. */
  void Add(
    const std::string& aSpec,
    const std::string& aHelp,
    const std::shared_ptr<cxxopts::Value>& aValue = cxxopts::value<bool>());

  /**
   * Parses the arguments and runs the command.
   * @return the status of the command, or of the help text or a usage error.
   */
  int Run(const Arguments& aArguments,
          const std::function<int(const cxxopts::ParseResult&)>& aCommand);

private:
  std::string mName;
  std::vector<std::string> mPositional;
  cxxopts::Options mOptions;
};

/** @return the content of a file; prints the reason when it cannot be read. */
std::optional<std::string>
ReadFile(const std::string& aPath);

} // namespace amaranthgap
