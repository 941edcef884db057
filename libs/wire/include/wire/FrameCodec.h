#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Error.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** @return a message as a frame: four bytes of length, the kind, and the
 * fields in msgpack. */
std::string
EncodeFrame(const LinkMessage& aMessage);

/** Attempt or reply that was not read because there was no room for it. */
struct SkippedFrame
{
  bool mIsRequest = false; ///< A reply otherwise.
  uint64_t mCall = 0;
};

/** Reads frames off the bytes of one connection. Not safe for use by several
 * threads. */
class FrameReader
{
public:
  static constexpr size_t kLargestFrame = size_t(72) * 1024 * 1024;

  /** @return whether there is room for a frame of that many bytes. */
  using RoomFunction = std::function<bool(size_t)>;

  /** @param aHasRoom asked once for each large attempt or reply before it is
   * buffered; the bytes of one without room are dropped as they arrive, so that
   * the messages behind it are read all the same. */
  explicit FrameReader(RoomFunction aHasRoom = nullptr);

  void Feed(std::string_view aData);
  /** @return the next message that was skipped, in order of arrival. */
  std::optional<SkippedFrame> NextSkipped();
  /** @return the bytes of memory that the reader takes, with all of a frame
   * that it has begun to buffer. */
  [[nodiscard]] size_t BufferedBytes() const;
  /** @return the next message, nothing when it is not complete yet, or an
   * error after which the connection is of no use. */
  Result<std::optional<LinkMessage>> Next();

private:
  /** Decides whether the frame at the front of the buffer is read.
   * @return false if more bytes are needed to decide. */
  bool Admit(size_t aSize);

  RoomFunction mHasRoom;
  std::string mBuffer;
  size_t mUsed = 0;
  size_t mFrameBytes =
    0;                   ///< Of a frame that is read; 0 before that is decided.
  size_t mSkipBytes = 0; ///< Left of a frame that is skipped.
  std::vector<SkippedFrame> mSkipped;
};

} // namespace amaranthgap
