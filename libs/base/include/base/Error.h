#pragma once

#include <string>
#include <utility>

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include "base/EnumNames.h"

namespace amaranthgap {

/** Step of the work at which an error arose. */
enum class Step
{
  ReadSettings,
  ReadManifest,
  Decode,
  Connect,
  Send,
  Receive,
  StoreRead,
  StoreWrite,
  Listen,
  Verify,
};

template<>
struct EnumNames<Step>
{
  static constexpr std::array kNames{
    std::pair{ Step::ReadSettings, std::string_view{ "read-settings" } },
    std::pair{ Step::ReadManifest, std::string_view{ "read-manifest" } },
    std::pair{ Step::Decode, std::string_view{ "decode" } },
    std::pair{ Step::Connect, std::string_view{ "connect" } },
    std::pair{ Step::Send, std::string_view{ "send" } },
    std::pair{ Step::Receive, std::string_view{ "receive" } },
    std::pair{ Step::StoreRead, std::string_view{ "store-read" } },
    std::pair{ Step::StoreWrite, std::string_view{ "store-write" } },
    std::pair{ Step::Listen, std::string_view{ "listen" } },
    std::pair{ Step::Verify, std::string_view{ "verify" } },
  };
};

/** Failure of one step, with the peer (or the file) it was dealing with. */
struct Error
{
  Step mStep;
  std::string mPeer;
  std::string mDetail;

  /** @return step, peer and detail in one line. */
  [[nodiscard]] std::string ToString() const;
};

template<class T>
using Result = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/** Result of an operation without a value. */
using Status = Result<void>;

} // namespace amaranthgap
