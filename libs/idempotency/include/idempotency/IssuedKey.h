#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/Ids.h"
#include "base/Time.h"

namespace amaranthgap {

/** Idempotency key issued by an incarnation of a node. Only that incarnation
 * may execute calls with the key. */
struct IssuedKey
{
  std::string mService;
  std::string mRequestClass;
  std::string mParty;
  NodeRef mNode;
  uint64_t mSequence = 0;
  /** Time by the monotonic clock of the issuing incarnation, in ms; not
   * comparable with the clock of another node. */
  int64_t mIssuedMillis = 0;

  bool operator==(const IssuedKey&) const = default;

  /** @return the text form, with an HMAC tag made with aSecret. */
  [[nodiscard]] std::string ToText(std::string_view aSecret) const;

  /** @return the key, or nothing if the text is malformed or its tag does not
   * match. */
  static std::optional<IssuedKey> FromText(std::string_view aText,
                                           std::string_view aSecret);

  /** @return the age, if aNow is by the clock of the issuing incarnation. */
  [[nodiscard]] Duration Age(TimePoint aNow) const
  {
    return aNow.time_since_epoch() - milliseconds(mIssuedMillis);
  }
};

} // namespace amaranthgap
