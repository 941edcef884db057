#pragma once

#include <functional>
#include <string>

#include "config/Manifest.h"
#include "platform/KeyValueStore.h"
#include "wire/Messages.h"

namespace amaranthgap {

/** Outcome of one attempt to publish. */
enum class PublishVerdict : uint8_t
{
  Accepted,
  Unchanged, ///< The manifest in force has the same content.
  Lost,      ///< Another publisher won; the attempt had no effect.
  NotDone,   ///< Failed; certain to have had no effect.
  Unclear,   ///< The outcome could not be read back from the store.
};

template<>
struct EnumNames<PublishVerdict>
{
  static constexpr std::array kNames{
    std::pair{ PublishVerdict::Accepted, std::string_view{ "accepted" } },
    std::pair{ PublishVerdict::Unchanged, std::string_view{ "unchanged" } },
    std::pair{ PublishVerdict::Lost, std::string_view{ "lost" } },
    std::pair{ PublishVerdict::NotDone, std::string_view{ "not-done" } },
    std::pair{ PublishVerdict::Unclear, std::string_view{ "unclear" } },
  };
};

struct PublishReport
{
  PublishVerdict mVerdict = PublishVerdict::NotDone;
  ManifestStamp mInForce; ///< Version of the head after the attempt.
  std::string mPublisher; ///< Publisher of the head.
  /** Reason for a failure or an unclear outcome, or why the content in force
   * could not be read. */
  std::string mDetail;
};

struct PublishOptions
{
  std::string mPublisher; ///< Name of the operator or pipeline.
  std::string mPublishId; ///< Unique to each attempt.
  /** Highest version that the queried nodes report. */
  uint64_t mFleetVersion = 0;
  int64_t mWallMillis = 0; ///< Wall-clock time of the attempt in ms.
};

/** Publishes a manifest by compare-and-swap on the head; see section 8.9 of
 * the design page. */
PublishReport
PublishManifest(KeyValueStore& aStore,
                const ManifestEntries& aEntries,
                const PublishOptions& aOptions);

} // namespace amaranthgap
