#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** Parsing state of the current message. */
enum class ReadState : uint8_t
{
  Idle,    ///< No byte of the next message has arrived.
  Partial, ///< Part of a message has arrived.
  Invalid, ///< Not HTTP/1.x, or over a limit; the connection is unusable.
};

/** Reason why a message could not be parsed. */
enum class ReadFault : uint8_t
{
  None,
  Malformed,
  HeaderTooLarge, ///< The head, the trailers or a chunk header.
  BodyTooLarge,
  UnsupportedCoding, ///< A transfer coding other than chunked.
};

/** Size limits of one message, in bytes. */
struct ReadLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = uint64_t(8) * 1024 * 1024;
};

/** Complete request, and whether the connection stays open after it. */
struct ReceivedRequest
{
  HttpRequest mHttp;
  bool mKeepAlive = true;
};

/** Complete response, and whether the connection stays open after it. */
struct ReceivedResponse
{
  HttpResponse mHttp;
  bool mKeepAlive = true;
};

/** Incremental parser of the requests on one connection, based on Boost.Beast.
 * Not thread-safe. */
class RequestReader
{
public:
  explicit RequestReader(const ReadLimits& aLimits);
  ~RequestReader();

  void Feed(std::string_view aData);
  /** Parses received data, at most some kilobytes of a body whose chunks are
   * small, because these take many times the processor time of others.
   * @return the next complete request in order of arrival, or nothing. */
  std::optional<ReceivedRequest> Next();
  /** @return whether another call of Next() can go on without more data. */
  [[nodiscard]] bool HasUnparsedData() const;
  /** @return the received bytes that have not been parsed. */
  [[nodiscard]] size_t UnparsedBytes() const;
  /** Frees the memory of the current request, which is not read any further. */
  void Discard();
  [[nodiscard]] ReadState State() const;
  /** @return the bytes of memory that the current request takes so far. */
  [[nodiscard]] size_t BufferedBytes() const;
  [[nodiscard]] ReadFault Fault() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

/** Incremental parser of the responses on one connection, based on Boost.Beast.
 * Not thread-safe. */
class ResponseReader
{
public:
  explicit ResponseReader(const ReadLimits& aLimits);
  ~ResponseReader();

  void Feed(std::string_view aData);
  /** @param aIsHeadRequest whether the request was a HEAD request, whose
   * response has no body.
   * @return the next complete final response, or nothing. Interim (1xx)
   * responses are skipped. */
  std::optional<ReceivedResponse> Next(bool aIsHeadRequest);
  /** Signals that the peer closed the connection cleanly.
   * @return the current response if it has no length and thus ends with the
   * connection, or nothing. */
  std::optional<ReceivedResponse> Finish();
  /** Frees the memory of the current response, which is not read any further.
   */
  void Discard();
  [[nodiscard]] ReadState State() const;
  /** @return the bytes of memory that the current response takes so far. */
  [[nodiscard]] size_t BufferedBytes() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace amaranthgap
