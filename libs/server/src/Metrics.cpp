#include "server/Metrics.h"

#include <vector>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace amaranthgap {

namespace {

// Upper bounds in seconds, finer around the target for the added latency.
const std::vector<double> kBounds{
  0,     0.00002, 0.00005, 0.0001, 0.0002, 0.0003, 0.00042, 0.0006,
  0.001, 0.002,   0.005,   0.01,   0.02,   0.05,   0.1,     0.2,
  0.5,   1,       2,       5,      10,     30,
};

} // namespace

void
MetricsText::Head(std::string_view aName, std::string_view aType)
{
  if (mLastName != aName) {
    mLastName = aName;
    mText += fmt::format("# TYPE {} {}\n", aName, aType);
  }
}

void
MetricsText::Add(std::string_view aName,
                 std::string_view aType,
                 double aValue,
                 std::string_view aLabels)
{
  Head(aName, aType);
  if (aLabels.empty()) {
    mText += fmt::format("{} {}\n", aName, aValue);
  } else {
    mText += fmt::format("{}{{{}}} {}\n", aName, aLabels, aValue);
  }
}

Metrics::Metrics()
{
  for (auto& series : mSeries) {
    series.mHistogram = boost::histogram::make_histogram(
      boost::histogram::axis::variable<>(kBounds));
  }
}

void
Metrics::Observe(Latency aKind, Duration aTime)
{
  Series& series = mSeries[size_t(aKind)];
  const double value = ToSeconds(aTime);
  const std::scoped_lock lock(series.mMutex);
  series.mHistogram(value);
  series.mSum += value;
}

void
Metrics::CountAnswer(std::string_view aOutcome, std::string_view aReason)
{
  const std::scoped_lock lock(mMutex);
  ++mAnswers[{ std::string(aOutcome), std::string(aReason) }];
}

void
Metrics::Render(MetricsText& aText)
{
  for (size_t n = 0; n < kSeries; ++n) {
    const std::string name =
      fmt::format("amaranthgap_{}_seconds", ToName(Latency(n)));
    aText.Head(name, "histogram");
    Series& series = mSeries[n];
    const std::scoped_lock lock(series.mMutex);
    double total = 0;
    for (auto&& bin : boost::histogram::indexed(series.mHistogram)) {
      total += *bin;
      aText.mText += fmt::format(
        "{}_bucket{{le=\"{}\"}} {}\n", name, bin.bin().upper(), total);
    }
    total += series.mHistogram.at(series.mHistogram.axis().size());
    aText.mText += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n"
                               "{0}_count {1}\n",
                               name,
                               total,
                               series.mSum);
  }
  const std::scoped_lock lock(mMutex);
  for (const auto& [key, count] : mAnswers) {
    aText.Add(
      "amaranthgap_answers_total",
      "counter",
      double(count),
      fmt::format("outcome=\"{}\",reason=\"{}\"", key.first, key.second));
  }
}

} // namespace amaranthgap
