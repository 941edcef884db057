#include "NodeParts.h"

namespace amaranthgap {

// -- Options ----------------------------------------------------------------

ControlLogic::Options
ControlOptions(const NodeOptions& aOptions)
{
  return { .mSelf = aOptions.mSelf,
           .mRegion = aOptions.mRegion,
           .mDataCentre = aOptions.mDataCentre,
           .mPeerAddress = aOptions.mPeerAddress,
           .mStaticPeers = aOptions.mStaticPeers,
           .mHasStore = aOptions.mHasStore,
           .mSeed = aOptions.mSeed };
}

EntryLogic::Options
EntryOptions(const NodeOptions& aOptions,
             uint32_t aShard,
             uint32_t aShards,
             EntryShared& aShared)
{
  return { .mSelf = aOptions.mSelf,
           .mRegion = aOptions.mRegion,
           .mDataCentre = aOptions.mDataCentre,
           .mKeySecret = aOptions.mKeySecret,
           .mShard = aShard,
           .mShards = aShards,
           .mMaxExternalCalls = aOptions.mMaxExternalCalls,
           .mSeed = aOptions.mSeed + 100 + aShard,
           .mPolicyOff = aOptions.mPolicyOff,
           .mShared = &aShared };
}

// -- Routing ----------------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Route(TimePoint aNow,
                               Effects aEffects,
                               Actions& aActions)
{
  if (aEffects.IsEmpty()) {
    return;
  }
  std::deque<Effects> queue;
  queue.push_back(std::move(aEffects));
  const NodeRef self = Facts().mSelf;
  while (!queue.empty()) {
    Effects effects = std::move(queue.front());
    queue.pop_front();
    if (!effects.mCounts.empty() || !effects.mSteps.empty()) {
      mJournal.Use([&](Journal& aJournal) { aJournal.Take(aNow, effects); });
    }
    for (const NodeEvent& event : effects.mEvents) {
      Handle(aNow, event, queue);
    }
    for (Action& action : effects.mActions) {
      auto* send = std::get_if<SendMessage>(&action);
      if (send == nullptr || send->mTo != self) {
        aActions.push_back(std::move(action));
        continue;
      }
      Effects more;
      Deliver(aNow, { self, {}, std::move(send->mMessage) }, more);
      queue.push_back(std::move(more));
    }
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Handle(TimePoint aNow,
                                const NodeEvent& aEvent,
                                std::deque<Effects>& aMore)
{
  if (const auto* begun = std::get_if<RequestBegun>(&aEvent)) {
    LedgerOf(begun->mRequest).Use([&](RetryLedger& aLedger) {
      aLedger.Begin(aNow, begun->mRequest);
    });
  } else if (const auto* ended = std::get_if<RequestEnded>(&aEvent)) {
    LedgerOf(ended->mRequest).Use([&](RetryLedger& aLedger) {
      aLedger.End(aNow, ended->mRequest);
    });
  } else if (const auto* child = std::get_if<ChildOutcome>(&aEvent)) {
    mTarget.Use(
      [&](TargetLogic& aTarget) { aTarget.ChildEnded(aNow, *child); });
  } else if (const auto* over = std::get_if<ExecutionEnded>(&aEvent)) {
    for (const auto& entry : mEntries) {
      Effects& more = aMore.emplace_back();
      entry->Use([&](EntryLogic& aEntry) {
        aEntry.ExecutionIsOver(aNow, over->mExecution, more);
      });
    }
  } else if (const auto* upstream = std::get_if<UpstreamChanged>(&aEvent)) {
    Effects& more = aMore.emplace_back();
    mControl.Use([&](ControlLogic& aControl) {
      aControl.SetUpstream(aNow,
                           upstream->mService,
                           upstream->mSlots,
                           upstream->mWarmUp,
                           more.mActions);
    });
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::Parts::AskLedger(TimePoint aNow,
                                   const Inbound& aInbound,
                                   Effects& aEffects)
{
  const auto& request = std::get<RetryGrantRequest>(aInbound.mMessage);
  const uint32_t maximum = Facts().mMaxRetries;
  const bool isGranted =
    LedgerOf(request.mRequest).Use([&](RetryLedger& aLedger) {
      return aLedger.Grant(aNow, request.mRequest, maximum);
    });
  aEffects.Count(isGranted ? "grants" : "grants_refused");
  aEffects.mActions.emplace_back(SendMessage{
    .mTo = aInbound.mFrom,
    .mAddress = aInbound.mAddress,
    .mMessage = RetryGrant{ .mCall = request.mCall, .mGranted = isGranted } });
}

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Deliver(TimePoint aNow,
                                 Inbound aInbound,
                                 Effects& aEffects)
{
  const NodeRef& from = aInbound.mFrom;
  Message& message = aInbound.mMessage;
  if (auto* call = std::get_if<CallMessage>(&message)) {
    mTarget.Use([&](TargetLogic& aTarget) {
      aTarget.PeerCall(
        aNow, from, aInbound.mAddress, std::move(*call), aEffects);
    });
  } else if (auto* reply = std::get_if<ReplyMessage>(&message)) {
    EntryOf(reply->mCall).Use([&](EntryLogic& aEntry) {
      aEntry.ReplyArrived(aNow, from, std::move(*reply), aEffects);
    });
  } else if (const auto* cancel = std::get_if<CancelCall>(&message)) {
    mTarget.Use([&](TargetLogic& aTarget) {
      aTarget.PeerCancel(aNow, from, *cancel, aEffects);
    });
  } else if (std::holds_alternative<RetryGrantRequest>(message)) {
    AskLedger(aNow, aInbound, aEffects);
  } else if (const auto* grant = std::get_if<RetryGrant>(&message)) {
    EntryOf(grant->mCall).Use([&](EntryLogic& aEntry) {
      aEntry.GrantArrived(aNow, from, *grant, aEffects);
    });
  } else if (const auto* wanted = std::get_if<KeyRequest>(&message)) {
    mTarget.Use([&](TargetLogic& aTarget) {
      aTarget.KeyRequested(aNow, from, aInbound.mAddress, *wanted, aEffects);
    });
  } else if (const auto* issued = std::get_if<KeyIssued>(&message)) {
    EntryOf(issued->mCall).Use([&](EntryLogic& aEntry) {
      aEntry.KeyArrived(aNow, from, *issued, aEffects);
    });
  } else if (const auto* piece = std::get_if<ClosingRecordTransfer>(&message)) {
    mTarget.Use([&](TargetLogic& aTarget) {
      aTarget.TransferArrived(aNow, from, aInbound.mAddress, *piece, aEffects);
    });
  } else if (const auto* crash = std::get_if<CrashReport>(&message)) {
    mTarget.Use(
      [&](TargetLogic& aTarget) { aTarget.CrashReported(aNow, *crash); });
  } else if (const auto* usage = std::get_if<UsageReport>(&message)) {
    mTarget.Use(
      [&](TargetLogic& aTarget) { aTarget.UsageReported(aNow, from, *usage); });
  }
}

// -- Control side -----------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Spread(TimePoint aNow,
                                const ControlNews& aNews,
                                Actions& aActions)
{
  const auto apply = [&](auto& aPart) {
    Effects effects;
    aPart.TakeNews(aNow, aNews, effects);
    Route(aNow, std::move(effects), aActions);
  };
  apply(mTarget);
  for (const auto& entry : mEntries) {
    apply(*entry);
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::Parts::StartDrain(TimePoint aNow, Actions& aActions)
{
  const bool isFirst = mFacts.Use(
    [](NodeFacts& aFacts) { return !std::exchange(aFacts.mDraining, true); });
  if (!isFirst) {
    return;
  }
  aActions.emplace_back(AuditEntry{ .mKind = AuditKind::Drain,
                                    .mSubject = mOptions.mSelf.mId.mValue,
                                    .mCause = "drain started" });
  for (const auto& entry : mEntries) {
    entry->Use([](EntryLogic& aEntry) { aEntry.DrainStarted(); });
  }
  Run(aNow, mTarget, aActions, [&](TargetLogic& aTarget, Effects& aEffects) {
    aTarget.DrainStarted(aNow, aEffects);
  });
  RunControl(aNow, aActions, [&](ControlLogic& aControl) {
    aControl.Leave(aNow, aActions);
  });
}

template struct NodeLogic<std::mutex>::Parts;
template struct NodeLogic<NullMutex>::Parts;

} // namespace amaranthgap
