#include "Relay.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthgap {

namespace {

constexpr int kBacklog = 1024;
constexpr size_t kBuffer = size_t(64) * 1024;

bool
ParseAddress(const std::string& aText, sockaddr_in& aOut)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aOut.sin_family = AF_INET;
  aOut.sin_port = htons(uint16_t(std::atoi(aText.c_str() + colon + 1)));
  return inet_pton(AF_INET, aText.substr(0, colon).c_str(), &aOut.sin_addr) ==
         1;
}

const sockaddr*
Generic(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress);
}

int
Bind(const sockaddr_in& aAddress, int aType)
{
  const int out = ::socket(AF_INET, aType | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  if (aType == SOCK_STREAM) {
    ::setsockopt(out, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  if (::bind(out, Generic(aAddress), sizeof(aAddress)) != 0) {
    ::close(out);
    return -1;
  }
  return out;
}

// Connecting over loopback ends at once, so it may block.
int
Connect(const sockaddr_in& aTarget)
{
  const int out = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (::connect(out, Generic(aTarget), sizeof(aTarget)) != 0) {
    ::close(out);
    return -1;
  }
  ::fcntl(out, F_SETFL, O_NONBLOCK);
  return out;
}

void
CloseAll(const std::array<int, 2>& aSockets)
{
  for (const int socket : aSockets) {
    if (socket >= 0) {
      ::close(socket);
    }
  }
}

} // namespace

Relay::Route
Relay::Route::Parse(const std::string& aText)
{
  const size_t equals = aText.find('=');
  const size_t at = aText.find('@');
  Route out{ .mListen = aText.substr(0, equals) };
  if (equals != std::string::npos) {
    out.mTarget = aText.substr(equals + 1, at - equals - 1);
  }
  if (at != std::string::npos) {
    out.mFrom = aText.substr(at + 1);
  }
  sockaddr_in parsed{};
  if (!ParseAddress(out.mListen, parsed) ||
      !ParseAddress(out.mTarget, parsed)) {
    throw std::invalid_argument(fmt::format("bad route {}", aText));
  }
  return out;
}

Relay::Relay(Options aOptions)
  : mOptions(std::move(aOptions))
  , mWake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

Relay::~Relay()
{
  Stop();
  for (const auto& connection : mConnections) {
    CloseAll(connection.mSockets);
  }
  for (const Port& port : mPorts) {
    CloseAll({ port.mStream, port.mDatagram });
  }
  ::close(mWake);
}

bool
Relay::Start()
{
  for (const Route& route : mOptions.mRoutes) {
    if (!Open(route)) {
      return false;
    }
  }
  ServeControl();
  if (!mControl.Start(mOptions.mControl)) {
    return false;
  }
  mThread = std::thread([this] { Run(); });
  return true;
}

void
Relay::Stop()
{
  if (mThread.joinable()) {
    mControl.Stop();
    mStopping = true;
    ::eventfd_write(mWake, 1);
    mThread.join();
  }
}

bool
Relay::Open(const Route& aRoute)
{
  Port port{ .mFrom = aRoute.mFrom };
  sockaddr_in listen{};
  if (!ParseAddress(aRoute.mListen, listen) ||
      !ParseAddress(aRoute.mTarget, port.mTarget)) {
    return false;
  }
  port.mTo = GroupOf(port.mTarget);
  port.mStream = Bind(listen, SOCK_STREAM);
  port.mDatagram = Bind(listen, SOCK_DGRAM);
  mPorts.push_back(port);
  return port.mStream >= 0 && port.mDatagram >= 0 &&
         ::listen(port.mStream, kBacklog) == 0;
}

// -- Control ----------------------------------------------------------------

void
Relay::ServeControl()
{
  using httplib::Request;
  using httplib::Response;
  mControl.Post("/cut", [this](const Request& aRequest, Response& aResponse) {
    SetCut(aRequest, aResponse, true);
  });
  mControl.Post("/reconnect",
                [this](const Request& aRequest, Response& aResponse) {
                  SetCut(aRequest, aResponse, false);
                });
  mControl.Get("/counts", [this](const Request&, Response& aResponse) {
    const std::scoped_lock lock(mMutex);
    aResponse.set_content(nlohmann::json(mCounts).dump(), "application/json");
  });
}

void
Relay::SetCut(const httplib::Request& aRequest,
              httplib::Response& aResponse,
              bool aIsCut)
{
  const auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
  const auto group =
    json.is_object() ? json.value("group", std::string()) : std::string();
  bool isKnown = false;
  for (const auto& [prefix, name] : mOptions.mGroupOfPrefix) {
    isKnown = isKnown || name == group;
  }
  if (!isKnown) {
    aResponse.status = 400;
    return;
  }
  const std::scoped_lock lock(mMutex);
  if (aIsCut) {
    mCutOff.insert(group);
  } else {
    mCutOff.erase(group);
  }
  ::eventfd_write(mWake, 1);
}

bool
Relay::IsCut(const std::string& aFrom, const std::string& aTo)
{
  const std::scoped_lock lock(mMutex);
  return aFrom != aTo && (mCutOff.contains(aFrom) || mCutOff.contains(aTo));
}

std::string
Relay::GroupOf(const sockaddr_in& aAddress) const
{
  std::array<char, INET_ADDRSTRLEN> buf{};
  inet_ntop(AF_INET, &aAddress.sin_addr, buf.data(), buf.size());
  const std::string text = buf.data();
  for (const auto& [prefix, group] : mOptions.mGroupOfPrefix) {
    if (text.starts_with(prefix)) {
      return group;
    }
  }
  return "";
}

// -- Forwarding -------------------------------------------------------------

void
Relay::Run()
{
  std::vector<pollfd> events;
  while (!mStopping) {
    events.clear();
    events.push_back({ .fd = mWake, .events = POLLIN });
    for (const Port& port : mPorts) {
      events.push_back({ .fd = port.mStream, .events = POLLIN });
      events.push_back({ .fd = port.mDatagram, .events = POLLIN });
    }
    for (Connection& connection : mConnections) {
      // poll reports hang-ups unasked, so a cut connection is left out.
      connection.mIsStalled =
        connection.mIsHeld || IsCut(connection.mFrom, connection.mPort->mTo);
      for (size_t side = 0; side < 2; ++side) {
        const Flow& in = connection.mFlows[side];
        const Flow& out = connection.mFlows[1 - side];
        int wanted = !in.mHasEnded && in.mPending.empty() ? POLLIN : 0;
        wanted |= out.mPending.empty() ? 0 : POLLOUT;
        connection.mEvents[side] = events.size();
        events.push_back({
          .fd = connection.mIsStalled || wanted == 0
                  ? -1
                  : connection.mSockets[side],
          .events = short(wanted),
        });
      }
    }
    if (::poll(events.data(), events.size(), -1) > 0) {
      Forward(events);
    }
  }
}

void
Relay::Forward(std::vector<pollfd>& aEvents)
{
  eventfd_t count = 0;
  ::eventfd_read(mWake, &count);
  std::erase_if(mConnections, [&](Connection& aConnection) {
    const bool isOver =
      aConnection.mIsHeld
        ? !IsCut(aConnection.mFrom, aConnection.mPort->mTo)
        : !aConnection.mIsStalled && !Pass(aConnection, aEvents);
    if (isOver) {
      CloseAll(aConnection.mSockets);
    }
    return isOver;
  });
  for (size_t n = 0; n < mPorts.size(); ++n) {
    if (aEvents[1 + 2 * n].revents != 0) {
      Accept(mPorts[n]);
    }
    if (aEvents[2 + 2 * n].revents != 0) {
      PassDatagrams(mPorts[n]);
    }
  }
}

void
Relay::Accept(const Port& aPort)
{
  sockaddr_in client{};
  socklen_t length = sizeof(client);
  const int socket = ::accept4(aPort.mStream,
                               reinterpret_cast<sockaddr*>(&client),
                               &length,
                               SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (socket < 0) {
    return;
  }
  Connection connection{ .mPort = &aPort };
  connection.mFrom = aPort.mFrom.empty() ? GroupOf(client) : aPort.mFrom;
  connection.mIsHeld = IsCut(connection.mFrom, aPort.mTo);
  connection.mSockets[0] = socket;
  {
    const std::scoped_lock lock(mMutex);
    ++mCounts[connection.mIsHeld ? "connections-held" : "connections"];
  }
  if (!connection.mIsHeld) {
    connection.mSockets[1] = Connect(aPort.mTarget);
    if (connection.mSockets[1] < 0) {
      ::close(socket);
      return;
    }
  }
  mConnections.push_back(std::move(connection));
}

void
Relay::PassDatagrams(const Port& aPort)
{
  std::array<char, kBuffer> buf{};
  sockaddr_in from{};
  socklen_t length = sizeof(from);
  ssize_t n = 0;
  while ((n = ::recvfrom(aPort.mDatagram,
                         buf.data(),
                         buf.size(),
                         0,
                         reinterpret_cast<sockaddr*>(&from),
                         &length)) >= 0) {
    const bool isCut =
      IsCut(aPort.mFrom.empty() ? GroupOf(from) : aPort.mFrom, aPort.mTo);
    if (!isCut) {
      ::sendto(aPort.mDatagram,
               buf.data(),
               size_t(n),
               0,
               Generic(aPort.mTarget),
               sizeof(aPort.mTarget));
    }
    const std::scoped_lock lock(mMutex);
    ++mCounts[isCut ? "datagrams-dropped" : "datagrams"];
  }
}

bool
Relay::Pass(Connection& aConnection, const std::vector<pollfd>& aEvents)
{
  std::array<char, kBuffer> buf{};
  for (size_t side = 0; side < 2; ++side) {
    Flow& flow = aConnection.mFlows[side];
    const int from = aConnection.mSockets[side];
    const int to = aConnection.mSockets[1 - side];
    if (aEvents[aConnection.mEvents[side]].revents != 0 && !flow.mHasEnded &&
        flow.mPending.empty()) {
      const ssize_t n = ::recv(from, buf.data(), buf.size(), 0);
      if (n > 0) {
        flow.mPending.assign(buf.data(), size_t(n));
      } else if (n == 0) {
        flow.mHasEnded = true;
        ::shutdown(to, SHUT_WR);
      } else if (errno != EAGAIN) {
        return false;
      }
    }
    if (!flow.mPending.empty()) {
      const ssize_t n =
        ::send(to, flow.mPending.data(), flow.mPending.size(), MSG_NOSIGNAL);
      if (n < 0 && errno != EAGAIN) {
        return false;
      }
      flow.mPending.erase(0, size_t(std::max<ssize_t>(0, n)));
    }
  }
  return !aConnection.mFlows[0].mHasEnded || !aConnection.mFlows[1].mHasEnded;
}

} // namespace amaranthgap
