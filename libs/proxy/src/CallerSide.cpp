#include "proxy/CallerSide.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "http/HttpFormat.h"

namespace amaranthgap {

namespace {

// Requests of one connection that are handled at a time. The answers to all of
// them may have to be held for a caller that reads slowly.
constexpr size_t kMostPipelined = 8;
// Bytes that a caller may send beyond these requests before it is not read.
constexpr size_t kMostUnparsedBytes = size_t(16) * 1024;
// Answers that a caller may leave unread before its requests wait.
constexpr size_t kMostUnsent = size_t(1) << 20;
// How long a caller may take to read what was sent.
constexpr Duration kUserTimeout = seconds(5);
// Memory of a connection without data.
constexpr size_t kConnectionBytes = size_t(4) * 1024;
// Connections that hold less are not shed for memory.
constexpr size_t kLeastShedBytes = size_t(32) * 1024;
// Part of the memory limit at which shedding stops, so that it is not begun
// again with the next bytes.
constexpr double kShedShare = 0.9;
// A connection that has not moved for this time may be shed for a request.
constexpr Duration kStalledTime = seconds(1);
// Weight of a connection with requests under way: shedding it loses work.
constexpr double kInFlightWeight = 0.25;
// Part of the connections that is shed at once for descriptors.
constexpr size_t kShedPart = 32;
// Slices of bodies with small chunks that are parsed in one turn of the loop.
constexpr int kSlicesPerTurn = 16;
// When the caller of a request that was shed may come back.
constexpr double kReturnSeconds = 1;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;

int
StatusOf(ReadFault aFault)
{
  switch (aFault) {
    case ReadFault::HeaderTooLarge:
      return kHeadersTooLarge;
    case ReadFault::BodyTooLarge:
      return kTooLarge;
    case ReadFault::UnsupportedCoding:
      return kNotImplemented;
    default:
      return kBadRequest;
  }
}

/** What a connection is used for, in the order in which connections are given
 * up for descriptors. */
enum class ConnectionUse : uint8_t
{
  Busy,    ///< Requests or unsent answers.
  Idle,    ///< Kept for further requests.
  Closing, ///< Everything was sent; waits for the caller to close.
};

} // namespace

class CallerSide::Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(CallerSide& aSide,
             uint64_t aId,
             std::unique_ptr<TcpStream> aStream,
             const CallerLimits& aLimits)
    : mSide(aSide)
    , mId(aId)
    , mStream(std::move(aStream))
    , mLimits(aLimits)
    , mReader(ReadLimits{ .mHeaderBytes = aLimits.mHeaderBytes,
                          .mBodyBytes = aLimits.mBodyBytes })
    , mLastActive(EventLoop::Now())
    , mLastMoved(mLastActive)
    , mInput(aSide.mOptions.mAccount, MemoryUse::CallerInput)
    , mAnswers(aSide.mOptions.mAccount, MemoryUse::CallerOutput)
  {
    CountHeld();
  }

  void Start()
  {
    const std::weak_ptr<Connection> weak = weak_from_this();
    StreamCallbacks events;
    events.mOnData = [weak](std::string_view aData) {
      if (const auto self = weak.lock()) {
        self->mReader.Feed(aData);
        self->mLastActive = EventLoop::Now();
        self->mLastMoved = self->mLastActive;
        self->ReadRequests();
        self->mSide.Relieve(self->mLastActive);
      }
    };
    events.mOnDrained = [weak] {
      if (const auto self = weak.lock()) {
        self->mLastMoved = EventLoop::Now();
        self->SendReady();
        self->ReadRequests();
      }
    };
    events.mOnHalfClosed = [weak] {
      if (const auto self = weak.lock()) {
        self->DropSlots();
        self->Finish();
      }
    };
    events.mOnClosed = [weak](StreamEnd aEnd) {
      if (const auto self = weak.lock()) {
        self->Ended(aEnd);
      }
    };
    mStream->SetCallbacks(std::move(events));
  }

  void Answer(uint64_t aRequest, HttpResponse aResponse)
  {
    for (Slot& it : mSlots) {
      if (it.mRequest == aRequest) {
        it.mResponse = std::move(aResponse);
        break;
      }
    }
    SendReady();
    ReadRequests();
    mSide.Relieve(EventLoop::Now());
  }

  void StartDraining()
  {
    if (!mClosing && mSlots.empty() && mReader.State() == ReadState::Idle) {
      Finish();
    }
  }

  /** Reads no further request: closes after the answers to those that were
   * handed over, and refuses one that is still being received. */
  void StopReading()
  {
    mLastSeen = true;
    if (mClosing || !mSlots.empty()) {
      return;
    }
    if (mReader.State() == ReadState::Idle) {
      Finish();
    } else {
      Refuse(kUnavailable);
    }
  }

  void CloseOverdue(TimePoint aNow)
  {
    const Duration quiet = aNow - mLastActive;
    if (mClosing || !mSlots.empty() || mIsToParse ||
        mStream->UnsentBytes() > 0) {
      return; // It does not wait for the caller to send.
    }
    if (mReader.State() == ReadState::Partial &&
        quiet > mLimits.mHeaderTimeout) {
      Refuse(kRequestTimeout);
    } else if (mReader.State() == ReadState::Idle &&
               quiet > mLimits.mIdleTimeout) {
      Finish();
    }
  }

  /** Parses what has been received; hands over complete requests. */
  void ReadRequests()
  {
    const auto self = shared_from_this();
    while (!mClosing && !IsFull()) {
      auto request = mReader.Next();
      CountHeld();
      if (!request) {
        break;
      }
      const uint64_t id = ++mSide.mLastId;
      const size_t bytes = request->mHttp.mBody.size();
      mSlots.push_back({ .mRequest = id,
                         .mKeepAlive = request->mKeepAlive,
                         .mIsHead = request->mHttp.mMethod == "HEAD",
                         .mBytes = bytes });
      mLastSeen |= !request->mKeepAlive;
      mSide.mByRequest[id] = mId;
      mSide.MakeRoom(mLastActive, bytes);
      if (!mClosing) { // It may have been shed.
        mSide.mEvents.mRequest({ id }, std::move(request->mHttp));
      }
    }
    if (mClosing) {
      return;
    }
    const bool isInvalid = mReader.State() == ReadState::Invalid;
    if (isInvalid && mSlots.empty()) {
      Refuse(StatusOf(mReader.Fault()));
      return;
    }
    const bool hasMore = !IsFull() && mReader.HasUnparsedData();
    if (hasMore && !std::exchange(mIsToParse, true)) {
      mSide.ParseLater(mId);
    }
    // A full connection is read on for a while: only so does a close by the
    // caller show, whose requests are then cancelled.
    const bool holdsMuch =
      IsFull() && mReader.UnparsedBytes() > kMostUnparsedBytes;
    if (holdsMuch || hasMore || isInvalid) {
      mStream->PauseReading();
    } else {
      mStream->ResumeReading();
    }
  }

  /** Goes on after ParseLater(). */
  void ParseSlice()
  {
    mIsToParse = false;
    ReadRequests();
    mSide.Relieve(EventLoop::Now());
  }

  /** @return the bytes that the process holds for this connection. */
  [[nodiscard]] size_t HeldBytes() const
  {
    size_t out = mInput.Bytes() + mAnswers.Bytes() + mStream->UnsentBytes();
    for (const Slot& it : mSlots) {
      out += it.mResponse ? 0 : it.mBytes;
    }
    return out;
  }
  [[nodiscard]] Duration Quiet(TimePoint aNow) const
  {
    return aNow - mLastMoved;
  }
  [[nodiscard]] ConnectionUse Use() const
  {
    if (!mSlots.empty() || mStream->UnsentBytes() > 0) {
      return ConnectionUse::Busy;
    }
    if (mClosing) {
      return ConnectionUse::Closing;
    }
    return mReader.State() == ReadState::Idle ? ConnectionUse::Idle
                                              : ConnectionUse::Busy;
  }
  /** @return how much is gained by shedding this connection: it rises with what
   * it holds and with the time since it moved. */
  [[nodiscard]] double ShedRank(TimePoint aNow) const
  {
    constexpr double kLeastSeconds = 0.1;
    return double(HeldBytes()) * (kLeastSeconds + ToSeconds(Quiet(aNow))) *
           (mSlots.empty() ? 1 : kInFlightWeight);
  }

  /** Closes the connection to free what it holds. */
  void Shed(TimePoint aNow, const char* aCause)
  {
    const auto self = shared_from_this();
    const bool isIdle = Use() == ConnectionUse::Idle;
    const bool isRefused =
      !isIdle && !mClosing && mSlots.empty() && mStream->UnsentBytes() == 0;
    mSide.mLogger.Write(
      aNow,
      LogLevel::Warning,
      "caller-shed",
      { { "caller", mStream->Peer() },
        { "cause", aCause },
        { "bytes", std::to_string(HeldBytes()) },
        { "quiet_ms", std::to_string(ToMillis(Quiet(aNow))) },
        { "in_flight", std::to_string(mSlots.size()) },
        { "closing", mClosing ? "yes" : "no" },
        { "status", std::to_string(isRefused ? kUnavailable : 0) } });
    if (isIdle) {
      Finish();
    } else if (isRefused) {
      Refuse(kUnavailable);
    } else {
      mClosing = true;
      mStream->Reset();
      DropSlots();
      mSide.Drop(mId);
    }
    mInput.Set(0);
    mAnswers.Set(0);
  }

private:
  struct Slot
  {
    uint64_t mRequest = 0;
    bool mKeepAlive = true;
    bool mIsHead = false;
    size_t mBytes = 0; ///< Of the body of the request.
    std::optional<HttpResponse> mResponse;
  };

  /** @return whether no further request is read for now. */
  [[nodiscard]] bool IsFull() const
  {
    return mLastSeen || mSlots.size() >= kMostPipelined ||
           mAnswers.Bytes() + mStream->UnsentBytes() > kMostUnsent;
  }

  void CountHeld()
  {
    mInput.Set(kConnectionBytes + mReader.BufferedBytes());
    size_t answers = 0;
    for (const Slot& it : mSlots) {
      answers += it.mResponse ? it.mResponse->mBody.size() : 0;
    }
    mAnswers.Set(answers);
  }

  /** Sends the answers that are next in order. Those behind much unsent data
   * wait, as the send buffer would be copied each time it grows. */
  void SendReady()
  {
    while (!mSlots.empty() && mSlots.front().mResponse &&
           mStream->UnsentBytes() <= kMostUnsent) {
      const Slot slot = std::move(mSlots.front());
      mSlots.pop_front();
      mSide.mByRequest.erase(slot.mRequest);
      // What was handed over before the connection drains is answered, too.
      const bool keep =
        slot.mKeepAlive && (!mSide.mDraining || !mSlots.empty());
      Write(FormatResponse(*slot.mResponse, keep, slot.mIsHead));
      if (!keep) {
        // Requests behind this answer count as not read and come again.
        DropSlots();
        Finish();
        return;
      }
    }
    CountHeld();
  }

  void DropSlots()
  {
    for (const Slot& it : std::exchange(mSlots, {})) {
      mSide.mByRequest.erase(it.mRequest);
      mSide.mEvents.mGone({ it.mRequest });
    }
  }

  void Refuse(int aStatus)
  {
    HttpResponse response{ .mStatus = aStatus };
    if (aStatus == kUnavailable) {
      response.mHeaders.emplace_back("Retry-After",
                                     fmt::format("{:.1f}", kReturnSeconds));
    }
    Write(FormatResponse(response, false, false));
    Finish();
  }

  /** Closes once the caller has what was written. */
  void Finish()
  {
    mClosing = true;
    mReader.Discard();
    CountHeld();
    if (mHasWritten) {
      mStream->Finish(mLastActive);
    } else {
      mStream->Close();
      mSide.Drop(mId);
    }
  }

  void Write(std::string aBytes)
  {
    mStream->Write(std::move(aBytes));
    mLastActive = EventLoop::Now();
    mHasWritten = true;
  }

  void Ended(StreamEnd aEnd)
  {
    if (mClosing && aEnd == StreamEnd::ConnectionLost) {
      mSide.mLogger.Write(EventLoop::Now(),
                          LogLevel::Info,
                          "closing-connection-lost",
                          { { "caller", mStream->Peer() } });
    }
    mClosing = true;
    DropSlots();
    mSide.Drop(mId);
  }

  CallerSide& mSide;
  uint64_t mId;
  std::unique_ptr<TcpStream> mStream;
  CallerLimits mLimits;
  RequestReader mReader;
  std::deque<Slot> mSlots;
  bool mLastSeen = false;  ///< No more requests are read here.
  bool mClosing = false;   ///< No further request or answer follows.
  bool mIsToParse = false; ///< Waits for its turn to parse.
  bool mHasWritten = false;
  TimePoint mLastActive;
  TimePoint mLastMoved; ///< Bytes arrived, or all answers were taken.
  MemoryAccount::Share mInput;
  MemoryAccount::Share mAnswers;
};

CallerSide::CallerSide(EventLoop& aLoop,
                       Logger& aLogger,
                       Options aOptions,
                       Events aEvents)
  : mLoop(aLoop)
  , mLogger(aLogger)
  , mOptions(std::move(aOptions))
  , mEvents(std::move(aEvents))
  , mListener(aLoop)
  , mParseTimer(aLoop)
{
}

CallerSide::~CallerSide() = default;

Status
CallerSide::Listen(const std::string& aAddress)
{
  return mListener.Listen(aAddress,
                          { .mUserTimeout = kUserTimeout,
                            .mAccount = mOptions.mAccount,
                            .mUse = MemoryUse::CallerOutput },
                          [this](std::unique_ptr<TcpStream> aStream) {
                            Accepted(std::move(aStream));
                          });
}

void
CallerSide::Accepted(std::unique_ptr<TcpStream> aStream)
{
  const uint64_t id = ++mLastId;
  auto connection =
    std::make_shared<Connection>(*this, id, std::move(aStream), mLimits);
  connection->Start();
  mConnections.emplace(id, std::move(connection));
  if (mConnections.size() > mOptions.mMaxConnections) {
    ShedForDescriptors(EventLoop::Now());
  }
}

void
CallerSide::ShedTo(TimePoint aNow, size_t aBytes, Duration aQuiet)
{
  while (mOptions.mAccount->Held() > aBytes) {
    std::shared_ptr<Connection> worst;
    double worstRank = 0;
    for (const auto& [id, connection] : mConnections) {
      const double rank = connection->ShedRank(aNow);
      if (rank > worstRank && connection->Quiet(aNow) >= aQuiet &&
          connection->HeldBytes() >= kLeastShedBytes) {
        worst = connection;
        worstRank = rank;
      }
    }
    if (!worst) {
      return;
    }
    ++mShed.mForMemory;
    worst->Shed(aNow, "memory");
  }
}

void
CallerSide::Relieve(TimePoint aNow)
{
  const MemoryAccount& account = *mOptions.mAccount;
  if (account.IsExceeded()) {
    ShedTo(aNow, size_t(double(account.Limit()) * kShedShare), {});
  }
}

void
CallerSide::MakeRoom(TimePoint aNow, size_t aBytes)
{
  const MemoryAccount& account = *mOptions.mAccount;
  if (!account.HasRoomFor(aBytes)) {
    const auto most =
      size_t(double(account.Limit()) * MemoryAccount::kRequestShare);
    ShedTo(aNow, most - std::min(most, aBytes), kStalledTime);
  }
}

void
CallerSide::ShedForDescriptors(TimePoint aNow)
{
  std::vector<std::shared_ptr<Connection>> all;
  for (const auto& [id, connection] : mConnections) {
    all.push_back(connection);
  }
  const size_t count = mConnections.size() - mOptions.mMaxConnections +
                       mOptions.mMaxConnections / kShedPart;
  const auto isWorse = [aNow](const auto& aLeft, const auto& aRight) {
    return std::pair{ aLeft->Use(), aLeft->ShedRank(aNow) } >
           std::pair{ aRight->Use(), aRight->ShedRank(aNow) };
  };
  const auto end = all.begin() + ptrdiff_t(std::min(count, all.size()));
  std::partial_sort(all.begin(), end, all.end(), isWorse);
  for (auto it = all.begin(); it != end; ++it) {
    ++mShed.mForDescriptors;
    (*it)->Shed(aNow, "descriptors");
  }
}

void
CallerSide::ParseLater(uint64_t aConnection)
{
  mToParse.push_back(aConnection);
  if (mToParse.size() == 1) {
    mParseTimer.Start(
      Duration::zero(), Duration::zero(), [this] { ParseSlices(); });
  }
}

void
CallerSide::ParseSlices()
{
  for (int n = 0; n < kSlicesPerTurn && !mToParse.empty(); ++n) {
    const auto it = mConnections.find(mToParse.front());
    mToParse.pop_front();
    if (it != mConnections.end()) {
      const auto connection = it->second;
      connection->ParseSlice();
    }
  }
  if (!mToParse.empty()) {
    mParseTimer.Start(
      Duration::zero(), Duration::zero(), [this] { ParseSlices(); });
  }
}

void
CallerSide::Drop(uint64_t aConnection)
{
  const auto it = mConnections.find(aConnection);
  if (it != mConnections.end()) {
    // The connection may be on the stack.
    mLoop.Defer([connection = std::move(it->second)] {});
    mConnections.erase(it);
  }
}

void
CallerSide::SetLimits(const CallerLimits& aLimits)
{
  mLimits = aLimits;
}

void
CallerSide::Answer(RequestHandle aRequest, HttpResponse aResponse)
{
  const auto it = mByRequest.find(aRequest.mValue);
  if (it == mByRequest.end()) {
    return;
  }
  if (const auto connection = mConnections.find(it->second);
      connection != mConnections.end()) {
    const auto kept = connection->second;
    kept->Answer(aRequest.mValue, std::move(aResponse));
  }
}

void
CallerSide::StartDraining()
{
  mDraining = true;
  const auto all = mConnections;
  for (const auto& [id, connection] : all) {
    connection->StartDraining();
  }
}

void
CallerSide::Finish()
{
  mListener.Close();
  StartDraining();
  const auto all = mConnections;
  for (const auto& [id, connection] : all) {
    connection->StopReading();
  }
}

void
CallerSide::CloseOverdue(TimePoint aNow)
{
  const auto all = mConnections;
  for (const auto& [id, connection] : all) {
    connection->CloseOverdue(aNow);
  }
  Relieve(aNow);
}

} // namespace amaranthgap
