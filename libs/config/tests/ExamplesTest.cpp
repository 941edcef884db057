#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "config/NodeSettings.h"

using namespace amaranthgap;

namespace {

std::string
ReadFile(const std::string& aName)
{
  std::ifstream in(AMARANTHGAP_SOURCE_DIR "/examples/" + aName);
  REQUIRE(in.good());
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

// Guards against example files that no longer match the parsers.
TEST_CASE("the example files are valid", "[config]")
{
  CHECK(ParseNodeSettings(ReadFile("settings.toml"), "settings.toml"));
  for (const char* name : { "kitaguni-manifest.toml", "tapis-manifest.toml" }) {
    CAPTURE(name);
    const auto entries = ParseManifest(ReadFile(name), name);
    REQUIRE(entries);
    CHECK(BuildManifest(1, entries.value()));
  }
}
