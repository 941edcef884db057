#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/EnumNames.h"

namespace amaranthgap {

/** Kind of a change on the audit trail. */
enum class AuditKind : uint8_t
{
  ManifestInForce,
  ManifestRefused,
  ManifestFork,
  StoreBehind,
  MemberState,
  LimitRegime,
  Suspect,
  Quarantine,
  QuarantineEnd,
  UpstreamState,
  Drain,
};

template<>
struct EnumNames<AuditKind>
{
  static constexpr std::array kNames{
    std::pair{ AuditKind::ManifestInForce,
               std::string_view{ "manifest-in-force" } },
    std::pair{ AuditKind::ManifestRefused,
               std::string_view{ "manifest-refused" } },
    std::pair{ AuditKind::ManifestFork, std::string_view{ "manifest-fork" } },
    std::pair{ AuditKind::StoreBehind, std::string_view{ "store-behind" } },
    std::pair{ AuditKind::MemberState, std::string_view{ "member-state" } },
    std::pair{ AuditKind::LimitRegime, std::string_view{ "limit-regime" } },
    std::pair{ AuditKind::Suspect, std::string_view{ "suspect-request" } },
    std::pair{ AuditKind::Quarantine, std::string_view{ "quarantine" } },
    std::pair{ AuditKind::QuarantineEnd, std::string_view{ "quarantine-end" } },
    std::pair{ AuditKind::UpstreamState, std::string_view{ "upstream-state" } },
    std::pair{ AuditKind::Drain, std::string_view{ "drain" } },
  };
};

/** One change, as it is recorded by the deciding part. */
struct AuditEntry
{
  AuditKind mKind;
  std::string mSubject; ///< What changed: a member, a version, a fingerprint.
  std::string mCause;
  std::string mPeer; ///< Node or store that the change came from, if any.
};

/** An entry with its number and the wall clock time, in ms since 1970. */
struct AuditRecord
{
  uint64_t mNumber = 0;
  int64_t mWallMillis = 0;
  AuditEntry mEntry;
};

/** Latest changes of one node, bounded in memory.
 * Not safe for use by several threads. */
class AuditTrail
{
public:
  explicit AuditTrail(size_t aCapacity)
    : mCapacity(aCapacity)
  {
  }

  /** Appends an entry and drops the oldest one when the trail is full. */
  void Add(int64_t aWallMillis, AuditEntry aEntry);

  /** @return the records with a number above aAfter, oldest first. */
  [[nodiscard]] std::vector<AuditRecord> Since(uint64_t aAfter) const;

private:
  size_t mCapacity;
  uint64_t mLastNumber = 0;
  std::deque<AuditRecord> mRecords;
};

} // namespace amaranthgap
