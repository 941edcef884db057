#include "UpstreamOptions.h"

#include <charconv>
#include <sstream>

namespace amaranthgap {

std::optional<ChildCall>
ChildCall::Parse(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream in(aText);
  for (std::string part; std::getline(in, part, ':');) {
    parts.push_back(part);
  }
  if (aText.ends_with(':') || parts.size() < 2 || parts.size() > 4 ||
      parts[0].empty() || parts[1].empty()) {
    return std::nullopt;
  }
  ChildCall out{ .mService = parts[0], .mRequestClass = parts[1] };
  if (parts.size() > 2) {
    const char* end = parts[2].data() + parts[2].size();
    const auto [at, ec] = std::from_chars(parts[2].data(), end, out.mCount);
    if (ec != std::errc() || at != end || out.mCount == 0 || out.mCount > 64) {
      return std::nullopt;
    }
  }
  if (parts.size() > 3 && parts[3] != "once") {
    return std::nullopt;
  }
  out.mKeyed = parts.size() > 3;
  return out;
}

} // namespace amaranthgap
