#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/** Idempotency key issued by one incarnation, the only one that may ever run
 * it. Value type. */
struct IssuedKey
{
  std::string mService;
  std::string mRequestClass;
  std::string mParty;
  NodeRef mNode;
  uint64_t mSequence = 0;
  /** Monotonic clock of the issuing incarnation, in ms; means nothing to any
   * other node. */
  int64_t mIssuedMillis = 0;

  bool operator==(const IssuedKey&) const = default;

  /** @return the text form with its authentication tag. */
  [[nodiscard]] std::string ToText(std::string_view aSecret) const;

  /** @return the key, or nothing when the text is malformed or its tag does
   * not match. */
  static std::optional<IssuedKey> FromText(std::string_view aText,
                                           std::string_view aSecret);

  /** @return the age by the clock of the issuing incarnation. */
  [[nodiscard]] Duration Age(TimePoint aNow) const
  {
    return aNow.time_since_epoch() - milliseconds(mIssuedMillis);
  }
};

} // namespace amaranthgap
