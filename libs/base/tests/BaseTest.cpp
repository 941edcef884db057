#include <catch2/catch.hpp>

#include "base/Audit.h"
#include "base/Error.h"
#include "base/Hash.h"
#include "base/Logger.h"

using namespace amaranthgap;

// Guards against unbounded growth and against records lost out of order.
TEST_CASE("the audit trail keeps the latest records", "[base]")
{
  AuditTrail trail(2);
  for (const char* subject : { "a", "b", "c" }) {
    trail.Add(1, { .mKind = AuditKind::MemberState, .mSubject = subject });
  }
  const auto records = trail.Since(0);
  REQUIRE(records.size() == 2);
  CHECK(records[0].mEntry.mSubject == "b");
  CHECK(records[1].mNumber == 3);
  CHECK(trail.Since(3).empty());
}

// Guards against log lines that a value can split or forge.
TEST_CASE("log values with separators are quoted", "[base]")
{
  CHECK(Logger::Quote("plain-1") == "plain-1");
  CHECK(Logger::Quote("") == "\"\"");
  CHECK(Logger::Quote("a b") == "\"a b\"");
  CHECK(Logger::Quote("a\nlevel=error") == "\"a\\x0alevel=error\"");
}

// Guards against a hash that differs between hosts or builds.
TEST_CASE("the hash is fixed", "[base]")
{
  CHECK(Hash64("") == 0xef46db3751d8e999ULL);
  CHECK(RendezvousWeight("a", 1) != RendezvousWeight("b", 1));
}

TEST_CASE("errors name step and peer", "[base]")
{
  const Error error{ Step::Connect, "10.0.0.1:7000", "refused" };
  CHECK(error.ToString() == "step=connect peer=10.0.0.1:7000 refused");
  CHECK(FromName<Step>("decode") == Step::Decode);
  CHECK_FALSE(FromName<Step>("nothing").has_value());
}
