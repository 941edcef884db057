#include "platform/HttpKeyValueStore.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "platform/Base64.h"
#include "wire/HttpSyntax.h"

namespace amaranthgap {

namespace {

// Added to the wait of a watch, so that the store ends it and not the client.
constexpr Duration kWatchMargin = seconds(2);
constexpr size_t kLongestKey = 256;
// The store holds values of up to 1 MB.
constexpr size_t kLargestValue = size_t(1) << 20;

bool
IsWrite(const StoreRequest& aRequest)
{
  return aRequest.mOperation == StoreOperation::CompareAndSwap ||
         aRequest.mOperation == StoreOperation::Delete;
}

bool
IsPlainKey(const std::string& aKey)
{
  const auto plain = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '/' || aChar == '-' ||
           aChar == '_' || aChar == '.';
  };
  return !aKey.empty() && aKey.size() <= kLongestKey &&
         std::all_of(aKey.begin(), aKey.end(), plain);
}

StoreAnswer
NotDone(std::string aDetail)
{
  return { .mVerdict = StoreVerdict::NotDone, .mDetail = std::move(aDetail) };
}

// A lost answer to a read had no effect; one to a write may have had.
StoreAnswer
Lost(const StoreRequest& aRequest, std::string aDetail)
{
  return { .mVerdict =
             IsWrite(aRequest) ? StoreVerdict::Unclear : StoreVerdict::NotDone,
           .mDetail = std::move(aDetail) };
}

std::string
PathOf(const StoreRequest& aRequest)
{
  switch (aRequest.mOperation) {
    case StoreOperation::Read:
      return fmt::format("/v1/kv/{}", aRequest.mKey);
    case StoreOperation::Watch:
      return fmt::format("/v1/watch/{}?revision={}&wait_ms={}",
                         aRequest.mKey,
                         aRequest.mRevision,
                         ToMillis(aRequest.mTimeout));
    case StoreOperation::CompareAndSwap:
    case StoreOperation::Delete:
      break;
  }
  return fmt::format(
    "/v1/kv/{}?revision={}", aRequest.mKey, aRequest.mRevision);
}

httplib::Result
Send(httplib::Client& aClient, const StoreRequest& aRequest)
{
  const std::string path = PathOf(aRequest);
  switch (aRequest.mOperation) {
    case StoreOperation::CompareAndSwap: {
      const nlohmann::json body = { { "value",
                                      EncodeBase64(aRequest.mValue) } };
      return aClient.Put(path, body.dump(), "application/json");
    }
    case StoreOperation::Delete:
      return aClient.Delete(path);
    case StoreOperation::Read:
    case StoreOperation::Watch:
      break;
  }
  return aClient.Get(path);
}

// Fields of an answer; a field of another type makes the answer unreadable.
struct Body
{
  StoredValue mStored;
  bool mHasRevision = false;
  std::optional<bool> mApplied;
};

std::optional<Body>
ParseBody(const std::string& aText)
{
  const auto json = nlohmann::json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  Body out;
  if (const auto it = json.find("revision"); it != json.end()) {
    if (!it->is_number_unsigned()) {
      return std::nullopt;
    }
    out.mStored.mRevision = it->get<uint64_t>();
    out.mHasRevision = true;
  }
  if (const auto it = json.find("value"); it != json.end()) {
    auto value = it->is_string()
                   ? DecodeBase64(it->get_ref<const std::string&>())
                   : std::nullopt;
    if (!value) {
      return std::nullopt;
    }
    out.mStored.mValue = std::move(*value);
  }
  if (const auto it = json.find("applied");
      it != json.end() && it->is_boolean()) {
    out.mApplied = it->get<bool>();
  }
  return out;
}

StoreAnswer
Interpret(const StoreRequest& aRequest, const httplib::Response& aResponse)
{
  const auto detail = fmt::format("status {}", aResponse.status);
  switch (aResponse.status) {
    case 304:
      return aRequest.mOperation == StoreOperation::Watch
               ? StoreAnswer{ .mVerdict = StoreVerdict::Unchanged }
               : Lost(aRequest, detail);
    case 400:
    case 413:
    case 429:
      return NotDone(detail);
    default:
      break;
  }
  const auto body = ParseBody(aResponse.body);
  if (!body) {
    return Lost(aRequest, detail + ", unreadable body");
  }
  const bool isFound = aResponse.status == 200 && body->mHasRevision;
  const bool isAbsent = aResponse.status == 404 && !IsWrite(aRequest);
  if (isFound || isAbsent) {
    return { .mVerdict = StoreVerdict::Done, .mCurrent = body->mStored };
  }
  if (aResponse.status == 409 && IsWrite(aRequest) && body->mHasRevision) {
    return { .mVerdict = StoreVerdict::Conflict, .mCurrent = body->mStored };
  }
  if (aResponse.status == 503 && body->mApplied == false) {
    return NotDone(detail);
  }
  return Lost(aRequest, detail);
}

// The library takes any text up to a colon for a name, so that a length may not
// be seen.
bool
HasValidHead(const httplib::Response& aResponse)
{
  return IsValidStatus(aResponse.status) &&
         std::all_of(aResponse.headers.begin(),
                     aResponse.headers.end(),
                     [](const auto& aField) { return IsToken(aField.first); });
}

void
SetTimeouts(httplib::Client& aClient, const StoreRequest& aRequest)
{
  const Duration wait = aRequest.mOperation == StoreOperation::Watch
                          ? aRequest.mTimeout + kWatchMargin
                          : aRequest.mTimeout;
  aClient.set_connection_timeout(aRequest.mTimeout);
  aClient.set_read_timeout(wait);
  aClient.set_write_timeout(aRequest.mTimeout);
}

} // namespace

HttpKeyValueStore::HttpKeyValueStore(const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return;
  }
  mHost = aAddress.substr(0, colon);
  const char* end = aAddress.data() + aAddress.size();
  std::from_chars(aAddress.data() + colon + 1, end, mPort);
}

StoreAnswer
HttpKeyValueStore::Execute(const StoreRequest& aRequest)
{
  if (mHost.empty() || mPort == 0) {
    return NotDone("no address");
  }
  if (!IsPlainKey(aRequest.mKey)) {
    return NotDone("bad key");
  }
  if (aRequest.mValue.size() > kLargestValue) {
    return NotDone("value larger than 1 MB");
  }
  try {
    httplib::Client client(mHost, mPort);
    client.set_tcp_nodelay(true);
    SetTimeouts(client, aRequest);
    const httplib::Result result = Send(client, aRequest);
    if (result && !HasValidHead(*result)) {
      return Lost(aRequest, "malformed head");
    }
    if (result) {
      return Interpret(aRequest, *result);
    }
    const auto detail = httplib::to_string(result.error());
    const bool isConnected =
      result.error() != httplib::Error::Connection &&
      result.error() != httplib::Error::ConnectionTimeout;
    return isConnected ? Lost(aRequest, detail) : NotDone(detail);
  } catch (const std::exception& e) {
    return Lost(aRequest, e.what());
  }
}

} // namespace amaranthgap
