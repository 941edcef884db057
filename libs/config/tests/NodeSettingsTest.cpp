#include <catch2/catch.hpp>

#include <sstream>

#include "config/NodeSettings.h"

using namespace amaranthgap;

namespace {

const std::string kValidSettings = R"(cluster = "c"
node_id = "n-1"
region = "east"
data_centre = "east-1"
caller_address = "127.0.0.1:7400"
local_address = "127.0.0.1:7401"
peer_address = "127.0.0.1:7402"
inner_key = "0123456789abcdef"
)";

// Replaces one line (from 1) of the valid file, or appends aText if aLine is 0.
std::string
ReplaceLine(size_t aLine, const std::string& aText)
{
  std::istringstream in(kValidSettings);
  std::string out;
  std::string line;
  for (size_t n = 1; std::getline(in, line); ++n) {
    out += (n == aLine ? aText : line) + "\n";
  }
  return aLine == 0 ? out + aText + "\n" : out;
}

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
  auto result = ParseNodeSettings(aText, "s.toml");
  return result ? std::vector<ConfigProblem>{} : result.error();
}

} // namespace

TEST_CASE("valid settings are read with defaults for absent keys", "[config]")
{
  const auto result = ParseNodeSettings(
    ReplaceLine(0,
                "drain_timeout_ms = 1500\npolicy_off = true\n"
                "static_peers = [\"127.0.0.1:1\", \"127.0.0.1:2\"]"),
    "s.toml");
  REQUIRE(result);
  const NodeSettings& settings = result.value();
  CHECK(settings.mNodeId == "n-1");
  CHECK(settings.mDrainTimeout == milliseconds(1500));
  CHECK(settings.mMaxHeaderBytes == 16 * 1024);
  CHECK(settings.mPolicyOff);
  CHECK(settings.mStaticPeers.size() == 2);
  CHECK(settings.mStoreAddress.empty());
  CHECK(settings.mPeerListenAddress == "127.0.0.1:7402");
}

// Guards against binding the advertised address, which may belong to a
// forwarder on another host.
TEST_CASE("the listen address may differ from the advertised address",
          "[config]")
{
  const auto result =
    ParseNodeSettings(ReplaceLine(7,
                                  "peer_address = \"10.0.0.1:7400\"\n"
                                  "peer_listen_address = \"0.0.0.0:7402\""),
                      "s.toml");
  REQUIRE(result);
  CHECK(result.value().mPeerAddress == "10.0.0.1:7400");
  CHECK(result.value().mPeerListenAddress == "0.0.0.0:7402");
}

// Guards against starting a node with an invalid file, and against problems
// that lack the line and key the operator needs to correct it.
TEST_CASE("an invalid settings file is rejected with line and key", "[config]")
{
  const std::vector<InvalidFile> files = {
    { ReplaceLine(0, "drain_timout_ms = 5"),
      9,
      "drain_timout_ms",
      "unknown key" },
    { ReplaceLine(0, "[limits]\nx = 1"), 9, "limits", "unknown key" },
    { ReplaceLine(2, "node_id = 7"), 2, "node_id", "wrong type" },
    { ReplaceLine(2, "node_id = \"a b\""), 2, "node_id", "out of range" },
    { ReplaceLine(2, "node_id = \"\""), 2, "node_id", "out of range" },
    { ReplaceLine(2, ""), 1, "node_id", "missing key" },
    { ReplaceLine(0, "node_id = \"n-2\""), 9, "(syntax)", "" },
    { ReplaceLine(0, "max_header_bytes = \"16 KB\""),
      9,
      "max_header_bytes",
      "wrong type: expected integer, found string; the unit" },
    { ReplaceLine(0, "drain_timeout_ms = 30 s"), 9, "(syntax)", "" },
    { ReplaceLine(0, "drain_timeout_ms = 30.5"),
      9,
      "drain_timeout_ms",
      "wrong type" },
    { ReplaceLine(0, "drain_timeout_ms = -1"),
      9,
      "drain_timeout_ms",
      "out of range" },
    { ReplaceLine(0, "drain_timeout_ms = 99999999999"),
      9,
      "drain_timeout_ms",
      "out of range" },
    { ReplaceLine(0, "max_caller_calls = 0"),
      9,
      "max_caller_calls",
      "out of range" },
    { ReplaceLine(0, "policy_off = 1"), 9, "policy_off", "wrong type" },
    { ReplaceLine(0, "log_level = \"loud\""), 9, "log_level", "out of range" },
    { ReplaceLine(0, "random_seed = -4"), 9, "random_seed", "out of range" },
    { ReplaceLine(8, "inner_key = \"short\""), 8, "inner_key", "out of range" },
    { ReplaceLine(5, "caller_address = \"127.0.0.1\""),
      5,
      "caller_address",
      "out of range" },
    { ReplaceLine(5, "caller_address = \"127.0.0.1:7400x\""),
      5,
      "caller_address",
      "out of range" },
    { ReplaceLine(5, "caller_address = \"127.0.0.1:0\""),
      5,
      "caller_address",
      "out of range" },
    { ReplaceLine(5, "caller_address = \"127.0.0.1:70000\""),
      5,
      "caller_address",
      "out of range" },
    { ReplaceLine(6, "local_address = \"0.0.0.0:7401\""),
      6,
      "local_address",
      "out of range: must be a loopback" },
    { ReplaceLine(6, "local_address = \"127.0.0.1:7400\""),
      6,
      "local_address",
      "duplicate address: same as caller_address" },
    { ReplaceLine(7, "peer_address = \"0.0.0.0:7400\""),
      7,
      "peer_address",
      "duplicate address: same as caller_address" },
    { ReplaceLine(0, "peer_listen_address = \"127.0.0.1:7400\""),
      9,
      "peer_listen_address",
      "duplicate address: same as caller_address" },
    { ReplaceLine(0, "peer_listen_address = \"host:7403\""),
      9,
      "peer_listen_address",
      "out of range: must be ip:port" },
    { ReplaceLine(7,
                  "peer_address = \"0.0.0.0:7402\"\n"
                  "peer_listen_address = \"0.0.0.0:7402\""),
      7,
      "peer_address",
      "out of range: must be an address to connect to" },
    { ReplaceLine(0, "store_address = \"127.0.0.1:7402\""),
      9,
      "store_address",
      "duplicate address: same as peer_address" },
    { ReplaceLine(0, "store_address = \"store\""),
      9,
      "store_address",
      "out of range" },
    { ReplaceLine(0, "static_peers = \"127.0.0.1:1\""),
      9,
      "static_peers",
      "wrong type" },
    { ReplaceLine(0, "static_peers = [\n\"127.0.0.1:1\",\n\"127.0.0.1:1\"]"),
      11,
      "static_peers[1]",
      "duplicate address" },
    { ReplaceLine(0, "static_peers = [1]"),
      9,
      "static_peers[0]",
      "wrong type" },
    { ReplaceLine(0, "static_peers = [\"host:1\"]"),
      9,
      "static_peers[0]",
      "out of range" },
    { ReplaceLine(0, "#" + std::string(size_t(1) << 20, 'x')),
      1,
      "(file)",
      "out of range: larger than 1 MB" },
  };
  for (const InvalidFile& file : files) {
    CAPTURE(file.mText.substr(0, 600), file.mKey, file.mReason);
    const auto problems = ProblemsOf(file.mText);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].mFile == "s.toml");
    CHECK(problems[0].mLine == file.mLine);
    CHECK(problems[0].mKey == file.mKey);
    CHECK(problems[0].mReason.substr(0, file.mReason.size()) == file.mReason);
    CHECK_FALSE(problems[0].mReason.empty());
  }
}

// Guards against stopping at the first problem, which makes the operator fix
// and retry once per problem.
TEST_CASE("all problems in a file are reported", "[config]")
{
  const auto problems =
    ProblemsOf("cluster = 1\nunknown = 2\ncaller_address = \"x\"\n");
  // Three invalid keys and six missing ones.
  CHECK(problems.size() == 9);
  CHECK(problems[0].ToString() ==
        "s.toml:1: cluster: wrong type: expected string, found integer");
}

// Guards against writing the secret key to a log as part of a problem.
TEST_CASE("problems do not contain the inner key", "[config]")
{
  for (const auto& problem :
       ProblemsOf(ReplaceLine(8, "inner_key = \"s3cr3t\""))) {
    CHECK(problem.ToString().find("s3cr3t") == std::string::npos);
  }
}
