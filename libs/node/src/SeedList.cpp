#include "SeedList.h"

#include <algorithm>

namespace amaranthgap {

SeedList
SeedList::Parse(std::string_view aText)
{
  SeedList list;
  while (!aText.empty() && list.mAddresses.size() < kMaxSeeds) {
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    if (!line.empty()) {
      list.mAddresses.emplace_back(line);
    }
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return list;
}

std::string
SeedList::ToText() const
{
  std::string text;
  for (const auto& address : mAddresses) {
    text += address + '\n';
  }
  return text;
}

bool
SeedList::Contains(std::string_view aAddress) const
{
  return std::find(mAddresses.begin(), mAddresses.end(), aAddress) !=
         mAddresses.end();
}

} // namespace amaranthgap
