#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace amaranthgap {

/** Addresses through which new nodes join, as stored under one key. */
struct SeedList
{
  static constexpr size_t kMaxSeeds = 8;

  std::vector<std::string> mAddresses;

  /** @return the list of a stored text, one address a line. */
  static SeedList Parse(std::string_view aText);
  [[nodiscard]] std::string ToText() const;
  [[nodiscard]] bool Contains(std::string_view aAddress) const;
};

} // namespace amaranthgap
