#include <catch2/catch.hpp>

#include <fmt/format.h>

#include "ScriptedServer.h"
#include "platform/Base64.h"
#include "platform/HttpKeyValueStore.h"

using namespace amaranthgap;

namespace {

std::string
Http(int aStatus, const std::string& aBody)
{
  return fmt::format("HTTP/1.1 {:03} X\r\nContent-Length: {}\r\n"
                     "Connection: close\r\n\r\n{}",
                     aStatus,
                     aBody.size(),
                     aBody);
}

StoreRequest
Ask(StoreOperation aOperation)
{
  return { .mOperation = aOperation,
           .mKey = "manifest/head",
           .mValue = "v",
           .mRevision = 3,
           .mTimeout = milliseconds(300) };
}

struct Case
{
  const char* mName;
  std::string mAnswer;
  StoreVerdict mRead;
  StoreVerdict mWrite; ///< For CompareAndSwap and Delete.
  bool mHold = false;
};

} // namespace

// Guards against a lost answer that is taken for "no effect", after which a
// publisher would write twice, and against a refusal taken for success.
TEST_CASE("the verdict follows from what is certain", "[platform]")
{
  using enum StoreVerdict;
  const std::string cut = Http(200, R"({"revision":4,"value":"dg=="})");
  const std::vector<Case> cases = {
    { "found", Http(200, R"({"revision":4,"value":"dg=="})"), Done, Done },
    { "absent", Http(404, R"({"revision":0})"), Done, Unclear },
    { "conflict", Http(409, R"({"revision":9})"), NotDone, Conflict },
    { "conflict without revision", Http(409, "{}"), NotDone, Unclear },
    { "rate limit", Http(429, "{}"), NotDone, NotDone },
    { "bad request", Http(400, ""), NotDone, NotDone },
    { "refused", Http(503, R"({"applied":false})"), NotDone, NotDone },
    { "refused, effect open", Http(503, "{}"), NotDone, Unclear },
    { "server error", Http(500, R"({"applied":false})"), NotDone, Unclear },
    { "gateway timeout", Http(504, ""), NotDone, Unclear },
    { "not JSON", Http(200, "<html>"), NotDone, Unclear },
    { "JSON array", Http(200, "[]"), NotDone, Unclear },
    { "no revision", Http(200, "{}"), NotDone, Unclear },
    { "negative revision", Http(200, R"({"revision":-1})"), NotDone, Unclear },
    { "revision as text", Http(200, R"({"revision":"4"})"), NotDone, Unclear },
    { "bad base64",
      Http(200, R"({"revision":4,"value":"?"})"),
      NotDone,
      Unclear },
    { "unchanged for no watch", Http(304, ""), NotDone, Unclear },
    { "closed without an answer", "", NotDone, Unclear },
    { "closed within the head", cut.substr(0, 20), NotDone, Unclear },
    { "closed within the body",
      cut.substr(0, cut.size() - 5),
      NotDone,
      Unclear },
    { "status 000",
      Http(0, R"({"revision":4,"value":"dg=="})"),
      NotDone,
      Unclear },
    { "blank in a name",
      "HTTP/1.1 200 OK\r\nBad Name: v\r\n" + cut.substr(cut.find("\r\n") + 2),
      NotDone,
      Unclear },
    { "control byte in a name",
      "HTTP/1.1 200 OK\r\nN\x01: v\r\n" + cut.substr(cut.find("\r\n") + 2),
      NotDone,
      Unclear },
    { "length in a folded line",
      "HTTP/1.1 200 OK\r\nName: v\r\n " + cut.substr(cut.find("\r\n") + 2),
      NotDone,
      Unclear },
    { "not HTTP", "hello\r\n\r\n", NotDone, Unclear },
    { "no answer in time", "", NotDone, Unclear, true },
  };
  for (const Case& entry : cases) {
    for (const auto operation : { StoreOperation::Read,
                                  StoreOperation::CompareAndSwap,
                                  StoreOperation::Delete }) {
      CAPTURE(entry.mName, int(operation));
      ScriptedServer server(entry.mAnswer, entry.mHold);
      HttpKeyValueStore store(server.Address());
      const auto answer = store.Execute(Ask(operation));
      const bool isRead = operation == StoreOperation::Read;
      CHECK(answer.mVerdict == (isRead ? entry.mRead : entry.mWrite));
    }
  }
}

TEST_CASE("values and revisions come back as stored", "[platform]")
{
  ScriptedServer server(
    Http(200, R"({"revision":18446744073709551615,"value":"AP9i"})"));
  HttpKeyValueStore store(server.Address());
  const auto answer = store.Execute(Ask(StoreOperation::Read));
  CHECK(answer.mCurrent.mRevision == UINT64_MAX);
  CHECK(answer.mCurrent.mValue == std::string("\0\xff"
                                              "b",
                                              3));
  CHECK(server.Request().rfind("GET /v1/kv/manifest/head HTTP/1.1\r\n", 0) ==
        0);
}

// Guards against another writer's entry that ends the process or is taken for a
// value.
TEST_CASE("odd answers of the store name no value", "[platform]")
{
  const std::string deep(1'000'000, '[');
  for (const std::string& body :
       { deep,
         "{\"revision\":4,\"more\":" + deep,
         "{\"revision\":4,\"more\":" + deep + std::string(1'000'000, ']') +
           ",\"value\":7}",
         std::string(R"({"revision":-1,"value":""})"),
         std::string(R"({"revision":1e400,"value":""})"),
         std::string(R"({"revision":18446744073709551616,"value":""})"),
         std::string(R"({"revision":4,"value":"?"})"),
         std::string(R"({"value":""})"),
         std::string("\xff\xfe") }) {
    INFO(body.substr(0, 40));
    ScriptedServer server(Http(200, body));
    HttpKeyValueStore store(server.Address());
    const auto answer = store.Execute(Ask(StoreOperation::Read));
    CHECK(answer.mVerdict == StoreVerdict::NotDone);
    CHECK(answer.mCurrent.mValue.empty());
  }
}

TEST_CASE("a write names the expected revision", "[platform]")
{
  ScriptedServer server(Http(200, R"({"revision":4})"));
  HttpKeyValueStore store(server.Address());
  const auto answer = store.Execute(Ask(StoreOperation::CompareAndSwap));
  CHECK(answer.mVerdict == StoreVerdict::Done);
  CHECK(answer.mCurrent.mRevision == 4);
  const auto request = server.Request();
  CHECK(request.rfind("PUT /v1/kv/manifest/head?revision=3 HTTP/1.1", 0) == 0);
  CHECK(request.find(R"({"value":"dg=="})") != std::string::npos);
}

TEST_CASE("a watch ends with or without a change", "[platform]")
{
  for (const auto& [text, verdict] :
       { std::pair{ Http(304, ""), StoreVerdict::Unchanged },
         std::pair{ Http(200, R"({"revision":4,"value":""})"),
                    StoreVerdict::Done },
         std::pair{ Http(404, R"({"revision":0})"), StoreVerdict::Done },
         std::pair{ std::string(), StoreVerdict::NotDone } }) {
    ScriptedServer server(text);
    HttpKeyValueStore store(server.Address());
    CHECK(store.Execute(Ask(StoreOperation::Watch)).mVerdict == verdict);
  }
}

// Guards against calls that cannot have an effect but are reported as unclear,
// which would cost a read-back on every store outage.
TEST_CASE("calls that were never sent are not done", "[platform]")
{
  std::string closed;
  {
    const ScriptedServer server("");
    closed = server.Address();
  }
  for (const std::string& address : { closed, std::string("nonsense") }) {
    HttpKeyValueStore store(address);
    CHECK(store.Execute(Ask(StoreOperation::CompareAndSwap)).mVerdict ==
          StoreVerdict::NotDone);
  }
  HttpKeyValueStore store(closed);
  auto request = Ask(StoreOperation::CompareAndSwap);
  request.mKey = "a b";
  CHECK(store.Execute(request).mDetail == "bad key");
  request.mKey = "a";
  request.mValue.assign((size_t(1) << 20) + 1, 'x');
  CHECK(store.Execute(request).mVerdict == StoreVerdict::NotDone);
}

TEST_CASE("base64 keeps every byte", "[platform]")
{
  for (const std::string& text : { std::string(),
                                   std::string("a"),
                                   std::string("ab"),
                                   std::string("abc"),
                                   std::string("\0\xff\x80", 3) }) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("a!=="));
}
