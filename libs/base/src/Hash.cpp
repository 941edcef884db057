#include "base/Hash.h"

#include <xxhash.h>

namespace amaranthgap {

uint64_t
Hash64(std::string_view aData, uint64_t aSeed)
{
  return XXH64(aData.data(), aData.size(), aSeed);
}

uint64_t
RendezvousWeight(std::string_view aMember, uint64_t aKey)
{
  return Hash64(aMember, aKey);
}

} // namespace amaranthgap
