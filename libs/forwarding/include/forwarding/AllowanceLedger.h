#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/Rng.h"
#include "base/Time.h"
#include "forwarding/RouteTable.h"
#include "wire/ForwardMessages.h"

namespace amaranthgap {

/** Keeps the requests of each customer within its allowance, which all nodes
 * share: a rate and a burst, as a token bucket.
 *
 * Load: a customer sends several times what it may, at many nodes at once, each
 * of which sees a few of its requests a second. Each node keeps an estimate of
 * the one bucket of the fleet. It takes a token for each request that it admits
 * itself, and the tokens that others report some hundred milliseconds later.
 * While the expected demand fits, all requests are admitted; otherwise each is
 * admitted with the probability at which the fleet as a whole takes what there
 * is. No node holds a part of the allowance, so that none lies idle where
 * another one lacks it, and the loss of a node loses nothing.
 *
 * A node that hears only a part of the others takes only that part of the rate,
 * so that the parts of a divided fleet do not each take the whole. Not
 * thread-safe. */
class AllowanceLedger
{
public:
  explicit AllowanceLedger(uint64_t aSeed)
    : mRng(aSeed)
  {
  }

  /** Sets the customers with an allowance. The state of those that stay is
   * kept; a lowered allowance binds at once. */
  void SetCustomers(TimePoint aNow, const std::vector<Customer>& aCustomers);
  /** @return whether any customer has an allowance. */
  [[nodiscard]] bool IsInUse() const { return !mStates.empty(); }
  /** Sets the part of the nodes whose usage is known here, from 0 to 1. */
  void SetCoverage(double aShare) { mCoverage = aShare; }

  /** Counts a request as demand, and decides whether it is within the
   * allowance. */
  bool MayAdmit(TimePoint aNow, std::string_view aCustomer);
  /** Records that such a request was admitted. */
  void Admitted(TimePoint aNow, std::string_view aCustomer);
  /** @return the time after which such a request is expected to be within the
   * allowance. */
  Duration WaitFor(TimePoint aNow, std::string_view aCustomer);

  /** @return the usage by this node since the last call. */
  std::vector<CustomerUsage> TakeUsage();
  /** Records the usage by other nodes. */
  void AddUsage(TimePoint aNow, const std::vector<CustomerUsage>& aUsage);

  /** @return the number that names a customer in messages. */
  static uint32_t NumberOf(std::string_view aCustomer);

private:
  /** Rate of events, smoothed exponentially. */
  class SmoothedRate
  {
  public:
    void Add(TimePoint aNow, double aCount);
    /** @return events per second. */
    [[nodiscard]] double Value(TimePoint aNow) const;

  private:
    double mCount = 0;
    TimePoint mTime{};
  };

  struct State
  {
    double mPerSecond = 0;
    double mBurst = 0;
    double mTokens = 0; ///< Below 0 after others have reported more.
    TimePoint mFilled{};
    SmoothedRate mDemand;        ///< Of all nodes.
    SmoothedRate mOtherAdmitted; ///< By other nodes.
    CustomerUsage mUsage;        ///< By this node since the last report.
  };

  void Fill(TimePoint aNow, State& aState) const;
  /** @return the requests that the fleet may admit within kHorizon. */
  [[nodiscard]] double Available(TimePoint aNow, const State& aState) const;
  State* Find(std::string_view aCustomer);

  Rng mRng;
  double mCoverage = 1;
  std::map<uint32_t, State> mStates; ///< By the number of the customer.
};

} // namespace amaranthgap
