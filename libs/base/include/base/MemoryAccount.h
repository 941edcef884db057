#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "base/EnumNames.h"

namespace amaranthgap {

/** What a process holds bytes of others for. */
enum class MemoryUse : uint8_t
{
  CallerInput,    ///< Requests that have not arrived whole.
  CallerOutput,   ///< Answers that callers have not read.
  Requests,       ///< Requests under way.
  PeerInput,      ///< Messages of other nodes that have not arrived whole.
  PeerOutput,     ///< Messages that other nodes have not read.
  UpstreamInput,  ///< Responses that have not arrived whole.
  UpstreamOutput, ///< Requests that the upstream has not read.
};

template<>
struct EnumNames<MemoryUse>
{
  static constexpr std::array kNames{
    std::pair{ MemoryUse::CallerInput, std::string_view{ "caller_input" } },
    std::pair{ MemoryUse::CallerOutput, std::string_view{ "caller_output" } },
    std::pair{ MemoryUse::Requests, std::string_view{ "requests" } },
    std::pair{ MemoryUse::PeerInput, std::string_view{ "peer_input" } },
    std::pair{ MemoryUse::PeerOutput, std::string_view{ "peer_output" } },
    std::pair{ MemoryUse::UpstreamInput, std::string_view{ "upstream_input" } },
    std::pair{ MemoryUse::UpstreamOutput,
               std::string_view{ "upstream_output" } },
  };
};

/** Counts the bytes that a process holds for callers, other nodes and its
 * upstream, against one limit. Refuses nothing by itself: its users ask before
 * they take on more, and give up what they hold when the limit is exceeded. Not
 * thread-safe. */
class MemoryAccount
{
public:
  /** Part of the memory of a process that it may hold for others. The rest is
   * for the program itself, for copies while a message is encoded or sent, and
   * for what the allocator cannot reuse. */
  static constexpr double kHeldShare = 0.4;
  /** Part of the limit above which no further large request is taken. */
  static constexpr double kRequestShare = 0.75;
  /** Requests and messages up to this size are always taken; others only if
   * there is room for them. */
  static constexpr size_t kSmallBytes = size_t(64) * 1024;

  /** Bytes that one holder counts for one use; counted out when destroyed. */
  class Share
  {
  public:
    Share() = default;
    /** @param aAccount nothing is counted if it is null. */
    Share(std::shared_ptr<MemoryAccount> aAccount, MemoryUse aUse)
      : mAccount(std::move(aAccount))
      , mUse(aUse)
    {
    }
    ~Share() { Set(0); }
    Share(Share&& aOther) noexcept { *this = std::move(aOther); }
    Share& operator=(Share&& aOther) noexcept
    {
      Set(0);
      mAccount = std::move(aOther.mAccount);
      mUse = aOther.mUse;
      mBytes = std::exchange(aOther.mBytes, 0);
      return *this;
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    void Set(size_t aBytes)
    {
      if (mAccount && aBytes != mBytes) {
        mAccount->Change(mUse, mBytes, aBytes);
        mBytes = aBytes;
      }
    }
    [[nodiscard]] size_t Bytes() const { return mBytes; }

  private:
    std::shared_ptr<MemoryAccount> mAccount;
    MemoryUse mUse = MemoryUse::Requests;
    size_t mBytes = 0;
  };

  /** @param aLimitBytes most that may be held. */
  explicit MemoryAccount(size_t aLimitBytes)
    : mLimit(aLimitBytes)
  {
  }

  [[nodiscard]] size_t Limit() const { return mLimit; }
  [[nodiscard]] size_t Held() const { return mHeld; }
  [[nodiscard]] size_t HeldFor(MemoryUse aUse) const
  {
    return mByUse[size_t(aUse)];
  }
  /** @return the highest value of Held() so far. */
  [[nodiscard]] size_t Peak() const { return mPeak; }
  [[nodiscard]] bool IsExceeded() const { return mHeld > mLimit; }
  /** @return whether a request or a message of a size may be taken. */
  [[nodiscard]] bool HasRoomFor(size_t aBytes) const
  {
    return aBytes <= kSmallBytes ||
           double(mHeld + aBytes) <= double(mLimit) * kRequestShare;
  }

private:
  void Change(MemoryUse aUse, size_t aBefore, size_t aAfter)
  {
    mByUse[size_t(aUse)] += aAfter - aBefore;
    mHeld += aAfter - aBefore;
    mPeak = std::max(mPeak, mHeld);
  }

  size_t mLimit;
  size_t mHeld = 0;
  size_t mPeak = 0;
  std::array<size_t, EnumNames<MemoryUse>::kNames.size()> mByUse{};
};

} // namespace amaranthgap
