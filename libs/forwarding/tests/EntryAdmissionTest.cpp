#include <map>

#include <catch2/catch.hpp>

#include "forwarding/EntryAdmission.h"

using namespace amaranthgap;

namespace {

const TimePoint kNow{ seconds(100) };
const std::vector<CandidateDataCentre> kPlaces{
  { "here", Distance::SameDataCentre },
  { "near", Distance::SameRegion },
  { "far", Distance::OtherRegion }
};
const RequestProfile kSmall{ .mMillis = 500, .mKilobytes = 1 };

/** Tells the share of a place as replies do. */
void
Tell(EntryAdmission& aAdmission,
     TimePoint aNow,
     const std::string& aPlace,
     double aShare)
{
  for (int n = 0; n < 50; ++n) {
    aAdmission.UpdateLoad(aNow, "r", aPlace, { .mShare = aShare });
  }
}

/** Counts where requests go, "" for those that are refused. */
std::map<std::string, int>
Count(EntryAdmission& aAdmission,
      const RequestProfile& aNeed = kSmall,
      const std::vector<CandidateDataCentre>& aPlaces = kPlaces,
      TimePoint aStart = kNow)
{
  std::map<std::string, int> out;
  for (int n = 0; n < 1000; ++n) {
    const auto admitted =
      aAdmission.Admit(aStart + milliseconds(n), "r", aNeed, aPlaces);
    ++out[admitted ? admitted->mDataCentre : ""];
  }
  return out;
}

EntryAdmission
Known(double aHere, double aNear, double aFar)
{
  EntryAdmission out(1);
  out.Admit(kNow - seconds(1), "r", kSmall, kPlaces);
  Tell(out, kNow, "here", aHere);
  Tell(out, kNow, "near", aNear);
  Tell(out, kNow, "far", aFar);
  return out;
}

} // namespace

TEST_CASE("without an overload all requests stay in their data centre")
{
  EntryAdmission admission = Known(1, 1, 1);
  CHECK(Count(admission)["here"] == 1000);
}

TEST_CASE("what the own data centre cannot take goes where there is room")
{
  EntryAdmission admission = Known(0.6, 1, 0.6);
  Count(admission); // The part that moves grows in the first second.
  const TimePoint later = kNow + seconds(1);
  Tell(admission, later, "here", 0.6);
  Tell(admission, later, "near", 1);
  Tell(admission, later, "far", 0.6);
  auto count = Count(admission, kSmall, kPlaces, later);
  CHECK(count["here"] == Approx(600).margin(60));
  CHECK(count["near"] >= 340);
  CHECK(count["far"] == 0);
  CHECK(count[""] <= 30);
}

TEST_CASE("what no place can take is refused")
{
  EntryAdmission admission = Known(0.3, 0.3, 0.3);
  auto count = Count(admission);
  CHECK(count["here"] == Approx(300).margin(60));
  CHECK(count["near"] + count["far"] == 0);
  CHECK(count[""] == Approx(700).margin(60));
  CHECK(admission.AdmittedShare("r") < 0.6);
}

// Guards against callers of one place that are worse off than others.
TEST_CASE("callers of a busy place get the chance of the place they move to")
{
  EntryAdmission admission = Known(0.2, 0.6, 0.2);
  auto count = Count(admission);
  CHECK(count["here"] + count["near"] >= 450);
  CHECK(count["here"] + count["near"] <= 660);
}

TEST_CASE("large answers stay near longer than small ones")
{
  const RequestProfile large{ .mMillis = 50, .mKilobytes = 10 };
  EntryAdmission admission = Known(0.7, 0.7, 0.9);
  CHECK(Count(admission, large)["far"] == 0);
  EntryAdmission other = Known(0.7, 0.7, 0.9);
  CHECK(Count(other, kSmall)["far"] > 0);
}

// Guards against a crowd at another place as soon as the own one is full.
TEST_CASE("requests move to another place step by step")
{
  EntryAdmission admission = Known(0.2, 1, 0.2);
  while (admission.Admit(kNow, "r", kSmall, kPlaces)) {
  }
  int moved = 0;
  for (int n = 0; n < 100; ++n) { // A tenth of a second, after the first one.
    const auto admitted =
      admission.Admit(kNow + milliseconds(n), "r", kSmall, kPlaces);
    moved += admitted && admitted->mDataCentre == "near" ? 1 : 0;
  }
  CHECK(moved <= 35);
}

// Guards against places that are too slow for a kind of requests.
TEST_CASE("requests leave a place where many of them fail")
{
  EntryAdmission admission = Known(1, 1, 1);
  for (int n = 0; n < 50; ++n) {
    admission.UpdateLoad(kNow, "r", "here", { .mFailureRatio = 0.4 });
  }
  auto count = Count(admission);
  CHECK(count["near"] >= 200);
  CHECK(count["here"] >= 100); // Until the leaving part has grown.
  CHECK(count[""] == 0);
}

// Guards against requests that are run halfway although almost all fail.
TEST_CASE("where almost all requests fail, most are refused as not run")
{
  EntryAdmission admission(1);
  admission.Admit(kNow - seconds(1), "r", kSmall, kPlaces);
  for (const CandidateDataCentre& it : kPlaces) {
    admission.UpdateLoad(kNow, "r", it.mDataCentre, { .mFailureRatio = 0.98 });
  }
  auto count = Count(admission);
  CHECK(count[""] >= 800);
  CHECK(count["here"] >= 100);
}

TEST_CASE("without a target in the own data centre the nearest one is taken")
{
  EntryAdmission admission(1);
  auto count = Count(
    admission,
    kSmall,
    { { "far", Distance::OtherRegion }, { "near", Distance::SameRegion } });
  CHECK(count["near"] == 1000);
}

TEST_CASE("a share that is told no more is forgotten")
{
  EntryAdmission admission(1);
  admission.Admit(kNow - seconds(10), "r", kSmall, kPlaces);
  Tell(admission, kNow - seconds(8), "here", 0.2);
  CHECK(Count(admission)["here"] >= 990);
}
