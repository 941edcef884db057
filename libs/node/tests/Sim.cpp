#include "Sim.h"

#include <algorithm>

#include <fmt/format.h>

#include "manifest/ManifestPublisher.h"

namespace amaranthgap::sim {

std::string
CopyOf(const HttpRequest& aHttp)
{
  const auto it =
    std::ranges::find(aHttp.mHeaders, "X-Copy", [](const auto& aHeader) {
      return aHeader.first;
    });
  return it == aHttp.mHeaders.end() ? std::string() : it->second;
}

Sim::Sim(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRng(mOptions.mSeed)
{
  Publish(mOptions.mManifest);
  size_t number = 0;
  for (const ServiceModel& service : mOptions.mServices) {
    for (uint32_t i = 0; i < service.mHosts; ++i) {
      Host host;
      host.mId = { fmt::format("{}-{}", service.mName, i) };
      host.mAddress = fmt::format("10.0.0.{}:7000", ++number);
      host.mService = service.mName;
      host.mDataCentre = i % 2 == 0 ? "dc1" : "dc2";
      mByAddress[host.mAddress] = mHosts.size();
      mHosts.push_back(std::move(host));
    }
  }
  for (size_t i = 0; i < mHosts.size(); ++i) {
    Start(i);
    StartUpstreamOf(i);
  }
}

Sim::~Sim() = default;

void
Sim::Publish(const ManifestEntries& aEntries)
{
  PublishManifest(mStore,
                  aEntries,
                  { .mPublisher = "operator",
                    .mPublishId = fmt::format("p{}", ++mPublished) });
  WakeWatches();
}

void
Sim::Settle()
{
  for (int i = 0; i < 200; ++i) {
    RunFor(milliseconds(100));
    bool isSettled = true;
    for (Host& host : mHosts) {
      if (!host.mAlive) {
        continue;
      }
      const NodeStatus status = host.mNode->GetStatus(mNow);
      const auto warm =
        std::ranges::count_if(status.mMembers, [](const MemberUpdate& aMember) {
          return aMember.mState == MemberState::Warm;
        });
      isSettled &= status.mReady && size_t(warm) == mHosts.size();
    }
    if (isSettled) {
      return;
    }
  }
  mViolations.emplace_back("the nodes did not settle");
}

// -- Time -------------------------------------------------------------------

void
Sim::After(Duration aDelay, std::function<void()> aEvent)
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

void
Sim::RunFor(Duration aTime)
{
  const TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    auto node = mEvents.extract(mEvents.begin());
    mNow = node.key();
    node.mapped()();
  }
  mNow = end;
}

void
Sim::Post(size_t aHost, uint64_t aEpoch, std::function<void()> aEvent)
{
  Host& host = mHosts[aHost];
  if (host.mEpoch != aEpoch || !host.mAlive) {
    return;
  }
  if (host.mPaused) {
    host.mHeld.push_back(std::move(aEvent));
  } else {
    aEvent();
  }
}

// -- Nodes ------------------------------------------------------------------

void
Sim::Start(size_t aHost)
{
  Host& host = mHosts[aHost];
  ++host.mEpoch;
  host.mAlive = true;
  host.mPaused = false;
  host.mDraining = false;
  host.mHeld.clear();
  host.mWork.clear();
  host.mHighestVersion = 0;
  // Start time in ms with random low bits, as the node process makes it.
  const auto millis = uint64_t(ToMillis(mNow.time_since_epoch()));
  host.mNode = std::make_unique<Node>(NodeOptions{
    .mSelf = { host.mId, { millis * 1024 + mRng.Below(1024) } },
    .mRegion = "east",
    .mDataCentre = host.mDataCentre,
    .mPeerAddress = host.mAddress,
    .mStaticPeers = { mHosts.front().mAddress, mHosts.back().mAddress },
    .mKeySecret = "secret of the simulation",
    .mEntryShards = 2,
    .mSeed = mRng.Next(),
    .mPolicyOff = mOptions.mPolicyOff });
  const uint64_t epoch = host.mEpoch;
  After(FromSeconds(mRng.Uniform(0, 0.02)),
        [this, aHost, epoch] { TickHost(aHost, epoch); });
  After(FromSeconds(mRng.Uniform(0, 0.01)),
        [this, aHost, epoch] { Announce(aHost, epoch); });
}

void
Sim::TickHost(size_t aHost, uint64_t aEpoch)
{
  Host& host = mHosts[aHost];
  if (host.mEpoch != aEpoch) {
    return;
  }
  After(mTick, [this, aHost, aEpoch] { TickHost(aHost, aEpoch); });
  if (host.mPaused) {
    return;
  }
  Actions actions;
  host.mNode->Tick(mNow, actions);
  Carry(aHost, std::move(actions));
  const uint64_t version = host.mNode->Version();
  if (version < host.mHighestVersion) {
    mViolations.push_back("manifest version went down: " + host.mId.mValue);
  }
  host.mHighestVersion = version;
  if (host.mDraining && host.mNode->IsDrained(mNow)) {
    if (!host.mWork.empty()) {
      mViolations.push_back(
        fmt::format("{} drained with work in flight", host.mId.mValue));
    }
    for (const Sent& call : mCalls) {
      if (call.mHost == aHost && call.mHostEpoch == aEpoch && !call.mAnswer &&
          !call.mGone) {
        mViolations.push_back(
          fmt::format("{} drained with a caller waiting", host.mId.mValue));
      }
    }
    Kill(aHost);
  }
}

void
Sim::Kill(size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mAlive) {
    return;
  }
  const NodeRef ref = host.mNode->Self();
  ++host.mEpoch;
  host.mAlive = false;
  host.mNode.reset();
  host.mWork.clear();
  for (Sent& call : mCalls) {
    if (call.mHost == aHost && !call.mAnswer && !call.mGone) {
      call.mGone = true;
      const size_t index = size_t(&call - mCalls.data());
      After(milliseconds(1), [this, index] {
        if (mOnAnswer) {
          mOnAnswer(index);
        }
      });
    }
  }
  // Each open stream breaks at the other end.
  for (size_t i = 0; i < mHosts.size(); ++i) {
    const bool hadStream = mLinks.erase({ i, aHost }) > 0;
    mLinks.erase({ aHost, i });
    if (i != aHost && hadStream) {
      mBreaking.emplace(i, aHost);
      After(FromSeconds(mRng.Uniform(0, 0.03)), [this, i, aHost, ref] {
        mBreaking.erase({ i, aHost });
        ReportLost(i, ref, false);
      });
    }
  }
}

void
Sim::Pause(size_t aHost)
{
  mHosts[aHost].mPaused = true;
}

void
Sim::Resume(size_t aHost)
{
  Host& host = mHosts[aHost];
  host.mPaused = false;
  const uint64_t epoch = host.mEpoch;
  for (auto& event : std::exchange(host.mHeld, {})) {
    Post(aHost, epoch, std::move(event));
  }
}

void
Sim::Drain(size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mAlive || host.mDraining) {
    return;
  }
  host.mDraining = true;
  Deliver(aHost, host.mEpoch, [this](Node& aNode, Actions& aActions) {
    aNode.DrainStarted(mNow, aActions);
  });
}

void
Sim::Partition(size_t aHost, int aPart)
{
  mHosts[aHost].mPartition = aPart;
}

// -- Store ------------------------------------------------------------------

void
Sim::AnswerStore(size_t aHost,
                 uint64_t aEpoch,
                 StoreCallId aCall,
                 Duration aDelay,
                 StoreAnswer aAnswer)
{
  After(aDelay, [this, aHost, aEpoch, aCall, answer = std::move(aAnswer)] {
    Deliver(
      aHost, aEpoch, [this, aCall, answer](Node& aNode, Actions& aActions) {
        aNode.StoreAnswered(mNow, aCall, answer, aActions);
      });
  });
}

void
Sim::CallStore(size_t aHost, StartStoreCall aCall)
{
  const uint64_t epoch = mHosts[aHost].mEpoch;
  const Duration delay = FromSeconds(mRng.Uniform(0.002, 0.004));
  if (mStoreDown) {
    AnswerStore(
      aHost, epoch, aCall.mCall, delay, { .mVerdict = StoreVerdict::NotDone });
    return;
  }
  const StoreAnswer answer = mStore.Execute(aCall.mRequest);
  const Duration timeout = aCall.mRequest.mTimeout;
  if (aCall.mRequest.mOperation == StoreOperation::Watch &&
      answer.mVerdict == StoreVerdict::Unchanged) {
    mWatches.push_back({ .mHost = aHost,
                         .mEpoch = epoch,
                         .mCall = std::move(aCall),
                         .mUntil = mNow + timeout });
    After(timeout, [this] { WakeWatches(); });
    return;
  }
  if (mRng.Uniform() < mStoreLoseAnswer) {
    AnswerStore(aHost,
                epoch,
                aCall.mCall,
                timeout,
                { .mVerdict = StoreVerdict::Unclear });
    return;
  }
  AnswerStore(aHost, epoch, aCall.mCall, delay, answer);
  WakeWatches();
}

void
Sim::WakeWatches()
{
  for (Watch& watch : std::exchange(mWatches, {})) {
    if (mHosts[watch.mHost].mEpoch != watch.mEpoch) {
      continue;
    }
    const StoreAnswer answer =
      mStoreDown ? StoreAnswer{ .mVerdict = StoreVerdict::Unclear }
                 : mStore.Execute(watch.mCall.mRequest);
    if (answer.mVerdict == StoreVerdict::Unchanged && mNow < watch.mUntil) {
      mWatches.push_back(std::move(watch));
      continue;
    }
    AnswerStore(
      watch.mHost, watch.mEpoch, watch.mCall.mCall, milliseconds(2), answer);
  }
}

// -- Network ----------------------------------------------------------------

void
Sim::Carry(size_t aHost, Actions aActions)
{
  CheckQueue(aHost, aActions);
  for (Action& action : aActions) {
    if (auto* send = std::get_if<SendMessage>(&action)) {
      Send(aHost, std::move(*send));
    } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      Answered(aHost, *answer);
    } else if (auto* start = std::get_if<StartUpstream>(&action)) {
      BeginWork(aHost, std::move(*start));
    } else if (const auto* cancel = std::get_if<CancelUpstream>(&action)) {
      CancelWork(aHost, cancel->mExecution);
    } else if (auto* store = std::get_if<StartStoreCall>(&action)) {
      CallStore(aHost, std::move(*store));
    }
  }
}

void
Sim::Send(size_t aHost, SendMessage aSend)
{
  const auto it = mByAddress.find(aSend.mAddress);
  if (it == mByAddress.end()) {
    return;
  }
  const size_t to = it->second;
  const Host& host = mHosts[aHost];
  const Host& peer = mHosts[to];
  Envelope envelope{ .mFrom = host.mNode->Self(),
                     .mFromAddress = host.mAddress,
                     .mTo = aSend.mTo,
                     .mSequence = ++mLastSequence,
                     .mMessage = std::move(aSend.mMessage) };
  const Duration latency =
    mOptions.mFaults.mLatency +
    FromSeconds(mRng.Uniform(0, ToSeconds(mOptions.mFaults.mLatency)));
  if (aSend.mTransport == Transport::Stream) {
    if (!peer.mAlive) {
      // A stream whose break was not yet reported may have carried messages.
      const NodeRef ref = aSend.mTo;
      const bool neverSent = !mBreaking.contains({ aHost, to });
      After(latency, [this, aHost, ref, neverSent] {
        ReportLost(aHost, ref, neverSent);
      });
      return;
    }
    mLinks.insert({ aHost, to });
    mLinks.insert({ to, aHost });
  }
  const Faults& faults = mOptions.mFaults;
  if (host.mPartition != peer.mPartition || mRng.Uniform() < faults.mLoss) {
    return;
  }
  // A repeated message reaches only the incarnation that the first one was
  // sent to: a stream ends with the process at its other end.
  if (mRng.Uniform() < faults.mDuplicate) {
    Transmit(aHost, to, envelope, FromSeconds(mRng.Uniform(0, 0.5)));
  }
  const Duration extra = mRng.Uniform() < faults.mDelay
                           ? FromSeconds(mRng.Uniform(0, 1))
                           : Duration::zero();
  Transmit(aHost, to, std::move(envelope), latency + extra);
}

void
Sim::Transmit(size_t /*aFrom*/, size_t aTo, Envelope aEnvelope, Duration aDelay)
{
  const uint64_t epoch = mHosts[aTo].mEpoch;
  auto envelope = std::make_shared<Envelope>(std::move(aEnvelope));
  After(aDelay, [this, aTo, epoch, envelope] {
    Deliver(aTo, epoch, [this, aTo, envelope](Node& aNode, Actions& aActions) {
      if (const auto* call = std::get_if<CallMessage>(&envelope->mMessage)) {
        mRanks.try_emplace(
          { aTo, envelope->mFrom, call->mCall },
          Rank{ .mImportance = call->mImportance,
                .mParty = call->mParty,
                .mDeadline = mNow + milliseconds(call->mTimeoutMs) });
        mImportanceOf[CopyOf(call->mHttp)] = call->mImportance;
      }
      aNode.MessageArrived(mNow, std::move(*envelope), aActions);
    });
  });
}

void
Sim::ReportLost(size_t aHost, const NodeRef& aPeer, bool aNeverSent)
{
  Deliver(aHost,
          mHosts[aHost].mEpoch,
          [this, aPeer, aNeverSent](Node& aNode, Actions& aActions) {
            aNode.PeerLost(mNow, aPeer, aNeverSent, aActions);
          });
}

// -- Observation ------------------------------------------------------------

size_t
Sim::RunsOf(const std::string& aOperation) const
{
  return size_t(std::count_if(mRuns.begin(), mRuns.end(), [&](const Run& aRun) {
    return aRun.mOperation == aOperation;
  }));
}

const ServiceModel&
Sim::Model(const std::string& aService) const
{
  return *std::find_if(
    mOptions.mServices.begin(),
    mOptions.mServices.end(),
    [&](const ServiceModel& aModel) { return aModel.mName == aService; });
}

std::string
Sim::Expected(const std::string& aService, const std::string& aOperation) const
{
  std::string body = aService + ":" + aOperation + "(";
  uint64_t index = 0;
  for (const ServiceModel::Child& child : Model(aService).mChildren) {
    for (uint32_t i = 0; i < child.mCount; ++i) {
      body +=
        Expected(child.mService, fmt::format("{}.{}", aOperation, index++));
    }
  }
  return body + ")";
}

uint64_t
Sim::CounterSum(const std::string& aName)
{
  uint64_t sum = 0;
  for (Host& host : mHosts) {
    if (host.mNode) {
      const auto counters = host.mNode->GetStatus(mNow).mCounters;
      const auto it = counters.find(aName);
      sum += it == counters.end() ? 0 : it->second;
    }
  }
  return sum;
}

} // namespace amaranthgap::sim
