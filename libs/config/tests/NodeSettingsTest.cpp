#include <catch2/catch.hpp>

#include <sstream>

#include "config/NodeSettings.h"

using namespace amaranthgap;

namespace {

const std::string kGood = R"(cluster = "c"
node_id = "n-1"
region = "east"
data_centre = "east-1"
caller_address = "127.0.0.1:7400"
local_address = "127.0.0.1:7401"
peer_address = "127.0.0.1:7402"
inner_key = "0123456789abcdef"
)";

// Replaces one line of the good file; appends it when aLine is 0.
std::string
With(size_t aLine, const std::string& aText)
{
  std::istringstream in(kGood);
  std::string out;
  std::string line;
  for (size_t n = 1; std::getline(in, line); ++n) {
    out += (n == aLine ? aText : line) + "\n";
  }
  return aLine == 0 ? out + aText + "\n" : out;
}

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
  auto result = ParseNodeSettings(aText, "s.toml");
  return result ? std::vector<ConfigProblem>{} : result.error();
}

} // namespace

TEST_CASE("good settings are read with defaults", "[config]")
{
  const auto result =
    ParseNodeSettings(With(0,
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

// Guards against an advertised address that is taken for a bound one.
TEST_CASE("the listen address may differ from the advertised", "[config]")
{
  const auto result =
    ParseNodeSettings(With(7,
                           "peer_address = \"10.0.0.1:7400\"\n"
                           "peer_listen_address = \"0.0.0.0:7402\""),
                      "s.toml");
  REQUIRE(result);
  CHECK(result.value().mPeerAddress == "10.0.0.1:7400");
  CHECK(result.value().mPeerListenAddress == "0.0.0.0:7402");
}

// Guards against a bad file that starts a node, and against a problem without
// the line and key that the operator needs.
TEST_CASE("each bad settings file is refused with line and key", "[config]")
{
  const std::vector<BadFile> files = {
    { With(0, "drain_timout_ms = 5"), 9, "drain_timout_ms", "unknown key" },
    { With(0, "[limits]\nx = 1"), 9, "limits", "unknown key" },
    { With(2, "node_id = 7"), 2, "node_id", "wrong type" },
    { With(2, "node_id = \"a b\""), 2, "node_id", "out of range" },
    { With(2, "node_id = \"\""), 2, "node_id", "out of range" },
    { With(2, ""), 1, "node_id", "missing key" },
    { With(0, "node_id = \"n-2\""), 9, "(syntax)", "" },
    { With(0, "max_header_bytes = \"16 KB\""),
      9,
      "max_header_bytes",
      "wrong type: expected integer, found string; the unit" },
    { With(0, "drain_timeout_ms = 30 s"), 9, "(syntax)", "" },
    { With(0, "drain_timeout_ms = 30.5"), 9, "drain_timeout_ms", "wrong type" },
    { With(0, "drain_timeout_ms = -1"), 9, "drain_timeout_ms", "out of range" },
    { With(0, "drain_timeout_ms = 99999999999"),
      9,
      "drain_timeout_ms",
      "out of range" },
    { With(0, "max_caller_calls = 0"), 9, "max_caller_calls", "out of range" },
    { With(0, "policy_off = 1"), 9, "policy_off", "wrong type" },
    { With(0, "log_level = \"loud\""), 9, "log_level", "out of range" },
    { With(0, "random_seed = -4"), 9, "random_seed", "out of range" },
    { With(8, "inner_key = \"short\""), 8, "inner_key", "out of range" },
    { With(5, "caller_address = \"127.0.0.1\""),
      5,
      "caller_address",
      "out of range" },
    { With(5, "caller_address = \"127.0.0.1:7400x\""),
      5,
      "caller_address",
      "out of range" },
    { With(5, "caller_address = \"127.0.0.1:0\""),
      5,
      "caller_address",
      "out of range" },
    { With(5, "caller_address = \"127.0.0.1:70000\""),
      5,
      "caller_address",
      "out of range" },
    { With(6, "local_address = \"0.0.0.0:7401\""),
      6,
      "local_address",
      "out of range: must be a loopback" },
    { With(6, "local_address = \"127.0.0.1:7400\""),
      6,
      "local_address",
      "duplicate address: same as caller_address" },
    { With(7, "peer_address = \"0.0.0.0:7400\""),
      7,
      "peer_address",
      "duplicate address: same as caller_address" },
    { With(0, "peer_listen_address = \"127.0.0.1:7400\""),
      9,
      "peer_listen_address",
      "duplicate address: same as caller_address" },
    { With(0, "peer_listen_address = \"host:7403\""),
      9,
      "peer_listen_address",
      "out of range: must be ip:port" },
    { With(7,
           "peer_address = \"0.0.0.0:7402\"\n"
           "peer_listen_address = \"0.0.0.0:7402\""),
      7,
      "peer_address",
      "out of range: must be an address to connect to" },
    { With(0, "store_address = \"127.0.0.1:7402\""),
      9,
      "store_address",
      "duplicate address: same as peer_address" },
    { With(0, "store_address = \"store\""),
      9,
      "store_address",
      "out of range" },
    { With(0, "static_peers = \"127.0.0.1:1\""),
      9,
      "static_peers",
      "wrong type" },
    { With(0, "static_peers = [\n\"127.0.0.1:1\",\n\"127.0.0.1:1\"]"),
      11,
      "static_peers[1]",
      "duplicate address" },
    { With(0, "static_peers = [1]"), 9, "static_peers[0]", "wrong type" },
    { With(0, "static_peers = [\"host:1\"]"),
      9,
      "static_peers[0]",
      "out of range" },
    { With(0, "#" + std::string(size_t(1) << 20, 'x')),
      1,
      "(file)",
      "out of range: larger than 1 MB" },
  };
  for (const BadFile& file : files) {
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

// Guards against operators who have to fix one problem after the other.
TEST_CASE("every problem of a file is reported", "[config]")
{
  const auto problems =
    ProblemsOf("cluster = 1\nunknown = 2\ncaller_address = \"x\"\n");
  // Three bad keys and six missing ones.
  CHECK(problems.size() == 9);
  CHECK(problems[0].ToString() ==
        "s.toml:1: cluster: wrong type: expected string, found integer");
}

// Guards against a secret that ends up in a log.
TEST_CASE("problems do not repeat the inner key", "[config]")
{
  for (const auto& problem : ProblemsOf(With(8, "inner_key = \"s3cr3t\""))) {
    CHECK(problem.ToString().find("s3cr3t") == std::string::npos);
  }
}
