#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "LoadSpec.h"
#include "base/Time.h"

namespace amaranthgap {

/** End of one request as its client sees it. */
enum class RequestEnd : uint8_t
{
  Ok,
  AnsweredError, ///< Complete answer of the upstream, not 2xx.
  NotRun,
  MayHaveRun,
  GaveUp,      ///< No answer by the client's deadline.
  Broken,      ///< Connection refused or lost.
  ClientLimit, ///< Never sent: too many requests at once for this client.
};

template<>
struct EnumNames<RequestEnd>
{
  static constexpr std::array kNames{
    std::pair{ RequestEnd::Ok, std::string_view{ "ok" } },
    std::pair{ RequestEnd::AnsweredError,
               std::string_view{ "answered-error" } },
    std::pair{ RequestEnd::NotRun, std::string_view{ "not-run" } },
    std::pair{ RequestEnd::MayHaveRun, std::string_view{ "may-have-run" } },
    std::pair{ RequestEnd::GaveUp, std::string_view{ "gave-up" } },
    std::pair{ RequestEnd::Broken, std::string_view{ "broken" } },
    std::pair{ RequestEnd::ClientLimit, std::string_view{ "client-limit" } },
  };
};

/** Figures of one run. Single thread. */
class Recorder
{
public:
  explicit Recorder(const LoadSpec& aSpec)
    : mSpec(aSpec)
  {
  }

  void Offered(size_t aStream, Duration aAt);
  /** Counts one answer to one try. */
  void Answered(const std::string& aReason, int aStatus);
  /** Counts by how much a first try was sent too late by this client. */
  void Lateness(Duration aLate) { mLateness.push_back(ToSeconds(aLate) * 1e3); }
  void Ended(size_t aStream,
             Duration aStart,
             Duration aEnd,
             RequestEnd aOutcome,
             uint32_t aTries,
             const std::string& aId);

  [[nodiscard]] nlohmann::json ToJson() const;
  /** @return one line `<id> <outcome>` for each request of the run. */
  [[nodiscard]] const std::string& Ids() const { return mIds; }

private:
  struct Group
  {
    uint64_t mOffered = 0;
    std::map<std::string, uint64_t> mEnds;
    uint64_t mTries = 0;
    std::vector<double> mLatencies; ///< Of successes, in ms.
  };

  void Add(Group& aGroup,
           RequestEnd aOutcome,
           uint32_t aTries,
           double aLatencyMs);
  [[nodiscard]] nlohmann::json GroupJson(const Group& aGroup) const;
  [[nodiscard]] double Jain() const;

  const LoadSpec& mSpec;
  Group mTotal;
  std::map<std::string, Group> mByStream;
  std::map<std::string, Group> mByCaller;
  std::map<std::string, uint64_t> mReasons;
  std::map<std::string, uint64_t> mStatuses;
  std::vector<uint64_t> mOkTimeline; ///< By end, in steps of 100 ms.
  std::vector<uint64_t> mOkByStart;
  std::vector<uint64_t> mOfferedTimeline;
  std::vector<double> mLateness;
  std::string mIds;
};

} // namespace amaranthgap
