#pragma once

#include <cstdint>
#include <string_view>

namespace amaranthgap {

/** @return a 64-bit hash that is the same on every host. Not for secrets. */
uint64_t
Hash64(std::string_view aData, uint64_t aSeed = 0);

/** @return the rendezvous weight of a member for a key: the member with the
 * highest weight owns the key, and a lost member moves only its own keys. */
uint64_t
RendezvousWeight(std::string_view aMember, uint64_t aKey);

} // namespace amaranthgap
