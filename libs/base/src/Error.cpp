#include "base/Error.h"

#include <fmt/format.h>

namespace amaranthgap {

std::string
Error::ToString() const
{
  return fmt::format("step={} peer={} {}", ToName(mStep), mPeer, mDetail);
}

} // namespace amaranthgap
