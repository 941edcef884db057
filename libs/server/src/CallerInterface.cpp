#include "server/CallerInterface.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "server/HttpFraming.h"

namespace amaranthgap {

namespace {

using nlohmann::json;

constexpr std::string_view kCallPrefix = "/call/";
constexpr size_t kMaxRequestId = 128;
constexpr int64_t kMaxTimeoutMs = 3'600'000;

bool
IsPlainText(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar > ' ' && aChar < 0x7f;
  });
}

bool
ParseTimeout(std::string_view aText, Duration& aTimeout)
{
  int64_t ms = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), ms);
  if (ec != std::errc{} || end != aText.data() + aText.size() || ms <= 0) {
    return false;
  }
  aTimeout = milliseconds(std::min(ms, kMaxTimeoutMs));
  return true;
}

std::string
DecodePercent(std::string_view aText)
{
  std::string out;
  for (size_t n = 0; n < aText.size(); ++n) {
    unsigned value = 0;
    const char* hex = aText.data() + n + 1;
    if (aText[n] == '%' && n + 2 < aText.size() &&
        std::from_chars(hex, hex + 2, value, 16).ptr == hex + 2) {
      out += char(value);
      n += 2;
    } else {
      out += aText[n] == '+' ? ' ' : aText[n];
    }
  }
  return out;
}

void
AddRetryAfter(HttpResponse& aResponse, Duration aRetryAfter)
{
  // The other statuses report a fault of the request, which waiting does not
  // mend, or ask for a repeat at once.
  const bool helps = aResponse.mStatus == 429 || aResponse.mStatus == 503 ||
                     aResponse.mStatus == 504;
  if (!helps || aRetryAfter <= Duration::zero()) {
    return;
  }
  const int64_t ms = std::max<int64_t>(1, ToMillis(aRetryAfter));
  // Whole seconds are rounded up: coming back earlier would be too early.
  aResponse.mHeaders.emplace_back("Retry-After",
                                  std::to_string((ms + 999) / 1000));
  aResponse.mHeaders.emplace_back("Amaranthgap-Retry-After-Ms",
                                  std::to_string(ms));
}

void
AddOutcome(HttpResponse& aResponse, Outcome aOutcome, Reason aReason)
{
  aResponse.mHeaders.emplace_back("Amaranthgap-Outcome", ToName(aOutcome));
  if (aReason != Reason::None) {
    aResponse.mHeaders.emplace_back("Amaranthgap-Reason", ToName(aReason));
  }
}

std::string
RefusalBody(Outcome aOutcome, Reason aReason)
{
  return fmt::format("{{\"outcome\":\"{}\",\"reason\":\"{}\"}}\n",
                     ToName(aOutcome),
                     ToName(aReason));
}

} // namespace

int
StatusOf(Outcome aOutcome, Reason aReason)
{
  if (aOutcome == Outcome::MayHaveRun) {
    return 504;
  }
  switch (aReason) {
    case Reason::BadRequest:
    case Reason::UnknownClass:
      return 400;
    case Reason::UnknownCaller:
    case Reason::UnknownExecution:
      return 403;
    case Reason::UnknownService:
      return 404;
    case Reason::KeyRequired:
    case Reason::KeyExpired:
    case Reason::KeyHolderGone:
      return 409;
    case Reason::TooLarge:
      return 413;
    case Reason::KeyMismatch:
    case Reason::UnderIdempotent:
    case Reason::Quarantined:
      return 422;
    case Reason::Throttled:
      return 429;
    default:
      return 503;
  }
}

std::variant<CallerCall, Reason>
ParseCall(HttpRequest aRequest, bool aFromUpstream)
{
  const std::string_view path = aRequest.mPath;
  if (!path.starts_with(kCallPrefix)) {
    return Reason::UnknownService;
  }
  const std::string_view rest = path.substr(kCallPrefix.size());
  const size_t end = std::min(rest.find_first_of("/?"), rest.size());
  const auto header = [&](std::string_view aName) {
    return std::string(FindHeader(aRequest.mHeaders, aName));
  };
  CallerCall call{ .mRequest = { header("X-Request-Id") },
                   .mCallerName = header("Amaranthgap-Caller"),
                   .mService = std::string(rest.substr(0, end)),
                   .mRequestClass = header("Amaranthgap-Class"),
                   .mKey = header("Idempotency-Key"),
                   .mContext =
                     aFromUpstream ? header("Amaranthgap-Context") : "",
                   .mFromUpstream = aFromUpstream };
  const std::string timeout = header("Amaranthgap-Timeout-Ms");
  if (call.mService.empty() || call.mRequestClass.empty() ||
      call.mRequest.mValue.size() > kMaxRequestId ||
      !IsPlainText(call.mRequest.mValue) ||
      (!timeout.empty() && !ParseTimeout(timeout, call.mTimeout))) {
    return Reason::BadRequest;
  }
  call.mHttp.mMethod = std::move(aRequest.mMethod);
  call.mHttp.mPath = rest.substr(end);
  if (!call.mHttp.mPath.starts_with('/')) {
    call.mHttp.mPath.insert(0, "/");
  }
  call.mHttp.mHeaders = ForwardedHeaders(aRequest.mHeaders);
  // The target node sets the id of the request itself.
  std::erase_if(call.mHttp.mHeaders, [](const auto& aHeader) {
    return EqualsIgnoringCase(aHeader.first, "X-Request-Id");
  });
  call.mHttp.mBody = std::move(aRequest.mBody);
  return call;
}

std::variant<CallerKeyRequest, Reason>
ParseKeyRequest(const HttpRequest& aRequest)
{
  const auto question =
    std::min(aRequest.mPath.find('?'), aRequest.mPath.size());
  const std::string query = aRequest.mPath.substr(question);
  CallerKeyRequest request{
    .mCallerName =
      std::string(FindHeader(aRequest.mHeaders, "Amaranthgap-Caller")),
    .mService = QueryValue(query, "service").value_or(""),
    .mRequestClass = QueryValue(query, "class").value_or("")
  };
  if (request.mRequestClass.empty()) {
    request.mRequestClass = FindHeader(aRequest.mHeaders, "Amaranthgap-Class");
  }
  if (request.mService.empty() || request.mRequestClass.empty()) {
    return Reason::BadRequest;
  }
  return request;
}

std::variant<Announcement, std::string>
ParseAnnouncement(const std::string& aBody)
{
  const json object = json::parse(aBody, nullptr, false);
  if (!object.is_object()) {
    return "not a JSON object";
  }
  Announcement out;
  for (const auto& [key, value] : object.items()) {
    const auto isCount = [&value = value](uint64_t aMax) {
      return value.is_number_unsigned() && value.get<uint64_t>() <= aMax;
    };
    if (key == "service" && value.is_string()) {
      out.mService = value;
    } else if (key == "address" && value.is_string()) {
      out.mAddress = value;
    } else if (key == "run" && value.is_string()) {
      out.mRun = value;
    } else if (key == "slots" && isCount(1'000'000)) {
      out.mSlots = value;
    } else if (key == "warm_up_ms" && isCount(uint64_t(kMaxTimeoutMs))) {
      out.mWarmUp = milliseconds(value.get<int64_t>());
    } else if (key == "leaving" && value.is_boolean()) {
      out.mLeaving = value;
    } else {
      return "unknown key or wrong type: " + key;
    }
  }
  if (out.mService.empty() || out.mAddress.empty() || out.mSlots == 0) {
    return "service, address and slots are required";
  }
  return out;
}

HttpResponse
RenderAnswer(AnswerCaller aAnswer)
{
  HttpResponse out;
  const bool answered = aAnswer.mOutcome == Outcome::Answered;
  if (answered) {
    out = std::move(aAnswer.mHttp);
    std::erase_if(out.mHeaders, [](const auto& aHeader) {
      return EqualsIgnoringCase(aHeader.first, "X-Request-Id");
    });
  } else {
    out.mStatus = StatusOf(aAnswer.mOutcome, aAnswer.mReason);
    out.mHeaders.emplace_back("Content-Type", "application/json");
    out.mBody = RefusalBody(aAnswer.mOutcome, aAnswer.mReason);
    AddRetryAfter(out, aAnswer.mRetryAfter);
  }
  if (!aAnswer.mRequest.IsEmpty()) {
    out.mHeaders.emplace_back("X-Request-Id", aAnswer.mRequest.mValue);
  }
  if (!aAnswer.mIssuedKey.empty()) {
    out.mHeaders.emplace_back("Idempotency-Key", aAnswer.mIssuedKey);
  }
  AddOutcome(out, aAnswer.mOutcome, aAnswer.mReason);
  return out;
}

HttpResponse
RenderRefusal(int aStatus, Reason aReason)
{
  HttpResponse out = RenderJson(aStatus, RefusalBody(Outcome::NotRun, aReason));
  AddOutcome(out, Outcome::NotRun, aReason);
  return out;
}

HttpResponse
RenderJson(int aStatus, std::string aBody)
{
  return { .mStatus = aStatus,
           .mHeaders = { { "Content-Type", "application/json" } },
           .mBody = std::move(aBody) };
}

std::optional<std::string>
QueryValue(std::string_view aQuery, std::string_view aName)
{
  if (aQuery.starts_with('?')) {
    aQuery.remove_prefix(1);
  }
  while (!aQuery.empty()) {
    const size_t end = std::min(aQuery.find('&'), aQuery.size());
    const auto item = aQuery.substr(0, end);
    const size_t equals = std::min(item.find('='), item.size());
    if (item.substr(0, equals) == aName) {
      return DecodePercent(item.substr(std::min(equals + 1, item.size())));
    }
    aQuery.remove_prefix(std::min(end + 1, aQuery.size()));
  }
  return std::nullopt;
}

} // namespace amaranthgap
