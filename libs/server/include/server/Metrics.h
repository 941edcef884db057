#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "base/EnumNames.h"
#include "base/Time.h"

namespace amaranthgap {

/** What a latency histogram measures. */
enum class Latency : uint8_t
{
  Call,        ///< Request of a caller, from its last byte to the answer.
  Upstream,    ///< Call to the upstream.
  Queue,       ///< Wait of a call for a slot of the upstream.
  HandleCall,  ///< Work of this node on the way to the target.
  HandleReply, ///< Work of this node on a reply, until the answer is handed on.
  HandleRun,   ///< Work of the target node from the message to the start.
  HandleEnd,   ///< Work of the target node on the upstream's answer.
};

template<>
struct EnumNames<Latency>
{
  static constexpr std::array kNames{
    std::pair{ Latency::Call, std::string_view{ "call" } },
    std::pair{ Latency::Upstream, std::string_view{ "upstream" } },
    std::pair{ Latency::Queue, std::string_view{ "queue" } },
    std::pair{ Latency::HandleCall, std::string_view{ "handle_call" } },
    std::pair{ Latency::HandleReply, std::string_view{ "handle_reply" } },
    std::pair{ Latency::HandleRun, std::string_view{ "handle_run" } },
    std::pair{ Latency::HandleEnd, std::string_view{ "handle_end" } },
  };
};

/** Writes metrics in the text exposition format of the usual scrapers. */
class MetricsText
{
public:
  void Add(std::string_view aName,
           std::string_view aType,
           double aValue,
           std::string_view aLabels = {});

  [[nodiscard]] const std::string& Text() const { return mText; }

private:
  friend class Metrics;
  void Head(std::string_view aName, std::string_view aType);

  std::string mText;
  std::string mLastName;
};

/** Latency histograms and counters by label. Safe for use by several threads.
 */
class Metrics
{
public:
  Metrics();

  void Observe(Latency aKind, Duration aTime);
  /** Counts one answer to a caller. */
  void CountAnswer(std::string_view aOutcome, std::string_view aReason);

  void Render(MetricsText& aText);

private:
  using Histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::variable<>{}));

  struct Series
  {
    std::mutex mMutex;
    Histogram mHistogram;
    double mSum = 0;
  };

  static constexpr size_t kSeries = EnumNames<Latency>::kNames.size();

  std::array<Series, kSeries> mSeries;
  std::mutex mMutex; ///< Guards the member below.
  std::map<std::pair<std::string, std::string>, uint64_t> mAnswers;
};

} // namespace amaranthgap
