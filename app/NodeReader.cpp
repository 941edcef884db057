#include "NodeReader.h"

#include <cctype>
#include <cstdio>

#include <fmt/format.h>
#include <httplib.h>

namespace amaranthgap {

std::optional<nlohmann::json>
ReadNode(const std::string& aAddress, const std::string& aPath)
{
  httplib::Client client("http://" + aAddress);
  client.set_connection_timeout(2);
  client.set_read_timeout(5);
  const auto answer = client.Get(aPath);
  if (!answer) {
    fmt::print(stderr,
               "amaranthgap: node {} does not answer: {}\n",
               aAddress,
               httplib::to_string(answer.error()));
    return std::nullopt;
  }
  auto body = nlohmann::json::parse(answer->body, nullptr, false);
  if (answer->status == 404 && body.is_array()) {
    return body;
  }
  if (answer->status != 200 || body.is_discarded()) {
    fmt::print(stderr,
               "amaranthgap: node {} answered {} with status {}\n",
               aAddress,
               aPath,
               answer->status);
    return std::nullopt;
  }
  return body;
}

std::string
EncodeQuery(const std::string& aValue)
{
  std::string out;
  for (const unsigned char c : aValue) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.') {
      out += char(c);
    } else {
      out += fmt::format("%{:02X}", c);
    }
  }
  return out;
}

} // namespace amaranthgap
