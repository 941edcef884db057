#pragma once

#include "config/Manifest.h"
#include "node/Snapshots.h"

namespace amaranthgap::sim {

/** @return a manifest with callers `web` and `app` and, for each service, the
 * classes `read` (idempotent), `alarm` (idempotent, most important) and
 * `charge` (not idempotent). */
inline ManifestPtr
TestManifest(const std::vector<std::string>& aServices, uint64_t aVersion = 1)
{
  auto manifest = std::make_shared<Manifest>();
  manifest->mVersion = aVersion;
  manifest->mDigest = aVersion;
  manifest->mCallers["web"] = { .mParty = "north" };
  manifest->mCallers["app"] = { .mParty = "south" };
  for (const std::string& service : aServices) {
    auto& classes = manifest->mServices[service];
    classes["read"] = { .mImportance = 3, .mTimeout = seconds(1) };
    classes["alarm"] = { .mImportance = 9, .mTimeout = seconds(1) };
    classes["charge"] = { .mImportance = 7,
                          .mIdempotent = false,
                          .mTimeout = seconds(1) };
  }
  return manifest;
}

} // namespace amaranthgap::sim
