#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wire/Http.h"

namespace amaranthgap {

/** State of the message that an HttpReader reads. */
enum class ReadState : uint8_t
{
  Idle,    ///< No byte of a message has arrived.
  Partial, ///< Part of a message has arrived.
  Invalid, ///< Not HTTP/1.x, or over a limit; the connection is of no use.
};

/** Why a request could not be read. */
enum class ReadFault : uint8_t
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/** Bounds of one message, in bytes. */
struct ReadLimits
{
  uint32_t mHeaderBytes = 16 * 1024;
  uint64_t mBodyBytes = uint64_t(8) * 1024 * 1024;
};

/** Request with what its framing says of the connection. */
struct ReceivedRequest
{
  HttpRequest mHttp;
  bool mKeepAlive = true;
};

/** Complete response with what its framing says of the connection. */
struct ReceivedResponse
{
  HttpResponse mHttp;
  bool mKeepAlive = true;
};

/** Reads requests off the bytes of one connection, over Boost.Beast. Not safe
 * for use by several threads. */
class RequestReader
{
public:
  explicit RequestReader(const ReadLimits& aLimits);
  ~RequestReader();

  void Feed(std::string_view aData);
  /** @return the next complete request, in the order of arrival. */
  std::optional<ReceivedRequest> Next();
  [[nodiscard]] ReadState State() const;
  [[nodiscard]] ReadFault Fault() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

/** Reads responses off the bytes of one connection, over Boost.Beast. Not safe
 * for use by several threads. */
class ResponseReader
{
public:
  explicit ResponseReader(const ReadLimits& aLimits);
  ~ResponseReader();

  void Feed(std::string_view aData);
  /** @param aIsHeadRequest whether the request was a HEAD request, whose
   * response has no body.
   * @return the next complete response. */
  std::optional<ReceivedResponse> Next(bool aIsHeadRequest);
  /** Notes that the peer closed the connection in order, which completes a
   * response without a length. */
  std::optional<ReceivedResponse> Finish();
  [[nodiscard]] ReadState State() const;

private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

} // namespace amaranthgap
