#include "node/NodeLogic.h"

#include "NodeParts.h"

namespace amaranthgap {
namespace {

constexpr Duration kLedgerExpiry = seconds(1);

} // namespace

// -- Callers ----------------------------------------------------------------

template<class Mutex>
NodeLogic<Mutex>::NodeLogic(NodeOptions aOptions)
  : mParts(std::make_unique<Parts>(std::move(aOptions)))
{
}

template<class Mutex>
NodeLogic<Mutex>::~NodeLogic() = default;

template<class Mutex>
void
NodeLogic<Mutex>::CallArrived(TimePoint aNow,
                              CallerCall aCall,
                              Actions& aActions)
{
  auto& entry = mParts->EntryOf(aCall.mService);
  if (!aCall.mFromUpstream && aCall.mContext.empty()) {
    mParts->Run(
      aNow, entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
        aEntry.CallArrived(aNow, std::move(aCall), aEffects);
      });
    return;
  }
  const auto parent = mParts->mTarget.Use([&](TargetLogic& aTarget) {
    return aTarget.ChildStarted(aNow, aCall.mContext, aCall.mCaller);
  });
  if (!parent) {
    mParts->Count("children_refused");
    aActions.emplace_back(AnswerCaller{ .mCaller = aCall.mCaller,
                                        .mRequest = aCall.mRequest,
                                        .mReason = Reason::UnknownExecution });
    return;
  }
  mParts->Run(
    aNow, entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
      aEntry.ChildArrived(aNow, std::move(aCall), *parent, aEffects);
    });
  // The execution may have ended between the two steps; its end then met no
  // child call to cancel.
  const bool isRunning = mParts->mTarget.Use([&](TargetLogic& aTarget) {
    return aTarget.IsRunning(parent->mExecution);
  });
  if (!isRunning) {
    mParts->Run(
      aNow, entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
        aEntry.ExecutionIsOver(aNow, parent->mExecution, aEffects);
      });
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::KeyRequested(TimePoint aNow,
                               CallerKeyRequest aRequest,
                               Actions& aActions)
{
  mParts->Run(aNow,
              mParts->EntryOf(aRequest.mService),
              aActions,
              [&](EntryLogic& aEntry, Effects& aEffects) {
                aEntry.KeyRequested(aNow, aRequest, aEffects);
              });
}

template<class Mutex>
void
NodeLogic<Mutex>::CallerGone(TimePoint aNow,
                             CallerHandle aCaller,
                             Actions& aActions)
{
  for (const auto& entry : mParts->mEntries) {
    mParts->Run(
      aNow, *entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
        aEntry.CallerGone(aNow, aCaller, aEffects);
      });
  }
}

// -- Peers ------------------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::MessageArrived(TimePoint aNow,
                                 Envelope aEnvelope,
                                 Actions& aActions)
{
  constexpr size_t kFirstControlKind = 10; // Ping.
  const NodeRef self = mParts->Facts().mSelf;
  if (!aEnvelope.mTo.mId.IsEmpty() && aEnvelope.mTo.mId != self.mId) {
    mParts->Count("dropped_wrong_node");
    return;
  }
  const bool isControl = aEnvelope.mMessage.index() >= kFirstControlKind;
  const bool isUnaddressed =
    isControl && aEnvelope.mTo.mIncarnation.mValue == 0;
  if (aEnvelope.mTo.mIncarnation != self.mIncarnation && !isUnaddressed) {
    mParts->Count("dropped_wrong_incarnation");
    if (const auto* call = std::get_if<CallMessage>(&aEnvelope.mMessage)) {
      aActions.emplace_back(SendMessage{
        .mTo = aEnvelope.mFrom,
        .mAddress = aEnvelope.mFromAddress,
        .mMessage = ReplyMessage{ .mCall = call->mCall,
                                  .mReason = Reason::WrongTarget } });
    }
    return;
  }
  if (isControl) {
    mParts->RunControl(aNow, aActions, [&](ControlLogic& aControl) {
      aControl.MessageArrived(aNow, aEnvelope, aActions);
    });
    return;
  }
  Effects effects;
  mParts->Deliver(aNow,
                  { aEnvelope.mFrom,
                    std::move(aEnvelope.mFromAddress),
                    std::move(aEnvelope.mMessage) },
                  effects);
  mParts->Route(aNow, std::move(effects), aActions);
}

template<class Mutex>
void
NodeLogic<Mutex>::PeerLost(TimePoint aNow,
                           const NodeRef& aPeer,
                           bool aNeverSent,
                           Actions& aActions)
{
  for (const auto& entry : mParts->mEntries) {
    mParts->Run(
      aNow, *entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
        aEntry.PeerLost(aNow, aPeer, aNeverSent, aEffects);
      });
  }
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.PeerLost(aNow, aPeer, aEffects);
              });
  mParts->RunControl(aNow, aActions, [&](ControlLogic& aControl) {
    aControl.PeerLost(aNow, aPeer, aActions);
  });
}

// -- Upstream ---------------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::UpstreamAnnounced(TimePoint aNow,
                                    const Announcement& aAnnouncement,
                                    Actions& aActions)
{
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.UpstreamAnnounced(aNow, aAnnouncement, aEffects);
              });
}

template<class Mutex>
void
NodeLogic<Mutex>::UpstreamAnswered(TimePoint aNow,
                                   ExecutionId aExecution,
                                   const HttpResponse& aResponse,
                                   Actions& aActions)
{
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.UpstreamAnswered(aNow, aExecution, aResponse, aEffects);
              });
}

template<class Mutex>
void
NodeLogic<Mutex>::UpstreamFailed(TimePoint aNow,
                                 ExecutionId aExecution,
                                 UpstreamFailure aFailure,
                                 Actions& aActions)
{
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.UpstreamFailed(aNow, aExecution, aFailure, aEffects);
              });
}

template<class Mutex>
void
NodeLogic<Mutex>::StoreAnswered(TimePoint aNow,
                                StoreCallId aCall,
                                const StoreAnswer& aAnswer,
                                Actions& aActions)
{
  mParts->RunControl(aNow, aActions, [&](ControlLogic& aControl) {
    aControl.StoreAnswered(aNow, aCall, aAnswer, aActions);
  });
}

// -- Time and shutdown ------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::Tick(TimePoint aNow, Actions& aActions)
{
  mParts->RunControl(aNow, aActions, [&](ControlLogic& aControl) {
    aControl.Tick(aNow, aActions);
  });
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.Tick(aNow, aEffects);
              });
  for (const auto& entry : mParts->mEntries) {
    mParts->Run(
      aNow, *entry, aActions, [&](EntryLogic& aEntry, Effects& aEffects) {
        aEntry.Tick(aNow, aEffects);
      });
  }
  const int64_t now = aNow.time_since_epoch().count();
  if (now >= mParts->mNextLedgerExpiry) {
    mParts->mNextLedgerExpiry = now + kLedgerExpiry.count();
    for (const auto& ledger : mParts->mLedgers) {
      ledger->Use([&](RetryLedger& aLedger) { aLedger.Expire(aNow); });
    }
  }
  if (IsDrained(aNow)) {
    const bool isFirst = mParts->mFacts.Use(
      [](NodeFacts& aFacts) { return !std::exchange(aFacts.mSaidLeft, true); });
    if (isFirst) {
      mParts->RunControl(aNow, aActions, [&](ControlLogic& aControl) {
        aControl.Left(aNow, aActions);
      });
    }
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::DrainStarted(TimePoint aNow, Actions& aActions)
{
  mParts->StartDrain(aNow, aActions);
}

template<class Mutex>
bool
NodeLogic<Mutex>::IsDrained(TimePoint /*aNow*/)
{
  if (!mParts->Facts().mDraining) {
    return false;
  }
  for (const auto& entry : mParts->mEntries) {
    if (entry->Use([](EntryLogic& aEntry) { return aEntry.InFlight(); }) > 0) {
      return false;
    }
  }
  return mParts->mTarget.Use(
    [](TargetLogic& aTarget) { return aTarget.IsDrained(); });
}

// -- Operators --------------------------------------------------------------

template<class Mutex>
NodeRef
NodeLogic<Mutex>::Self()
{
  return mParts->Facts().mSelf;
}

template<class Mutex>
uint64_t
NodeLogic<Mutex>::Version()
{
  const ManifestPtr manifest = mParts->Facts().mManifest;
  return manifest ? manifest->mVersion : 0;
}

template<class Mutex>
NodeStatus
NodeLogic<Mutex>::GetStatus(TimePoint aNow)
{
  const NodeFacts facts = mParts->Facts();
  NodeStatus status{ .mSelf = facts.mSelf,
                     .mReady = facts.mReady,
                     .mDraining = facts.mDraining };
  mParts->mControl.Use([&](ControlLogic& aControl) {
    status.mManifest = aControl.Stamp();
    status.mMembers = aControl.Members();
  });
  mParts->mTarget.Use([&](TargetLogic& aTarget) {
    status.mService = aTarget.Upstream().Last().mService;
    status.mUpstreamState = ToName(aTarget.Upstream().State(aNow));
    status.mLoad = aTarget.Load(aNow);
  });
  for (const auto& entry : mParts->mEntries) {
    status.mCallsInFlight +=
      entry->Use([](EntryLogic& aEntry) { return aEntry.InFlight(); });
  }
  status.mCounters =
    mParts->mJournal.Use([](Journal& aJournal) { return aJournal.Counters(); });
  return status;
}

template<class Mutex>
QueueView
NodeLogic<Mutex>::GetQueue(TimePoint aNow)
{
  return mParts->mTarget.Use(
    [&](TargetLogic& aTarget) { return aTarget.Queue(aNow); });
}

template<class Mutex>
std::vector<ExplainStep>
NodeLogic<Mutex>::Explain(const RequestId& aRequest)
{
  return mParts->mJournal.Use(
    [&](Journal& aJournal) { return aJournal.Explain(aRequest); });
}

template class NodeLogic<std::mutex>;
template class NodeLogic<NullMutex>;

} // namespace amaranthgap
