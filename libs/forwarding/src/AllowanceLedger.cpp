#include "forwarding/AllowanceLedger.h"

#include <algorithm>
#include <cmath>

#include "base/Hash.h"

namespace amaranthgap {

namespace {

// Time ahead for which demand and tokens are compared. A shorter one uses up a
// burst before the nodes know that it is used up.
constexpr double kHorizonSeconds = 1;
// Mean age of what other nodes report.
constexpr double kReportDelaySeconds = 0.35;
constexpr double kSmoothingSeconds = 1;
// Requests that a customer may send beyond its burst, so that the few requests
// of a small one are not refused for an estimate that is off by one.
constexpr double kSpareTokenCount = 8;
// Part of the rate that is given beyond it. The users let a tenth pass, and a
// refusal below the allowance costs a caller more than a request beyond it.
constexpr double kOverShare = 0.06;
// Longest overdraft that is made up for, in seconds of the rate.
constexpr double kMaxDebtSeconds = 3;

} // namespace

void
AllowanceLedger::SmoothedRate::Add(TimePoint aNow, double aCount)
{
  mCount = Value(aNow) * kSmoothingSeconds + aCount;
  mTime = aNow;
}

double
AllowanceLedger::SmoothedRate::Value(TimePoint aNow) const
{
  return mCount * std::exp(-ToSeconds(aNow - mTime) / kSmoothingSeconds) /
         kSmoothingSeconds;
}

uint32_t
AllowanceLedger::NumberOf(std::string_view aCustomer)
{
  return uint32_t(Hash64(aCustomer));
}

AllowanceLedger::State*
AllowanceLedger::Find(std::string_view aCustomer)
{
  const auto it = mStates.find(NumberOf(aCustomer));
  return it == mStates.end() ? nullptr : &it->second;
}

void
AllowanceLedger::SetCustomers(TimePoint aNow,
                              const std::vector<Customer>& aCustomers)
{
  std::map<uint32_t, State> states;
  for (const Customer& it : aCustomers) {
    if (it.mRequestsPerSecond <= 0) {
      continue;
    }
    const uint32_t number = NumberOf(it.mName);
    State& state = states[number];
    if (const auto before = mStates.find(number); before != mStates.end()) {
      state = before->second;
      Fill(aNow, state);
    } else {
      // Others may have used up the burst before this node knew the customer.
      state.mFilled = aNow;
      state.mTokens = kSpareTokenCount;
    }
    state.mPerSecond = it.mRequestsPerSecond * (1 + kOverShare);
    state.mBurst = it.mBurst;
    state.mTokens = std::min(state.mTokens, it.mBurst + kSpareTokenCount);
  }
  mStates = std::move(states);
}

void
AllowanceLedger::Fill(TimePoint aNow, State& aState) const
{
  const double elapsed = std::max(ToSeconds(aNow - aState.mFilled), 0.0);
  aState.mFilled = aNow;
  aState.mTokens =
    std::clamp(aState.mTokens + elapsed * aState.mPerSecond * mCoverage,
               -kMaxDebtSeconds * aState.mPerSecond,
               kSpareTokenCount + aState.mBurst * mCoverage);
}

double
AllowanceLedger::Available(TimePoint aNow, const State& aState) const
{
  const double unknown =
    aState.mOtherAdmitted.Value(aNow) * kReportDelaySeconds;
  return aState.mTokens - unknown +
         aState.mPerSecond * mCoverage * kHorizonSeconds;
}

bool
AllowanceLedger::MayAdmit(TimePoint aNow, std::string_view aCustomer)
{
  State* state = Find(aCustomer);
  if (!state) {
    return true;
  }
  Fill(aNow, *state);
  ++state->mUsage.mAsked;
  state->mDemand.Add(aNow, 1);
  const double available = Available(aNow, *state);
  const double expected = state->mDemand.Value(aNow) * kHorizonSeconds;
  return available >= expected || mRng.Uniform() * expected < available;
}

void
AllowanceLedger::Admitted(TimePoint aNow, std::string_view aCustomer)
{
  if (State* state = Find(aCustomer)) {
    Fill(aNow, *state);
    state->mTokens -= 1;
    ++state->mUsage.mAdmitted;
  }
}

Duration
AllowanceLedger::WaitFor(TimePoint aNow, std::string_view aCustomer)
{
  const State* state = Find(aCustomer);
  if (!state) {
    return Duration::zero();
  }
  const double expected = state->mDemand.Value(aNow) * kHorizonSeconds;
  const double missing = std::max(expected - Available(aNow, *state), 1.0);
  return FromSeconds(missing / state->mPerSecond);
}

std::vector<CustomerUsage>
AllowanceLedger::TakeUsage()
{
  std::vector<CustomerUsage> out;
  for (auto& [number, state] : mStates) {
    if (state.mUsage.mAsked > 0) {
      state.mUsage.mCustomer = number;
      out.push_back(std::exchange(state.mUsage, {}));
    }
  }
  return out;
}

void
AllowanceLedger::AddUsage(TimePoint aNow,
                          const std::vector<CustomerUsage>& aUsage)
{
  for (const CustomerUsage& it : aUsage) {
    if (const auto state = mStates.find(it.mCustomer); state != mStates.end()) {
      Fill(aNow, state->second);
      state->second.mTokens -= it.mAdmitted;
      state->second.mDemand.Add(aNow, it.mAsked);
      state->second.mOtherAdmitted.Add(aNow, it.mAdmitted);
    }
  }
}

} // namespace amaranthgap
