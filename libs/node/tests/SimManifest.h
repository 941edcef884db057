#pragma once

#include <fmt/format.h>

#include "config/Manifest.h"

namespace amaranthgap::sim {

/** @return a manifest with callers `web` and `app` and, for each service, the
 * classes `read` (idempotent), `alarm` (idempotent, most important) and
 * `charge` (not idempotent). */
inline ManifestEntries
TestManifest(const std::vector<std::string>& aServices)
{
  std::string text = "[[callers]]\nname = \"web\"\nparty = \"north\"\n"
                     "[[callers]]\nname = \"app\"\nparty = \"south\"\n";
  for (const std::string& service : aServices) {
    text += fmt::format("[[services]]\nname = \"{}\"\n", service);
  }
  const auto add = [&](const std::string& aService,
                       std::string_view aName,
                       int aImportance,
                       bool aIdempotent) {
    text += fmt::format("[[classes]]\nservice = \"{}\"\nname = \"{}\"\n"
                        "importance = {}\nidempotent = {}\n"
                        "timeout_ms = 1000\n",
                        aService,
                        aName,
                        aImportance,
                        aIdempotent);
  };
  for (const std::string& service : aServices) {
    add(service, "read", 3, true);
    add(service, "alarm", 9, true);
    add(service, "charge", 7, false);
  }
  return ParseManifest(text, "test").value();
}

} // namespace amaranthgap::sim
