#include "server/HttpFraming.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>
#include <vector>

#include "wire/HttpSyntax.h"

namespace amaranthgap {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// A chunk line holds a length and, rarely, an extension.
constexpr size_t kMaxChunkLine = 256;

bool
IsValueChar(char aChar)
{
  const auto c = static_cast<unsigned char>(aChar);
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

bool
ParseNumber(std::string_view aText, size_t& aNumber, int aBase)
{
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber, aBase);
  return ec == std::errc{} && end == aText.data() + aText.size() &&
         !aText.empty();
}

} // namespace

HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders)
{
  static constexpr std::string_view kOwnPrefix = "amaranthgap-";
  HttpHeaders out = EndToEndHeaders(aHeaders);
  std::erase_if(out, [](const auto& aHeader) {
    const std::string_view name = aHeader.first;
    return EqualsIgnoringCase(name, "host") ||
           EqualsIgnoringCase(name.substr(0, kOwnPrefix.size()), kOwnPrefix);
  });
  return out;
}

bool
ParseHeaderLines(std::string_view aLines, HttpHeaders& aHeaders)
{
  while (true) {
    const auto end = aLines.find(kLineEnd);
    if (end == std::string_view::npos) {
      return false;
    }
    if (end == 0) {
      return true;
    }
    const std::string_view line = aLines.substr(0, end);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
      return false;
    }
    const std::string_view value = TrimBlanks(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), IsValueChar)) {
      return false;
    }
    aHeaders.emplace_back(line.substr(0, colon), value);
    aLines.remove_prefix(end + kLineEnd.size());
  }
}

// -- RequestFramer ----------------------------------------------------------

void
RequestFramer::Reset()
{
  *this = RequestFramer(mLimits);
}

bool
RequestFramer::TakeExpectation()
{
  return std::exchange(mExpectsContinue, false);
}

RequestFramer::Verdict
RequestFramer::Fail(int aStatus)
{
  mBadStatus = aStatus;
  mKeepAlive = false;
  return Verdict::Bad;
}

RequestFramer::Verdict
RequestFramer::Advance(std::string_view aBuffer)
{
  if (mHeadLength == 0) {
    if (const Verdict verdict = ReadHead(aBuffer);
        verdict != Verdict::Complete) {
      return verdict;
    }
  }
  return mChunked ? ReadChunks(aBuffer) : ReadBody(aBuffer);
}

RequestFramer::Verdict
RequestFramer::ReadHead(std::string_view aBuffer)
{
  const auto end = aBuffer.find(kHeadEnd, mScanned);
  const size_t length =
    end == std::string_view::npos ? aBuffer.size() : end + kHeadEnd.size();
  if (length > mLimits.mMaxHeaderBytes) {
    return Fail(431);
  }
  if (end == std::string_view::npos) {
    mScanned = aBuffer.size() < kHeadEnd.size()
                 ? 0
                 : aBuffer.size() - kHeadEnd.size() + 1;
    return Verdict::NeedMore;
  }
  const auto line = aBuffer.find(kLineEnd);
  if (const int status = ReadRequestLine(aBuffer.substr(0, line));
      status != 0) {
    return Fail(status);
  }
  if (!ParseHeaderLines(
        aBuffer.substr(line + kLineEnd.size(), length - line - 2),
        mRequest.mHeaders)) {
    return Fail(400);
  }
  if (const int status = ReadFraming(); status != 0) {
    return Fail(status);
  }
  mHeadLength = length;
  mChunkStart = length;
  return Verdict::Complete;
}

int
RequestFramer::ReadRequestLine(std::string_view aLine)
{
  const auto first = aLine.find(' ');
  const auto last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return 400;
  }
  const auto method = aLine.substr(0, first);
  const auto target = aLine.substr(first + 1, last - first - 1);
  const auto version = aLine.substr(last + 1);
  const bool plain = std::all_of(target.begin(), target.end(), [](char aChar) {
    return aChar > ' ' && aChar < 0x7f;
  });
  if (!IsToken(method) || !target.starts_with('/') || !plain) {
    return 400;
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return 505;
  }
  mKeepAlive = version == "HTTP/1.1";
  mRequest.mMethod = method;
  mRequest.mPath = target;
  return 0;
}

int
RequestFramer::ReadFraming()
{
  bool hasLength = false;
  for (const auto& [name, value] : mRequest.mHeaders) {
    if (EqualsIgnoringCase(name, "content-length")) {
      size_t length = 0;
      if (!ParseNumber(value, length, 10) ||
          (hasLength && length != mBodyLength)) {
        return 400;
      }
      hasLength = true;
      mBodyLength = length;
    } else if (EqualsIgnoringCase(name, "transfer-encoding")) {
      if (mChunked || !EqualsIgnoringCase(value, "chunked")) {
        return 501;
      }
      mChunked = true;
    } else if (EqualsIgnoringCase(name, "connection")) {
      ForEachListItem(value, [&](auto aItem) {
        mKeepAlive = mKeepAlive && !EqualsIgnoringCase(aItem, "close");
      });
    } else if (EqualsIgnoringCase(name, "expect")) {
      if (!EqualsIgnoringCase(value, "100-continue")) {
        return 417;
      }
      mExpectsContinue = true;
    }
  }
  // Both framings in one request are a means to smuggle a second one.
  if (mChunked && hasLength) {
    return 400;
  }
  return mBodyLength > mLimits.mMaxBodyBytes ? 413 : 0;
}

RequestFramer::Verdict
RequestFramer::ReadBody(std::string_view aBuffer)
{
  mLength = mHeadLength + mBodyLength;
  if (aBuffer.size() < mLength) {
    return Verdict::NeedMore;
  }
  mRequest.mBody = aBuffer.substr(mHeadLength, mBodyLength);
  return Verdict::Complete;
}

RequestFramer::Verdict
RequestFramer::ReadChunks(std::string_view aBuffer)
{
  while (true) {
    const std::string_view rest = aBuffer.substr(mChunkStart);
    const auto end = rest.find(kLineEnd);
    if (end == std::string_view::npos || end > kMaxChunkLine) {
      return rest.size() > kMaxChunkLine ? Fail(400) : Verdict::NeedMore;
    }
    const auto line = rest.substr(0, end);
    size_t n = 0;
    if (!ParseNumber(TrimBlanks(line.substr(0, line.find(';'))), n, 16)) {
      return Fail(400);
    }
    if (n > mLimits.mMaxBodyBytes ||
        mRequest.mBody.size() + n > mLimits.mMaxBodyBytes) {
      return Fail(413);
    }
    const size_t data = end + kLineEnd.size();
    if (n == 0) {
      // Trailer fields are not used by the system and are refused.
      const auto tail = rest.substr(data, kLineEnd.size());
      if (tail.size() < kLineEnd.size()) {
        return Verdict::NeedMore;
      }
      mLength = mChunkStart + data + kLineEnd.size();
      return tail == kLineEnd ? Verdict::Complete : Fail(400);
    }
    if (rest.size() < data + n + kLineEnd.size()) {
      return Verdict::NeedMore;
    }
    if (rest.substr(data + n, kLineEnd.size()) != kLineEnd) {
      return Fail(400);
    }
    mRequest.mBody += rest.substr(data, n);
    mChunkStart += data + n + kLineEnd.size();
  }
}

} // namespace amaranthgap
