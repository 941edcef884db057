#pragma once

#include <algorithm>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** @return the value of the first header with this name, or an empty string. */
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** Compares two header names or tokens, ignoring ASCII case. */
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

/** @return whether a header applies to a single connection and must not be
 * forwarded. Includes Content-Length and Expect. */
bool
IsHopByHopHeader(std::string_view aName);

/** @return the headers without the hop-by-hop ones and those listed in the
 * Connection header. */
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

/** @return the text without leading and trailing spaces and tabs. */
std::string_view
TrimBlanks(std::string_view aText);

/** Calls aVisitor with each non-empty item of a comma-separated value. */
template<class Visitor>
void
ForEachListItem(std::string_view aValue, Visitor aVisitor)
{
  while (!aValue.empty()) {
    const auto comma = std::min(aValue.find(','), aValue.size());
    if (const auto item = TrimBlanks(aValue.substr(0, comma)); !item.empty()) {
      aVisitor(item);
    }
    aValue.remove_prefix(std::min(comma + 1, aValue.size()));
  }
}

} // namespace amaranthgap
