#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "config/Manifest.h"

using namespace amaranthgap;

namespace {

const std::string kCallerTables = R"([[callers]]
name = "rider"
party = "brest"
)";
const std::string kServiceTables = R"([[services]]
name = "billing"
)";
const std::string kClassTables = R"([[classes]]
service = "billing"
name = "charge"
importance = 9
idempotent = false
timeout_ms = 2000
)";
const std::string kValidManifest =
  kCallerTables + kServiceTables + kClassTables;

struct InvalidFile
{
  std::string mText;
  uint32_t mLine;
  std::string mKey;
  std::string mReason; ///< Expected prefix of the reason.
};

std::vector<ConfigProblem>
ProblemsOf(const std::string& aText)
{
  auto result = ParseManifest(aText, "m.toml");
  return result ? std::vector<ConfigProblem>{} : result.error();
}

std::string
ReplaceFirst(std::string aText,
             const std::string& aFrom,
             const std::string& aTo)
{
  const size_t at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("a TOML manifest is converted to entries and to the typed form",
          "[config]")
{
  const auto entries = ParseManifest(
    kValidManifest + "[limits]\nretry_ratio = 0.25\nkey_lifetime_ms = 5000\n",
    "m.toml");
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

// Guards against accepting contradictory or invalid declarations, and against
// problems that report the wrong line or key.
TEST_CASE("an invalid manifest is rejected with line and key", "[config]")
{
  const std::vector<InvalidFile> files = {
    { ReplaceFirst(kValidManifest, "party = \"brest\"\n", ""),
      1,
      "callers[0].party",
      "missing key" },
    { ReplaceFirst(kValidManifest, "\"brest\"", "\"\""),
      3,
      "callers[0].party",
      "out of range" },
    { kValidManifest + ReplaceFirst(kClassTables, "\"billing\"", "\"biling\""),
      13,
      "classes[1].service",
      "service biling is not declared" },
    { kValidManifest + "[[services]]\nname = \"booking\"\n",
      13,
      "services",
      "service booking has no class" },
    { kValidManifest + kServiceTables,
      13,
      "services[1].name",
      "duplicate of service" },
    { kValidManifest + kCallerTables,
      13,
      "callers[1].name",
      "duplicate of caller rider" },
    { kValidManifest + ReplaceFirst(kCallerTables, "brest", "vannes"),
      13,
      "callers[1].name",
      "contradictory party of caller rider in line 2" },
    { kValidManifest + kClassTables, 14, "classes[1].name", "duplicate of" },
    { kValidManifest + ReplaceFirst(kClassTables, "= 9", "= 3"),
      15,
      "classes[1].importance",
      "contradictory importance: classes/billing/charge in line 8 has 9" },
    { ReplaceFirst(kValidManifest, "= 9", "= 10"),
      9,
      "classes[0].importance",
      "out of range: 10 is not within 0 to 9" },
    { ReplaceFirst(kValidManifest, "= 2000", "= 0"),
      11,
      "classes[0].timeout_ms",
      "out of range" },
    { ReplaceFirst(kValidManifest, "= 2000", "= 600001"),
      11,
      "classes[0].timeout_ms",
      "out of range" },
    { ReplaceFirst(kValidManifest, "= 2000", "= \"2 s\""),
      11,
      "classes[0].timeout_ms",
      "wrong type: expected integer, found string; the unit" },
    { ReplaceFirst(kValidManifest, "= 2000", "= 2s"), 11, "(syntax)", "" },
    { ReplaceFirst(kValidManifest, "= 2000", "= 99999999999999999999"),
      11,
      "(syntax)",
      "" },
    { ReplaceFirst(kValidManifest, "= 2000", "= " + std::string(100'000, '[')),
      11,
      "(syntax)",
      "" },
    { ReplaceFirst(kValidManifest, "= false", "= \"no\""),
      10,
      "classes[0].idempotent",
      "wrong type" },
    { kValidManifest + "priority = 1\n",
      12,
      "classes[0].priority",
      "unknown key" },
    { ReplaceFirst(kValidManifest, "= \"charge\"", "= \"a/b\""),
      8,
      "classes[0].name",
      "out of range" },
    { kValidManifest + "[limits]\nmax_retries = 3\n",
      13,
      "limits.max_retries",
      "unknown key" },
    { kValidManifest + "[limits]\nmax_retries_per_request = 1000\n",
      13,
      "limits.max_retries_per_request",
      "out of range" },
    { kValidManifest + "[limits]\nretry_ratio = nan\n",
      13,
      "limits.retry_ratio",
      "out of range" },
    { kValidManifest + "[limits]\nmax_body_bytes = 1048576\n",
      13,
      "limits.max_body_bytes",
      "out of range" },
    { kValidManifest + "[limits]\nkey_lifetime_ms = 1000\n",
      8,
      "classes",
      "contradictory: the timeout of classes/billing/charge" },
    { kServiceTables + kClassTables, 1, "callers", "missing key" },
    { "callers = 1\n" + kServiceTables + kClassTables,
      1,
      "callers",
      "wrong type" },
    { "callers = []\n" + kServiceTables + kClassTables,
      1,
      "callers",
      "out of range" },
    { "callers = [1]\n" + kServiceTables + kClassTables,
      1,
      "callers[0]",
      "wrong type" },
    { kValidManifest + "#" + std::string(size_t(1) << 20, 'x'),
      1,
      "(file)",
      "out of range: larger than 1 MB" },
  };
  for (const InvalidFile& file : files) {
    CAPTURE(file.mText.substr(0, 600), file.mKey, file.mReason);
    const auto problems = ProblemsOf(file.mText);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].mLine == file.mLine);
    CHECK(problems[0].mKey == file.mKey);
    CHECK(problems[0].mReason.substr(0, file.mReason.size()) == file.mReason);
  }
}

// Guards against nodes that compute different digests for the same manifest,
// which happens if the digest depends on the order of declarations.
TEST_CASE("the digest depends only on the content", "[config]")
{
  const auto first = ParseManifest(kValidManifest, "a");
  const auto second = ParseManifest(
    "# other order\n" + kClassTables + kServiceTables + kCallerTables, "b");
  REQUIRE(first);
  REQUIRE(second);
  CHECK(ComputeDigest(first.value()) == ComputeDigest(second.value()));
  auto changed = first.value();
  changed["callers/rider"] = "vannes";
  CHECK(ComputeDigest(changed) != ComputeDigest(first.value()));
  CHECK(ComputeDigest({ { "a", "bc" } }) != ComputeDigest({ { "ab", "c" } }));
}

// Guards against partly applying invalid entries, which come from a delta of
// another version or from a corrupt store.
TEST_CASE("an invalid entry is rejected by key", "[config]")
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

// Guards against rejecting the manifest of a large fleet as too large, and
// against parsing it in quadratic time.
TEST_CASE("a manifest of a large fleet is accepted", "[config]")
{
  std::string text = kCallerTables;
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
