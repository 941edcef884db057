#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "FreePort.h"
#include "Relay.h"

using namespace amaranthgap;

// Guards against a trial that passes because nothing was cut, or because the
// cut shows as a reset, and against requests of the cut that arrive after it.
TEST_CASE("the relay cuts a group off and reconnects it", "[relay]")
{
  const std::string control = FreeAddress();
  const std::string listen = FreeAddress();
  const std::string local = FreeAddress();
  const std::string target =
    "127.9.0.1" + FreeAddress().substr(std::string("127.0.0.1").size());
  size_t served = 0;
  BlockingServer server;
  server.Get("/", [&](const httplib::Request&, httplib::Response& aResponse) {
    ++served;
    aResponse.status = 200;
  });
  REQUIRE(server.Start(target));
  Relay relay(
    { .mControl = control,
      .mRoutes = { Relay::Route::Parse(listen + "=" + target),
                   Relay::Route::Parse(fmt::format("{}={}@b", local, target)) },
      .mGroupOfPrefix = { { "127.0.", "a" }, { "127.9.", "b" } } });
  REQUIRE(relay.Start());
  httplib::Client operators(control);
  const auto post = [&](const char* aPath, const char* aBody) {
    return operators.Post(aPath, aBody, "application/json")->status;
  };
  const auto get = [](const std::string& aAddress) {
    httplib::Client client("http://" + aAddress);
    client.set_read_timeout(std::chrono::milliseconds(300));
    return client.Get("/").error();
  };
  CHECK(get(listen) == httplib::Error::Success);
  CHECK(post("/cut", R"({"group": "c"})") == 400);
  REQUIRE(post("/cut", R"({"group": "b"})") == 200);
  CHECK(get(listen) == httplib::Error::Read);
  CHECK(get(local) == httplib::Error::Success);
  CHECK(served == 2);
  REQUIRE(post("/reconnect", R"({"group": "b"})") == 200);
  CHECK(get(listen) == httplib::Error::Success);
  CHECK(served == 3);
  relay.Stop();
  server.Stop();
}

// Guards against a mistyped route that forwards nothing.
TEST_CASE("bad routes of the relay are refused", "[relay]")
{
  for (const char* text : { "", "127.0.0.1:1", "127.0.0.1:1=x", "1=2@b" }) {
    CHECK_THROWS(Relay::Route::Parse(text));
  }
}
