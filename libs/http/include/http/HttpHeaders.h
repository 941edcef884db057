#pragma once

#include <algorithm>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** @return the first value of a header, or an empty string. */
std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** @return whether two header names or tokens are equal but for case. */
bool
EqualsIgnoringCase(std::string_view aLeft, std::string_view aRight);

/** @return whether a header concerns one connection only. */
bool
IsHopByHopHeader(std::string_view aName);

/** @return the headers without those of one connection and those that the
 * Connection header names. */
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

/** @return the text without blanks at its ends. */
std::string_view
TrimBlanks(std::string_view aText);

/** Visits each item of a comma-separated header value. */
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
