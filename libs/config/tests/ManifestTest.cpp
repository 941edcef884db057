#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "config/Manifest.h"

using namespace amaranthgap;

namespace {

const std::string kCallers = R"([[callers]]
name = "rider"
party = "brest"
)";
const std::string kServices = R"([[services]]
name = "billing"
)";
const std::string kClasses = R"([[classes]]
service = "billing"
name = "charge"
importance = 9
idempotent = false
timeout_ms = 2000
)";
const std::string kGood = kCallers + kServices + kClasses;

struct BadFile
{
  std::string mText;
  uint32_t mLine;
  std::string mKey;
  std::string mReason; ///< Start of the reason.
};

std::vector<ConfigProblem>
ProblemsOf(const std::string& aText)
{
  auto result = ParseManifest(aText, "m.toml");
  return result ? std::vector<ConfigProblem>{} : result.error();
}

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a manifest goes from TOML to entries to the typed form", "[config]")
{
  const auto entries = ParseManifest(
    kGood + "[limits]\nretry_ratio = 0.25\nkey_lifetime_ms = 5000\n", "m.toml");
  REQUIRE(entries);
  CHECK(entries.value().at("callers/rider") == "brest");
  CHECK(entries.value().at("classes/billing/charge") ==
        "importance=9 idempotent=false timeout_ms=2000");
  const auto manifest = BuildManifest(4, entries.value());
  REQUIRE(manifest);
  CHECK(manifest.value().mVersion == 4);
  CHECK(manifest.value().mDigest == ComputeDigest(entries.value()));
  CHECK(manifest.value().mLimits.mRetryRatio == 0.25);
  CHECK(manifest.value().mLimits.mKeyLifetime == seconds(5));
  CHECK(manifest.value().mLimits.mQuarantine == minutes(10));
  REQUIRE(manifest.value().FindCaller("rider"));
  CHECK(manifest.value().FindCaller("rider")->mParty == "brest");
  CHECK_FALSE(manifest.value().FindCaller("other"));
  const RequestClass* entry = manifest.value().FindClass("billing", "charge");
  REQUIRE(entry);
  CHECK(entry->mImportance == 9);
  CHECK_FALSE(entry->mIdempotent);
  CHECK(entry->mTimeout == seconds(2));
  CHECK_FALSE(manifest.value().FindClass("billing", "other"));
  CHECK_FALSE(manifest.value().FindClass("other", "charge"));
}

// Guards against contradictory or senseless declarations that take effect.
TEST_CASE("each bad manifest is refused with line and key", "[config]")
{
  const std::vector<BadFile> files = {
    { Replaced(kGood, "party = \"brest\"\n", ""),
      1,
      "callers[0].party",
      "missing key" },
    { Replaced(kGood, "\"brest\"", "\"\""),
      3,
      "callers[0].party",
      "out of range" },
    { kGood + Replaced(kClasses, "\"billing\"", "\"biling\""),
      13,
      "classes[1].service",
      "service biling is not declared" },
    { kGood + "[[services]]\nname = \"booking\"\n",
      13,
      "services",
      "service booking has no class" },
    { kGood + kServices, 13, "services[1].name", "duplicate of service" },
    { kGood + kCallers, 13, "callers[1].name", "duplicate of caller rider" },
    { kGood + Replaced(kCallers, "brest", "vannes"),
      13,
      "callers[1].name",
      "contradictory party of caller rider in line 2" },
    { kGood + kClasses, 14, "classes[1].name", "duplicate of" },
    { kGood + Replaced(kClasses, "= 9", "= 3"),
      15,
      "classes[1].importance",
      "contradictory importance: classes/billing/charge in line 8 has 9" },
    { Replaced(kGood, "= 9", "= 10"),
      9,
      "classes[0].importance",
      "out of range: 10 is not within 0 to 9" },
    { Replaced(kGood, "= 2000", "= 0"),
      11,
      "classes[0].timeout_ms",
      "out of range" },
    { Replaced(kGood, "= 2000", "= 600001"),
      11,
      "classes[0].timeout_ms",
      "out of range" },
    { Replaced(kGood, "= 2000", "= \"2 s\""),
      11,
      "classes[0].timeout_ms",
      "wrong type: expected integer, found string; the unit" },
    { Replaced(kGood, "= 2000", "= 2s"), 11, "(syntax)", "" },
    { Replaced(kGood, "= false", "= \"no\""),
      10,
      "classes[0].idempotent",
      "wrong type" },
    { kGood + "priority = 1\n", 12, "classes[0].priority", "unknown key" },
    { Replaced(kGood, "= \"charge\"", "= \"a/b\""),
      8,
      "classes[0].name",
      "out of range" },
    { kGood + "[limits]\nmax_retries = 3\n",
      13,
      "limits.max_retries",
      "unknown key" },
    { kGood + "[limits]\nmax_retries_per_request = 1000\n",
      13,
      "limits.max_retries_per_request",
      "out of range" },
    { kGood + "[limits]\nretry_ratio = nan\n",
      13,
      "limits.retry_ratio",
      "out of range" },
    { kGood + "[limits]\nmax_body_bytes = 1048576\n",
      13,
      "limits.max_body_bytes",
      "out of range" },
    { kGood + "[limits]\nkey_lifetime_ms = 1000\n",
      8,
      "classes",
      "contradictory: the timeout of classes/billing/charge" },
    { kServices + kClasses, 1, "callers", "missing key" },
    { "callers = 1\n" + kServices + kClasses, 1, "callers", "wrong type" },
    { "callers = []\n" + kServices + kClasses, 1, "callers", "out of range" },
    { "callers = [1]\n" + kServices + kClasses, 1, "callers[0]", "wrong type" },
    { kGood + "#" + std::string(size_t(1) << 20, 'x'),
      1,
      "(file)",
      "out of range: larger than 1 MB" },
  };
  for (const BadFile& file : files) {
    CAPTURE(file.mText.substr(0, 600), file.mKey, file.mReason);
    const auto problems = ProblemsOf(file.mText);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].mLine == file.mLine);
    CHECK(problems[0].mKey == file.mKey);
    CHECK(problems[0].mReason.substr(0, file.mReason.size()) == file.mReason);
  }
}

// Guards against two nodes that hold the same manifest under two digests.
TEST_CASE("the digest depends on content only", "[config]")
{
  const auto first = ParseManifest(kGood, "a");
  const auto second =
    ParseManifest("# other order\n" + kClasses + kServices + kCallers, "b");
  REQUIRE(first);
  REQUIRE(second);
  CHECK(ComputeDigest(first.value()) == ComputeDigest(second.value()));
  auto changed = first.value();
  changed["callers/rider"] = "vannes";
  CHECK(ComputeDigest(changed) != ComputeDigest(first.value()));
  CHECK(ComputeDigest({ { "a", "bc" } }) != ComputeDigest({ { "ab", "c" } }));
}

// Guards against a delta from another version or a damaged store that is taken
// into force in part.
TEST_CASE("bad entries are refused by name", "[config]")
{
  const std::string good = "importance=1 idempotent=true timeout_ms=5";
  const std::vector<std::pair<std::string, std::string>> bad = {
    { "classes/a/b", "importance=01 idempotent=true timeout_ms=5" },
    { "classes/a/c", "importance=10 idempotent=true timeout_ms=5" },
    { "classes/a/d", "importance=1 idempotent=yes timeout_ms=5" },
    { "classes/a/e", "importance=1 idempotent=true timeout_ms=0" },
    { "classes/a/f", good + " x=1" },
    { "classes/a/g", "" },
    { "classes/a", good },
    { "classes//b", good },
    { "classes/a/b/c", good },
    { "callers/x", "" },
    { "callers/", "p" },
    { "callers", "p" },
    { "limits/retry_ratio", "1.5" },
    { "limits/retry_ratio", "0.10" },
    { "limits/target_delay_ms", "50.5" },
    { "limits/max_body_bytes", "-1" },
    { "limits/other", "1" },
    { "other/x", "1" },
    { "", "" },
  };
  for (const auto& [key, value] : bad) {
    CAPTURE(key, value);
    const auto result = BuildManifest(1, { { key, value } });
    REQUIRE_FALSE(result);
    CHECK(result.error().mPeer == key);
  }
}

// Guards against a manifest near the size limit that is read in quadratic time.
TEST_CASE("a manifest of a large fleet fits", "[config]")
{
  std::string text = kCallers;
  for (int n = 0; n < 410; ++n) {
    text += fmt::format("[[services]]\nname = \"s{}\"\n", n);
    for (int m = 0; m < 4; ++m) {
      text += fmt::format("[[classes]]\nservice = \"s{}\"\nname = \"c{}\"\n"
                          "importance = {}\nidempotent = true\n"
                          "timeout_ms = 100\n",
                          n,
                          m,
                          m);
    }
  }
  const auto entries = ParseManifest(text, "m.toml");
  REQUIRE(entries);
  const auto manifest = BuildManifest(1, entries.value());
  REQUIRE(manifest);
  CHECK(manifest.value().mServices.size() == 410);
}
