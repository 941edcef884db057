#include "proxy/CallerSide.h"

#include <deque>
#include <utility>
#include <vector>

#include "http/HttpFormat.h"

namespace amaranthgap {

namespace {

// Requests of one connection that are handled at a time.
constexpr size_t kMostPipelined = 32;
// Answers that a caller may leave unread before its requests wait.
constexpr size_t kMostUnsent = size_t(1) << 20;
// How long a caller may take to read what was sent.
constexpr Duration kUserTimeout = seconds(5);

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeadersTooLarge = 431;

int
StatusOf(ReadFault aFault)
{
  switch (aFault) {
    case ReadFault::HeaderTooLarge:
      return kHeadersTooLarge;
    case ReadFault::BodyTooLarge:
      return kTooLarge;
    default:
      return kBadRequest;
  }
}

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
  {
  }

  void Start()
  {
    const std::weak_ptr<Connection> weak = weak_from_this();
    StreamCallbacks events;
    events.mOnData = [weak](std::string_view aData) {
      if (const auto self = weak.lock()) {
        self->mReader.Feed(aData);
        self->mLastActive = EventLoop::Now();
        self->ReadRequests();
      }
    };
    events.mOnClosed = [weak](StreamEnd) {
      if (const auto self = weak.lock()) {
        self->Ended();
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
    if (!mClosing) {
      ReadRequests();
    }
  }

  void StartDraining()
  {
    if (mSlots.empty() && mReader.State() == ReadState::Idle) {
      Close();
    }
  }

  // Returns whether the connection is over.
  bool CloseOverdue(TimePoint aNow)
  {
    const Duration quiet = aNow - mLastActive;
    if (!mSlots.empty()) {
      return false;
    }
    if (mReader.State() == ReadState::Partial &&
        quiet > mLimits.mHeaderTimeout) {
      Refuse(kRequestTimeout);
      return true;
    }
    if (mReader.State() == ReadState::Idle && quiet > mLimits.mIdleTimeout) {
      Close();
      return true;
    }
    return false;
  }

private:
  struct Slot
  {
    uint64_t mRequest = 0;
    bool mKeepAlive = true;
    bool mIsHead = false;
    std::optional<HttpResponse> mResponse;
  };

  void ReadRequests()
  {
    const auto self = shared_from_this();
    while (!mClosing && !mLastSeen && mSlots.size() < kMostPipelined) {
      auto request = mReader.Next();
      if (!request) {
        break;
      }
      const uint64_t id = ++mSide.mLastId;
      mSlots.push_back({ .mRequest = id,
                         .mKeepAlive = request->mKeepAlive,
                         .mIsHead = request->mHttp.mMethod == "HEAD" });
      mLastSeen = !request->mKeepAlive;
      mSide.mByRequest[id] = mId;
      mSide.mEvents.mRequest({ id }, std::move(request->mHttp));
    }
    if (!mClosing && mReader.State() == ReadState::Invalid && mSlots.empty()) {
      Refuse(StatusOf(mReader.Fault()));
    } else if (!mClosing) {
      const bool full =
        mSlots.size() >= kMostPipelined || mStream->UnsentBytes() > kMostUnsent;
      full ? mStream->PauseReading() : mStream->ResumeReading();
    }
  }

  void SendReady()
  {
    while (!mSlots.empty() && mSlots.front().mResponse) {
      const Slot slot = std::move(mSlots.front());
      mSlots.pop_front();
      mSide.mByRequest.erase(slot.mRequest);
      const bool keep = slot.mKeepAlive && !mSide.mDraining;
      mStream->Write(FormatResponse(*slot.mResponse, keep, slot.mIsHead));
      mLastActive = EventLoop::Now();
      if (!keep) {
        // Requests behind this answer count as not read and come again.
        DropSlots();
        Close();
        return;
      }
    }
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
    mStream->Write(FormatResponse({ .mStatus = aStatus }, false, false));
    Close();
  }

  void Close()
  {
    mClosing = true;
    mStream->Close();
    mSide.Drop(mId);
  }

  void Ended()
  {
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
  bool mLastSeen = false; ///< The caller sends no more requests here.
  bool mClosing = false;
  TimePoint mLastActive;
};

CallerSide::CallerSide(EventLoop& aLoop, Events aEvents)
  : mLoop(aLoop)
  , mEvents(std::move(aEvents))
  , mListener(aLoop)
{
}

CallerSide::~CallerSide() = default;

Status
CallerSide::Listen(const std::string& aAddress)
{
  return mListener.Listen(aAddress,
                          { .mUserTimeout = kUserTimeout },
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
CallerSide::StopListening()
{
  mListener.Close();
}

void
CallerSide::CloseOverdue(TimePoint aNow)
{
  const auto all = mConnections;
  for (const auto& [id, connection] : all) {
    connection->CloseOverdue(aNow);
  }
}

} // namespace amaranthgap
