#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "base/Time.h"

namespace amaranthgap {

/** Opens connections to a node at once, sends one request on each as soon as
 * it is open, then keeps them idle.
 * @param aRequest the bytes to send.
 * @return times until connected and until answered, and failures. */
nlohmann::json
OpenConnections(const std::string& aNode,
                uint32_t aCount,
                const std::string& aRequest,
                Duration aIdle);

} // namespace amaranthgap
