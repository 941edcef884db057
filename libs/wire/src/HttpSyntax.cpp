#include "wire/HttpSyntax.h"

#include <algorithm>

namespace amaranthgap {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

// Not by std::isalnum, which depends on the locale.
bool
IsTokenChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') ||
         std::string_view("!#$%&'*+-.^_`|~").find(aChar) !=
           std::string_view::npos;
}

} // namespace

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

bool
HasFoldedLine(std::string_view aLines)
{
  while (!aLines.empty() && !aLines.starts_with(kLineEnd)) {
    if (aLines.front() == ' ' || aLines.front() == '\t') {
      return true;
    }
    const size_t end = aLines.find(kLineEnd);
    if (end == std::string_view::npos) {
      return false;
    }
    aLines.remove_prefix(end + kLineEnd.size());
  }
  return false;
}

} // namespace amaranthgap
