#include <catch2/catch.hpp>

#include "http/HttpFormat.h"
#include "http/HttpHeaders.h"
#include "http/HttpReader.h"

using namespace amaranthgap;

// Guards against losing or mixing up pipelined requests when their bytes arrive
// one at a time.
TEST_CASE("pipelined requests are parsed in order when split at any byte")
{
  const std::string bytes = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
                            "POST /b HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nabc"
                            "PUT /c HTTP/1.1\r\nHost: h\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
                            "GET /d HTTP/1.1\r\nConnection: close\r\n\r\n";
  RequestReader reader(ReadLimits{});
  std::vector<ReceivedRequest> requests;
  for (const char it : bytes) {
    reader.Feed({ &it, 1 });
    while (auto request = reader.Next()) {
      requests.push_back(std::move(*request));
    }
  }
  REQUIRE(requests.size() == 4);
  CHECK(requests[0].mHttp.mPath == "/a");
  CHECK(requests[1].mHttp.mBody == "abc");
  CHECK(requests[2].mHttp.mBody == "def");
  CHECK(requests[2].mKeepAlive);
  CHECK_FALSE(requests[3].mKeepAlive);
  CHECK(reader.State() == ReadState::Idle);
}

// Guards against accepting ambiguous framing, which allows request smuggling,
// and messages over the size limits.
TEST_CASE("malformed and oversized requests are rejected with their cause")
{
  const std::vector<std::pair<std::string, ReadFault>> cases{
    { "nonsense\r\n\r\n", ReadFault::Malformed },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
      ReadFault::Malformed },
    { "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
      "chunked\r\n\r\n",
      ReadFault::Malformed },
    { "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
      ReadFault::BodyTooLarge },
    { "GET / HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n",
      ReadFault::HeaderTooLarge },
  };
  for (const auto& [bytes, fault] : cases) {
    INFO(bytes.substr(0, 40));
    RequestReader reader({ .mHeaderBytes = 1000, .mBodyBytes = 1000 });
    reader.Feed(bytes);
    CHECK_FALSE(reader.Next());
    CHECK(reader.Fault() == fault);
  }
}

// Guards against taking a truncated response for a complete one when the
// connection closes.
TEST_CASE("a response is complete only according to its framing")
{
  struct Case
  {
    const char* mName;
    std::string mBytes;
    bool mCompleteOnData;
    bool mCompleteOnClose; ///< If the peer closes cleanly after the data.
  };
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<Case> cases{
    { "length", head + "Content-Length: 2\r\n\r\nab", true, false },
    { "short of its length",
      head + "Content-Length: 3\r\n\r\nab",
      false,
      false },
    { "chunked",
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      true,
      false },
    { "chunks cut off",
      head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
      false,
      false },
    { "no length", head + "\r\nab", false, true },
    { "header cut off", head + "Content-Le", false, false },
  };
  for (const Case& it : cases) {
    INFO(it.mName);
    ResponseReader reader(ReadLimits{});
    reader.Feed(it.mBytes);
    const auto response = reader.Next(false);
    CHECK(response.has_value() == it.mCompleteOnData);
    if (!response) {
      const auto last = reader.Finish();
      CHECK(last.has_value() == it.mCompleteOnClose);
      if (last) {
        CHECK(last->mHttp.mBody == "ab");
        CHECK_FALSE(last->mKeepAlive);
      }
    }
  }
}

// Guards against returning a 1xx response as the final one.
TEST_CASE("interim responses are skipped")
{
  ResponseReader reader(ReadLimits{});
  reader.Feed("HTTP/1.1 100 Continue\r\n\r\n"
              "HTTP/1.1 204 No Content\r\n\r\n");
  const auto response = reader.Next(false);
  REQUIRE(response);
  CHECK(response->mHttp.mStatus == 204);
}

// Guards against forwarding headers that apply to one connection only.
TEST_CASE("hop-by-hop headers are not forwarded")
{
  const HttpHeaders headers{ { "Host", "h" },
                             { "connection", "close, X-Private" },
                             { "X-Private", "1" },
                             { "Transfer-Encoding", "chunked" },
                             { "X-Kept", "2" } };
  const HttpHeaders out = EndToEndHeaders(headers);
  REQUIRE(out.size() == 2);
  CHECK(FindHeader(out, "host") == "h");
  CHECK(FindHeader(out, "x-kept") == "2");
}

// Guards against serialized messages that the parser reads differently.
TEST_CASE("a formatted message is parsed back unchanged")
{
  const HttpRequest request{ .mMethod = "POST",
                             .mPath = "/a?b=c",
                             .mHeaders = { { "Host", "h" } },
                             .mBody = "body" };
  RequestReader reader(ReadLimits{});
  reader.Feed(FormatRequest(request));
  const auto read = reader.Next();
  REQUIRE(read);
  CHECK(read->mHttp.mPath == request.mPath);
  CHECK(read->mHttp.mBody == request.mBody);

  ResponseReader responses(ReadLimits{});
  responses.Feed(FormatResponse({ .mStatus = 503, .mBody = "" }, false, false));
  const auto response = responses.Next(false);
  REQUIRE(response);
  CHECK(response->mHttp.mStatus == 503);
  CHECK_FALSE(response->mKeepAlive);
}
