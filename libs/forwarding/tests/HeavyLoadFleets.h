#pragma once

#include "FleetSimulation.h"

namespace amaranthgap {

// Fleets and loads of the tests of heavy load. The rates are requests per
// second over all data centres.

// Six data centres in three regions. Bookings call rules directly and reads
// call them through peeks; each rule makes four calls to the service with the
// fewest slots. Upstreams differ in speed, so that one region has half of the
// capacity.
inline FleetSimulation::Options
BookingFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{
    .mRegions = { "east", "north", "south", "east", "north", "south" },
    .mSeed = aSeed
  };
  out.mServices = {
    { .mName = "logs", .mSlots = 159, .mSpeeds = { 0.6, 1.0, 1.4 } },
    { .mName = "crews", .mSlots = 159, .mSpeeds = { 0.6, 1.0, 1.4 } },
    { .mName = "alarms", .mSlots = 159, .mSpeeds = { 0.7, 0.7, 1.6 } },
    { .mName = "pits", .mSlots = 30, .mSpeeds = { 0.7, 0.7, 1.6 } },
  };
  out.mKinds = {
    { .mName = "read",
      .mService = "logs",
      .mPriority = 2,
      .mWorkMillis = 120,
      .mWorkSigma = 0.8,
      .mLatencyTargetMillis = 1500,
      .mTimeoutMillis = 800,
      .mKilobytes = 0.4,
      .mValue = 1,
      .mCalls = { { "peek", 1 } } },
    { .mName = "book",
      .mService = "crews",
      .mIdempotent = false,
      .mWorkMillis = 160,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 1500,
      .mKilobytes = 0.7,
      .mValue = 3,
      .mCalls = { { "rule", 2 } } },
    { .mName = "ack",
      .mService = "alarms",
      .mIdempotent = false,
      .mWorkMillis = 84,
      .mWorkSigma = 0.8,
      .mLatencyTargetMillis = 300,
      .mCallerTimeoutMillis = 1200,
      .mKilobytes = 10,
      .mValue = 3 },
    { .mName = "now",
      .mService = "pits",
      .mPriority = 1,
      .mWorkMillis = 48,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 250,
      .mTimeoutMillis = 800,
      .mCallerTimeoutMillis = 1000,
      .mKilobytes = 5,
      .mValue = 2 },
    { .mName = "peek",
      .mService = "crews",
      .mWorkMillis = 15,
      .mTimeoutMillis = 2500,
      .mCalls = { { "rule", 1 } } },
    { .mName = "rule",
      .mService = "alarms",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 800,
      .mTimeoutMillis = 2000,
      .mCalls = { { "offset", 4 } } },
    { .mName = "offset",
      .mService = "pits",
      .mWorkMillis = 30,
      .mLatencyTargetMillis = 300,
      .mTimeoutMillis = 700 },
  };
  return out;
}

// Requests per second; the bottleneck service has a capacity of 1.6 times the
// load at factor 1.
inline FleetSimulation::Rates
BookingRates(double aFactor)
{
  return { { "read", 395 * aFactor },
           { "book", 202 * aFactor },
           { "ack", 156 * aFactor },
           { "now", 147 * aFactor } };
}

// Few requests with long call chains: an invoice leads to ten stock calls in
// sequence, which take almost its whole timeout where upstreams are slow.
inline FleetSimulation::Options
LongChainFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{
    .mRegions = { "west", "south", "east", "west", "south", "east" },
    .mSeed = aSeed
  };
  out.mServices = {
    { .mName = "status", .mSlots = 36, .mSpeeds = { 1.6, 0.7, 0.7 } },
    { .mName = "bills", .mSlots = 36, .mSpeeds = { 1.6, 0.7, 0.7 } },
    { .mName = "slots", .mSlots = 36, .mSpeeds = { 1.4, 1.0, 0.6 } },
    { .mName = "rounds", .mSlots = 10, .mSpeeds = { 1.4, 1.0, 0.6 } },
  };
  out.mKinds = {
    { .mName = "status",
      .mService = "status",
      .mPriority = 2,
      .mWorkMillis = 220,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 2000,
      .mTimeoutMillis = 1500,
      .mCallerTimeoutMillis = 6000,
      .mKilobytes = 1.5,
      .mValue = 1,
      .mCalls = { { "tariff", 1 } } },
    { .mName = "invoice",
      .mService = "bills",
      .mIdempotent = false,
      .mWorkMillis = 290,
      .mWorkSigma = 0.3,
      .mLatencyTargetMillis = 2000,
      .mTimeoutMillis = 1500,
      .mCallerTimeoutMillis = 6000,
      .mKilobytes = 5,
      .mValue = 3,
      .mCalls = { { "slot", 2 } } },
    { .mName = "sheet",
      .mService = "rounds",
      .mPriority = 1,
      .mWorkMillis = 88,
      .mLatencyTargetMillis = 400,
      .mTimeoutMillis = 800,
      .mCallerTimeoutMillis = 1500,
      .mKilobytes = 5,
      .mValue = 2 },
    { .mName = "tariff",
      .mService = "bills",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 1200,
      .mTimeoutMillis = 3000,
      .mCalls = { { "slot", 1 } } },
    { .mName = "slot",
      .mService = "slots",
      .mWorkMillis = 15,
      .mLatencyTargetMillis = 1200,
      .mTimeoutMillis = 2500,
      .mCalls = { { "stock", 5 } } },
    { .mName = "stock",
      .mService = "rounds",
      .mWorkMillis = 55,
      .mLatencyTargetMillis = 300,
      .mTimeoutMillis = 700 },
  };
  return out;
}

inline FleetSimulation::Rates
LongChainRates(double aFactor)
{
  return { { "status", 57.5 * aFactor },
           { "invoice", 27.3 * aFactor },
           { "sheet", 23 * aFactor } };
}

// As BookingFleet, in nine data centres, with work that takes five times as
// long and with longer timeouts.
inline FleetSimulation::Options
SlowWorkFleet(uint64_t aSeed)
{
  FleetSimulation::Options out = BookingFleet(aSeed);
  out.mRegions = { "east",  "north", "south", "east", "north",
                   "south", "east",  "north", "south" };
  const std::vector<double> fastAndSlow{ 0.7, 0.7, 1.6, 1.6, 0.7,
                                         0.7, 0.7, 1.6, 0.7 };
  out.mServices = {
    { .mName = "logs", .mSlots = 640, .mSpeeds = fastAndSlow },
    { .mName = "crews", .mSlots = 536, .mSpeeds = fastAndSlow },
    { .mName = "alarms", .mSlots = 256, .mSpeeds = fastAndSlow },
    { .mName = "pits",
      .mSlots = 101,
      .mSpeeds = { 0.6, 1.0, 1.4, 1.4, 0.6, 1.0, 1.0, 1.4, 0.6 } },
  };
  const auto set = [&](const std::string& aName,
                       double aWork,
                       double aLatencyTarget,
                       double aTimeout,
                       double aCallerTimeout) {
    for (SimulatedRequestKind& it : out.mKinds) {
      if (it.mName == aName) {
        it.mWorkMillis = aWork;
        it.mLatencyTargetMillis = aLatencyTarget;
        it.mTimeoutMillis = aTimeout;
        it.mCallerTimeoutMillis = aCallerTimeout;
      }
    }
  };
  set("read", 560, 2500, 3000, 5000);
  set("book", 720, 3000, 4000, 5000);
  set("ack", 390, 1200, 2500, 5000);
  set("now", 220, 800, 1500, 3000);
  set("peek", 15, 1000, 2500, 2500);
  set("rule", 15, 800, 2000, 2000);
  set("offset", 140, 300, 700, 700);
  return out;
}

// The bottleneck service has a capacity of 1.7 times the load at factor 1.
inline FleetSimulation::Rates
SlowWorkRates(double aFactor)
{
  return { { "read", 434 * aFactor },
           { "book", 222 * aFactor },
           { "ack", 172 * aFactor },
           { "now", 162 * aFactor } };
}

// One service in three data centres of one region; requests of three priorities
// without calls. At each upstream 47 of 50 slots run requests of 50 ms.
inline constexpr double kCapacityPerSecond = 3 * 47 / 0.05;

inline FleetSimulation::Options
SingleServiceFleet(uint64_t aSeed)
{
  FleetSimulation::Options out{ .mRegions = { "east", "east", "east" },
                                .mSeed = aSeed };
  out.mServices = { { .mName = "one", .mSlots = 50, .mSpeeds = { 1 } } };
  for (uint32_t priority = 0; priority < 3; ++priority) {
    out.mKinds.push_back({ .mName = "rank" + std::to_string(priority),
                           .mService = "one",
                           .mPriority = priority,
                           .mWorkMillis = 50,
                           .mLatencyTargetMillis = 400,
                           .mCallerTimeoutMillis = 1000,
                           .mValue = 1 });
  }
  return out;
}

inline FleetSimulation::Rates
PriorityRates(double aFirst, double aSecond, double aThird)
{
  return { { "rank0", aFirst * kCapacityPerSecond },
           { "rank1", aSecond * kCapacityPerSecond },
           { "rank2", aThird * kCapacityPerSecond } };
}

} // namespace amaranthgap
