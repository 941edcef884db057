#include "ChildCaller.h"

#include <future>
#include <memory>

#include <fmt/format.h>

namespace amaranthgap {

namespace {

// The node ends every child call by its deadline; this only bounds a node that
// hangs.
constexpr std::chrono::seconds kTimeout{ 30 };

// Connections are kept for each thread: a new one costs more than a call.
httplib::Client&
ClientOf(const std::string& aNode)
{
  thread_local std::unique_ptr<httplib::Client> client;
  if (!client) {
    const size_t colon = aNode.rfind(':');
    client = std::make_unique<httplib::Client>(
      aNode.substr(0, colon), std::atoi(aNode.c_str() + colon + 1));
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_read_timeout(kTimeout);
  }
  return *client;
}

httplib::Headers
HeadersOf(const httplib::Request& aParent)
{
  httplib::Headers out;
  for (const char* name :
       { "Amaranthgap-Context", "X-Request-Id", "traceparent" }) {
    if (aParent.has_header(name)) {
      out.emplace(name, aParent.get_header_value(name));
    }
  }
  return out;
}

} // namespace

ChildCaller::Outcome
ChildCaller::CallOne(const httplib::Request& aParent,
                     const ChildCall& aChild,
                     const std::string& aKey) const
{
  auto headers = HeadersOf(aParent);
  headers.emplace("Amaranthgap-Class", aChild.mRequestClass);
  if (!aKey.empty()) {
    headers.emplace("Idempotency-Key", aKey);
  }
  const auto result =
    ClientOf(mNode).Post(fmt::format("/call/{}/work", aChild.mService),
                         headers,
                         aParent.body,
                         "application/octet-stream");
  if (!result) {
    return { .mIsSuccess = false,
             .mStatus = 0,
             .mOutcome = "may-have-run",
             .mReason = httplib::to_string(result.error()) };
  }
  return { .mIsSuccess = result->status >= 200 && result->status < 300,
           .mStatus = result->status,
           .mOutcome = result->get_header_value("Amaranthgap-Outcome"),
           .mReason = result->get_header_value("Amaranthgap-Reason"),
           .mRetryAfterMs =
             result->get_header_value("Amaranthgap-Retry-After-Ms") };
}

ChildCaller::Outcome
ChildCaller::CallCopies(const httplib::Request& aParent,
                        const ChildCall& aChild,
                        size_t aIndex) const
{
  const auto keyOf = [&](uint32_t aCopy) {
    return aChild.mKeyed ? fmt::format("child-{}-{}", aIndex, aCopy) : "";
  };
  std::vector<std::future<Outcome>> others;
  for (uint32_t n = 1; n < aChild.mCount; ++n) {
    others.push_back(std::async(std::launch::async, [&, n] {
      return CallOne(aParent, aChild, keyOf(n));
    }));
  }
  Outcome out = CallOne(aParent, aChild, keyOf(0));
  for (auto& other : others) {
    if (Outcome next = other.get(); out.mIsSuccess && !next.mIsSuccess) {
      out = std::move(next);
    }
  }
  return out;
}

ChildCaller::Outcome
ChildCaller::CallAll(const httplib::Request& aParent) const
{
  for (size_t n = 0; n < mChildren.size(); ++n) {
    if (Outcome out = CallCopies(aParent, mChildren[n], n); !out.mIsSuccess) {
      return out;
    }
  }
  return {};
}

} // namespace amaranthgap
