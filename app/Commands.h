#pragma once

#include <string>
#include <vector>

namespace amaranthgap {

/** Exit statuses of the subcommands other than `node`. */
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadUsage = 2;

/** Runs one subcommand.
 * @return the exit status of the process. */
int
RunCommandLine(int argc, char** argv);

// Subcommands; aArguments[0] is the name of the subcommand.

using Arguments = std::vector<std::string>;

int
RunNode(const Arguments& aArguments);
int
RunProxy(const Arguments& aArguments);
int
RunCheckSettings(const Arguments& aArguments);
int
RunCheckManifest(const Arguments& aArguments);
int
RunPublish(const Arguments& aArguments);
int
RunStatus(const Arguments& aArguments);
int
RunExplain(const Arguments& aArguments);
int
RunAudit(const Arguments& aArguments);

} // namespace amaranthgap
