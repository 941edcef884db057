#include <algorithm>

#include <fmt/format.h>

#include "Sim.h"

// Model of the upstreams: each run makes its child calls, waits for them, and
// answers with a body that is made of the bodies below it.

namespace amaranthgap::sim {
namespace {

constexpr Duration kAnnounce = seconds(1);
constexpr Duration kLeavingMargin = seconds(3);

} // namespace

void
Sim::StartUpstreamOf(size_t aHost)
{
  Host& host = mHosts[aHost];
  ++host.mRun;
  host.mUpstreamUp = true;
  host.mUpstreamLeaving = false;
}

void
Sim::Announce(size_t aHost, uint64_t aEpoch)
{
  Host& host = mHosts[aHost];
  if (host.mEpoch != aEpoch) {
    return;
  }
  After(kAnnounce, [this, aHost, aEpoch] { Announce(aHost, aEpoch); });
  if (!host.mUpstreamUp) {
    return;
  }
  const Announcement announcement{ .mService = host.mService,
                                   .mAddress = "127.0.0.1:8000",
                                   .mSlots = Model(host.mService).mSlots,
                                   .mRun = std::to_string(host.mRun),
                                   .mLeaving = host.mUpstreamLeaving };
  Deliver(aHost, aEpoch, [this, announcement](Node& aNode, Actions& aActions) {
    aNode.UpstreamAnnounced(mNow, announcement, aActions);
  });
}

void
Sim::CrashUpstream(size_t aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mUpstreamUp) {
    return;
  }
  host.mUpstreamUp = false;
  ++host.mRun;
  ++host.mCrashes;
  std::vector<uint64_t> broken;
  for (const auto& [execution, work] : host.mWork) {
    broken.push_back(execution);
  }
  for (const uint64_t execution : broken) {
    FailWork(aHost, execution, UpstreamFailure::ConnectionLost);
  }
  After(FromSeconds(mRng.Uniform(0.2, 1)), [this, aHost] {
    if (!mHosts[aHost].mUpstreamUp) {
      StartUpstreamOf(aHost);
    }
  });
}

Sim::Host::Work*
Sim::FindWork(size_t aHost, uint64_t aExecution)
{
  const auto it = mHosts[aHost].mWork.find(aExecution);
  return it == mHosts[aHost].mWork.end() ? nullptr : &it->second;
}

void
Sim::FailWork(size_t aHost, uint64_t aExecution, UpstreamFailure aFailure)
{
  Host& host = mHosts[aHost];
  host.mWork.erase(aExecution);
  const uint64_t epoch = host.mEpoch;
  After(microseconds(100), [this, aHost, epoch, aExecution, aFailure] {
    Deliver(aHost,
            epoch,
            [this, aExecution, aFailure](Node& aNode, Actions& aActions) {
              aNode.UpstreamFailed(mNow, { aExecution }, aFailure, aActions);
            });
  });
}

void
Sim::BeginWork(size_t aHost, StartUpstream aStart)
{
  Host& host = mHosts[aHost];
  const uint64_t execution = aStart.mExecution.mValue;
  if (!host.mUpstreamUp) {
    FailWork(aHost, execution, UpstreamFailure::NotConnected);
    return;
  }
  if (host.mUpstreamLeaving && mNow - host.mLeavingSince > kLeavingMargin) {
    mViolations.push_back("new work on a leaving upstream: " + host.mId.mValue);
  }
  const std::string operation = aStart.mHttp.mBody;
  const std::string copy = CopyOf(aStart.mHttp);
  mRuns.push_back({ .mOperation = operation,
                    .mCopy = copy,
                    .mRequest = aStart.mRequest,
                    .mHost = aHost,
                    .mStarted = mNow });
  host.mWork[execution] = { .mStart = std::move(aStart),
                            .mOperation = operation,
                            .mEpoch = host.mEpoch };
  const uint64_t run = host.mRun;
  if (mBehaviour.mPoison.contains(operation)) {
    After(milliseconds(2), [this, aHost, run] {
      if (mHosts[aHost].mRun == run) {
        CrashUpstream(aHost);
      }
    });
    return;
  }
  // More calls than slots share the processors of the upstream.
  const ServiceModel& model = Model(host.mService);
  const double sharing =
    std::max(1.0, double(host.mWork.size()) / model.mSlots);
  const double mean = ToSeconds(model.mRun) * host.mSlowness * sharing;
  After(FromSeconds(mRng.Uniform(0.2, 1) * mean),
        [this, aHost, run, execution] { CallChildren(aHost, run, execution); });
}

void
Sim::CallChildren(size_t aHost, uint64_t aRun, uint64_t aExecution)
{
  Host& host = mHosts[aHost];
  Host::Work* work = FindWork(aHost, aExecution);
  if (host.mRun != aRun || work == nullptr) {
    return;
  }
  const uint64_t epoch = host.mEpoch;
  uint64_t index = 0;
  std::vector<CallerCall> calls;
  for (const ServiceModel::Child& child : Model(host.mService).mChildren) {
    for (uint32_t i = 0; i < child.mCount; ++i) {
      const std::string operation =
        fmt::format("{}.{}", work->mOperation, index);
      const std::string copy = fmt::format("c{}", ++mLastHandle);
      mChildWaits[mLastHandle] = { .mHost = aHost,
                                   .mEpoch = epoch,
                                   .mExecution = aExecution,
                                   .mIndex = index,
                                   .mCopy = copy };
      calls.push_back({ .mCaller = { mLastHandle },
                        .mService = child.mService,
                        .mRequestClass = child.mRequestClass,
                        .mKey = fmt::format("key-{}", index),
                        .mContext = work->mStart.mContext,
                        .mFromUpstream = true,
                        .mHttp = { .mMethod = "POST",
                                   .mPath = "/" + child.mService,
                                   .mHeaders = { { "X-Copy", copy } },
                                   .mBody = operation } });
      ++index;
    }
  }
  if (calls.empty()) {
    EndWork(aHost, aRun, aExecution);
    return;
  }
  work->mChildrenLeft = calls.size();
  mCallsByRequest[work->mStart.mRequest] += calls.size();
  for (CallerCall& call : calls) {
    Deliver(aHost, epoch, [this, call](Node& aNode, Actions& aActions) {
      aNode.CallArrived(mNow, call, aActions);
    });
  }
}

void
Sim::ChildAnswered(size_t aHost,
                   uint64_t aExecution,
                   uint64_t aIndex,
                   const AnswerCaller& aAnswer)
{
  Host::Work* work = FindWork(aHost, aExecution);
  if (work == nullptr) {
    return;
  }
  if (aAnswer.mOutcome == Outcome::Answered && aAnswer.mHttp.mStatus == 200) {
    work->mBodies[aIndex] = aAnswer.mHttp.mBody;
  } else {
    work->mFailed = true;
  }
  if (--work->mChildrenLeft > 0) {
    return;
  }
  const double mean =
    ToSeconds(Model(mHosts[aHost].mService).mRun) * mHosts[aHost].mSlowness;
  const uint64_t run = mHosts[aHost].mRun;
  After(FromSeconds(mRng.Uniform(0, 0.5) * mean),
        [this, aHost, run, aExecution] { EndWork(aHost, run, aExecution); });
}

void
Sim::EndWork(size_t aHost, uint64_t aRun, uint64_t aExecution)
{
  Host& host = mHosts[aHost];
  Host::Work* work = FindWork(aHost, aExecution);
  if (host.mRun != aRun || work == nullptr) {
    return;
  }
  if (mRng.Uniform() < mBehaviour.mFailure) {
    FailWork(aHost, aExecution, UpstreamFailure::Incomplete);
    return;
  }
  HttpResponse response{ .mStatus = work->mFailed ? 500 : 200 };
  response.mBody = host.mService + ":" + work->mOperation + "(";
  for (const auto& [index, body] : work->mBodies) {
    response.mBody += body;
  }
  response.mBody += ")";
  host.mWork.erase(aExecution);
  const uint64_t epoch = host.mEpoch;
  Deliver(
    aHost, epoch, [this, aExecution, response](Node& aNode, Actions& aActions) {
      aNode.UpstreamAnswered(mNow, { aExecution }, response, aActions);
    });
}

void
Sim::CancelWork(size_t aHost, ExecutionId aExecution)
{
  if (FindWork(aHost, aExecution.mValue) != nullptr) {
    FailWork(aHost, aExecution.mValue, UpstreamFailure::ConnectionLost);
  }
}

} // namespace amaranthgap::sim
