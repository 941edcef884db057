#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace amaranthgap {

/** Name table of an enumeration. Specialisations define `kNames`, an array of
 * pairs of enumerator and name. */
template<class E>
struct EnumNames;

/** @return the name of an enumerator, or "unknown" for a value outside. */
template<class E>
constexpr std::string_view
ToName(E aValue)
{
  for (const auto& [value, name] : EnumNames<E>::kNames) {
    if (value == aValue) {
      return name;
    }
  }
  return "unknown";
}

/** @return the enumerator of a name, or nothing. */
template<class E>
constexpr std::optional<E>
FromName(std::string_view aName)
{
  for (const auto& [value, name] : EnumNames<E>::kNames) {
    if (name == aName) {
      return value;
    }
  }
  return std::nullopt;
}

} // namespace amaranthgap
