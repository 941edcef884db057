#include "http/HttpHeaders.h"

#include <array>
#include <vector>

namespace amaranthgap {

namespace {

// Header names are ASCII in every locale.
constexpr char
ToLower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? char(aChar - 'A' + 'a') : aChar;
}

} // namespace

std::string_view
TrimBlanks(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) == ToLower(aOther); });
}

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualsIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

bool
IsHopByHopHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 11> kNames{
    "connection",       "keep-alive", "proxy-authenticate",
    "proxy-connection", "te",         "proxy-authorization",
    "trailer",          "upgrade",    "transfer-encoding",
    "content-length",   "expect",
  };
  return std::any_of(kNames.begin(), kNames.end(), [&](auto aKnown) {
    return EqualsIgnoringCase(aKnown, aName);
  });
}

HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders)
{
  std::vector<std::string_view> named;
  for (const auto& [name, value] : aHeaders) {
    if (EqualsIgnoringCase(name, "connection")) {
      ForEachListItem(value, [&](auto aItem) { named.push_back(aItem); });
    }
  }
  HttpHeaders out;
  for (const auto& [name, value] : aHeaders) {
    const bool connection =
      std::any_of(named.begin(), named.end(), [&name = name](auto aItem) {
        return EqualsIgnoringCase(aItem, name);
      });
    if (!connection && !IsHopByHopHeader(name)) {
      out.emplace_back(name, value);
    }
  }
  return out;
}

} // namespace amaranthgap
