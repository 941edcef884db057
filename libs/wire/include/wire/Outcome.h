#pragma once

#include <cstdint>

#include <msgpack.hpp>

#include "base/EnumNames.h"

namespace amaranthgap {

/** Final outcome of a call. */
enum class Outcome : uint8_t
{
  Answered,   ///< The upstream's complete answer, whatever its status.
  NotRun,     ///< Refused before any byte was sent to the upstream.
  MayHaveRun, ///< Sent, but no complete answer is known.
};

template<>
struct EnumNames<Outcome>
{
  static constexpr std::array kNames{
    std::pair{ Outcome::Answered, std::string_view{ "answered" } },
    std::pair{ Outcome::NotRun, std::string_view{ "not-run" } },
    std::pair{ Outcome::MayHaveRun, std::string_view{ "may-have-run" } },
  };
};

/** Reason of an outcome other than Answered. */
enum class Reason : uint8_t
{
  None,
  BadRequest,
  UnknownCaller,
  UnknownClass,
  UnknownService,
  TooLarge,
  DeadlineExpired,
  NoManifest,
  NoTarget,
  Throttled,      ///< Refused at the entry: a service below is overloaded.
  Overloaded,     ///< Refused by the queue of a target.
  Evicted,        ///< Displaced from a queue by a more important call.
  Leaving,        ///< The node or its upstream is draining.
  UpstreamDown,   ///< The upstream has not announced itself or has crashed.
  WrongTarget,    ///< Addressed to an incarnation that is no longer there.
  Quarantined,    ///< The request has crashed upstreams.
  SuspectWaiting, ///< The request may have crashed one and must run alone.
  KeyRequired,    ///< Non-idempotent without an issued key; a key is attached.
  KeyMismatch,    ///< The key was used with another payload.
  KeyExpired,
  KeyHolderGone,   ///< The incarnation named by the key is gone.
  UnderIdempotent, ///< Non-idempotent call under an idempotent execution.
  UnknownExecution,
  UpstreamFailed, ///< Connection lost, or an answer that is not complete.
  PeerLost,
  CallerGone,
  AnswerTooLarge,
};

template<>
struct EnumNames<Reason>
{
  static constexpr std::array kNames{
    std::pair{ Reason::None, std::string_view{ "none" } },
    std::pair{ Reason::BadRequest, std::string_view{ "bad-request" } },
    std::pair{ Reason::UnknownCaller, std::string_view{ "unknown-caller" } },
    std::pair{ Reason::UnknownClass, std::string_view{ "unknown-class" } },
    std::pair{ Reason::UnknownService, std::string_view{ "unknown-service" } },
    std::pair{ Reason::TooLarge, std::string_view{ "too-large" } },
    std::pair{ Reason::DeadlineExpired,
               std::string_view{ "deadline-expired" } },
    std::pair{ Reason::NoManifest, std::string_view{ "no-manifest" } },
    std::pair{ Reason::NoTarget, std::string_view{ "no-target" } },
    std::pair{ Reason::Throttled, std::string_view{ "throttled" } },
    std::pair{ Reason::Overloaded, std::string_view{ "overloaded" } },
    std::pair{ Reason::Evicted, std::string_view{ "evicted" } },
    std::pair{ Reason::Leaving, std::string_view{ "leaving" } },
    std::pair{ Reason::UpstreamDown, std::string_view{ "upstream-down" } },
    std::pair{ Reason::WrongTarget, std::string_view{ "wrong-target" } },
    std::pair{ Reason::Quarantined, std::string_view{ "quarantined" } },
    std::pair{ Reason::SuspectWaiting, std::string_view{ "suspect-waiting" } },
    std::pair{ Reason::KeyRequired, std::string_view{ "key-required" } },
    std::pair{ Reason::KeyMismatch, std::string_view{ "key-mismatch" } },
    std::pair{ Reason::KeyExpired, std::string_view{ "key-expired" } },
    std::pair{ Reason::KeyHolderGone, std::string_view{ "key-holder-gone" } },
    std::pair{ Reason::UnderIdempotent,
               std::string_view{ "under-idempotent" } },
    std::pair{ Reason::UnknownExecution,
               std::string_view{ "unknown-execution" } },
    std::pair{ Reason::UpstreamFailed, std::string_view{ "upstream-failed" } },
    std::pair{ Reason::PeerLost, std::string_view{ "peer-lost" } },
    std::pair{ Reason::CallerGone, std::string_view{ "caller-gone" } },
    std::pair{ Reason::AnswerTooLarge, std::string_view{ "answer-too-large" } },
  };
};

} // namespace amaranthgap

MSGPACK_ADD_ENUM(amaranthgap::Outcome)
MSGPACK_ADD_ENUM(amaranthgap::Reason)
