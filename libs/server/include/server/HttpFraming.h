#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "http/HttpHeaders.h"

namespace amaranthgap {

/** @return the headers to pass on: without those of one hop, those named in
 * Connection, and those of this system. */
HttpHeaders
ForwardedHeaders(const HttpHeaders& aHeaders);

/**
 * Parses header lines up to and including the empty line. Values are kept as
 * they are: the library's parser decodes percent signs in values, which would
 * change them on the way and let `%0d%0a` add lines.
 * @return false for a malformed line.
 */
bool
ParseHeaderLines(std::string_view aLines, HttpHeaders& aHeaders);

/**
 * Finds the end of one HTTP/1.1 request in a growing buffer, so that a worker
 * is given complete requests only. Not safe for use by several threads.
 */
class RequestFramer
{
public:
  struct Limits
  {
    size_t mMaxHeaderBytes = size_t(16) * 1024;
    size_t mMaxBodyBytes = size_t(512) * 1024;
  };

  enum class Verdict : uint8_t
  {
    NeedMore,
    Complete,
    Bad, ///< See BadStatus; the connection cannot be used any further.
  };

  explicit RequestFramer(Limits aLimits)
    : mLimits(aLimits)
  {
  }

  /** Takes the buffer, which begins with the request and has only grown since
   * the last call. */
  Verdict Advance(std::string_view aBuffer);

  /** Prepares for the next request on the connection. */
  void Reset();

  [[nodiscard]] HttpRequest TakeRequest() { return std::move(mRequest); }
  /** @return the bytes that the complete request takes in the buffer. */
  [[nodiscard]] size_t Length() const { return mLength; }
  [[nodiscard]] bool KeepsAlive() const { return mKeepAlive; }
  [[nodiscard]] int BadStatus() const { return mBadStatus; }
  /** @return whether the sender waits for `100 Continue` before the body. */
  [[nodiscard]] bool TakeExpectation();

private:
  Verdict Fail(int aStatus);
  Verdict ReadHead(std::string_view aBuffer);
  int ReadRequestLine(std::string_view aLine);
  int ReadFraming();
  Verdict ReadBody(std::string_view aBuffer);
  Verdict ReadChunks(std::string_view aBuffer);

  Limits mLimits;
  HttpRequest mRequest;
  size_t mScanned = 0;    ///< Where the search for the end of the head goes on.
  size_t mHeadLength = 0; ///< 0 until the head is complete.
  size_t mBodyLength = 0;
  size_t mLength = 0;
  size_t mChunkStart = 0; ///< Where the next chunk line begins.
  bool mChunked = false;
  bool mKeepAlive = true;
  bool mExpectsContinue = false;
  int mBadStatus = 0;
};

} // namespace amaranthgap
