#include "node/NodeLogic.h"

#include <deque>

#include <fmt/format.h>

#include "base/Hash.h"
#include "node/ControlLogic.h"
#include "node/EntryLogic.h"
#include "node/Journal.h"
#include "node/TargetLogic.h"
#include "overload/RetryLedger.h"

namespace amaranthgap {
namespace {

constexpr Duration kLedgerExpiry = seconds(1);

/** A value with the lock that guards it. */
template<class Mutex, class T>
class Guarded
{
public:
  template<class... Args>
  explicit Guarded(Args&&... aArgs)
    : mValue(std::forward<Args>(aArgs)...)
  {
  }

  template<class F>
  auto Use(F aUse)
  {
    const std::lock_guard lock(mMutex);
    return aUse(mValue);
  }

private:
  Mutex mMutex;
  T mValue;
};

/** What all parts need to know; changes only by control events. */
struct NodeFacts
{
  NodeRef mSelf;
  ManifestPtr mManifest;
  bool mReady = false;
  bool mDraining = false;
  bool mSaidLeft = false;
  uint32_t mMaxRetries = 3;
};

struct Inbound
{
  NodeRef mFrom;
  std::string mAddress;
  Message mMessage;
};

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

} // namespace

template<class Mutex>
struct NodeLogic<Mutex>::Parts
{
  using Entry = Guarded<Mutex, EntryLogic>;
  using Ledger = Guarded<Mutex, RetryLedger>;

  explicit Parts(NodeOptions aOptions)
    : mOptions(std::move(aOptions))
    , mFacts(NodeFacts{ .mSelf = mOptions.mSelf })
    , mTarget(
        TargetLogic::Options{ .mSelf = mOptions.mSelf,
                              .mKeySecret = mOptions.mKeySecret,
                              .mMaxUpstreamCalls = mOptions.mMaxUpstreamCalls,
                              .mSeed = mOptions.mSeed + 50,
                              .mPolicyOff = mOptions.mPolicyOff })
    , mControl(ControlOptions(mOptions))
    , mJournal(Journal::Options{ .mWallOffset = mOptions.mWallOffset })
  {
    const uint32_t shards = std::max(mOptions.mEntryShards, 1U);
    for (uint32_t i = 0; i < shards; ++i) {
      mEntries.push_back(
        std::make_unique<Entry>(EntryOptions(mOptions, i, shards, mShared)));
      mLedgers.push_back(std::make_unique<Ledger>(RetryLedger::Options{}));
    }
  }

  // -- Parts --

  Entry& EntryOf(const std::string& aService)
  {
    return *mEntries[Hash64(aService) % mEntries.size()];
  }
  Entry& EntryOf(CallId aCall)
  {
    return *mEntries[aCall.mValue % mEntries.size()];
  }
  Ledger& LedgerOf(const RequestId& aRequest)
  {
    return *mLedgers[Hash64(aRequest.mValue) % mLedgers.size()];
  }
  NodeFacts Facts()
  {
    return mFacts.Use([](NodeFacts& aFacts) { return aFacts; });
  }
  void Count(std::string_view aName)
  {
    mJournal.Use([&](Journal& aJournal) { aJournal.Count(aName); });
  }

  /** Runs an event of one part under its lock, then routes what comes out. */
  template<class Part, class F>
  void Run(TimePoint aNow, Part& aPart, Actions& aActions, F aEvent)
  {
    Effects effects;
    aPart.Use([&](auto& aLogic) { aEvent(aLogic, effects); });
    Route(aNow, std::move(effects), aActions);
  }

  void Route(TimePoint aNow, Effects aEffects, Actions& aActions);
  void Handle(TimePoint aNow,
              const NodeEvent& aEvent,
              std::deque<Effects>& aMore);
  void Deliver(TimePoint aNow, Inbound aInbound, Effects& aEffects);
  void AskLedger(TimePoint aNow, const Inbound& aInbound, Effects& aEffects);

  /** Passes on what an event of the control side has changed. */
  template<class F>
  void RunControl(TimePoint aNow, Actions& aActions, F aEvent);
  void Spread(TimePoint aNow,
              const NodeRef& aSelf,
              const ManifestPtr& aManifest,
              const MemberListPtr& aMembers,
              Actions& aActions);
  void StartDrain(TimePoint aNow, Actions& aActions);

  NodeOptions mOptions;
  EntryShared mShared;
  Guarded<Mutex, NodeFacts> mFacts;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::unique_ptr<Ledger>> mLedgers;
  Guarded<Mutex, TargetLogic> mTarget;
  Guarded<Mutex, ControlLogic> mControl;
  Guarded<Mutex, Journal> mJournal;
  std::atomic<int64_t> mNextLedgerExpiry{ 0 };
};

// -- Routing ----------------------------------------------------------------

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Route(TimePoint aNow,
                               Effects aEffects,
                               Actions& aActions)
{
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
template<class F>
void
NodeLogic<Mutex>::Parts::RunControl(TimePoint aNow, Actions& aActions, F aEvent)
{
  NodeRef self;
  ManifestPtr manifest;
  MemberListPtr members;
  bool isReady = false;
  bool isSuperseded = false;
  mControl.Use([&](ControlLogic& aControl) {
    aEvent(aControl);
    self = aControl.Self();
    manifest = aControl.TakeManifest();
    members = aControl.TakeMembers();
    isReady = aControl.IsReady();
    isSuperseded = aControl.IsSuperseded();
  });
  bool isNewSelf = false;
  mFacts.Use([&](NodeFacts& aFacts) {
    isNewSelf = aFacts.mSelf != self;
    aFacts.mSelf = self;
    aFacts.mReady = isReady;
    if (manifest) {
      aFacts.mManifest = manifest;
      aFacts.mMaxRetries = manifest->mLimits.mMaxRetriesPerRequest;
    }
  });
  if (isNewSelf || manifest || members) {
    Spread(aNow, self, manifest, members, aActions);
  }
  if (isSuperseded) {
    StartDrain(aNow, aActions);
  }
}

template<class Mutex>
void
NodeLogic<Mutex>::Parts::Spread(TimePoint aNow,
                                const NodeRef& aSelf,
                                const ManifestPtr& aManifest,
                                const MemberListPtr& aMembers,
                                Actions& aActions)
{
  const auto apply = [&](auto& aLogic, Effects& aEffects) {
    aLogic.SetSelf(aSelf);
    if (aManifest) {
      aLogic.SetManifest(aNow, aManifest);
    }
    if (aMembers) {
      aLogic.SetMembers(aNow, aMembers, aEffects);
    }
  };
  Run(aNow, mTarget, aActions, apply);
  for (const auto& entry : mEntries) {
    Run(aNow, *entry, aActions, apply);
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
                                    Announcement aAnnouncement,
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
                                   HttpResponse aResponse,
                                   Actions& aActions)
{
  mParts->Run(aNow,
              mParts->mTarget,
              aActions,
              [&](TargetLogic& aTarget, Effects& aEffects) {
                aTarget.UpstreamAnswered(
                  aNow, aExecution, std::move(aResponse), aEffects);
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
                                StoreAnswer aAnswer,
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
std::vector<ExplainStep>
NodeLogic<Mutex>::Explain(const RequestId& aRequest)
{
  return mParts->mJournal.Use(
    [&](Journal& aJournal) { return aJournal.Explain(aRequest); });
}

template class NodeLogic<std::mutex>;
template class NodeLogic<NullMutex>;

} // namespace amaranthgap
