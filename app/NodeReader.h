#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace amaranthgap {

/** Reads one endpoint of a node's local port.
 * @return the JSON answer; prints the reason when there is none. */
std::optional<nlohmann::json>
ReadNode(const std::string& aAddress, const std::string& aPath);

/** @return a query value with reserved characters encoded. */
std::string
EncodeQuery(const std::string& aValue);

} // namespace amaranthgap
