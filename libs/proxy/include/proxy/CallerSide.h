#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/Error.h"
#include "base/Logger.h"
#include "base/MemoryAccount.h"
#include "forwarding/RouteTable.h"
#include "http/HttpReader.h"
#include "net/EventLoop.h"
#include "net/TcpStream.h"

namespace amaranthgap {

/** Request on a caller's connection that waits for its answer. */
struct RequestHandle
{
  uint64_t mValue = 0;

  auto operator<=>(const RequestHandle&) const = default;
};

/** HTTP/1.1 server for callers and for the upstream's own calls. Hands over
 * complete requests and sends answers in the order of the requests of each
 * connection.
 *
 * Callers may be hostile: when the process holds more bytes than its account
 * allows, or has too many connections, it sheds those connections that hold
 * most and move least. What has not been handed over is refused as not run. Not
 * safe for use by several threads. */
class CallerSide
{
public:
  struct Options
  {
    std::shared_ptr<MemoryAccount> mAccount; ///< Of the whole process.
    size_t mMaxConnections = 3000;
  };

  struct Events
  {
    std::function<void(RequestHandle, HttpRequest)> mRequest;
    /** The caller closed the connection; no answer is needed any more. */
    std::function<void(RequestHandle)> mGone;
  };

  /** Connections that were closed since the start of the process because they
   * took more than there was. */
  struct ShedCounts
  {
    uint64_t mForMemory = 0;
    uint64_t mForDescriptors = 0;
  };

  CallerSide(EventLoop& aLoop,
             Logger& aLogger,
             Options aOptions,
             Events aEvents);
  ~CallerSide();

  Status Listen(const std::string& aAddress);
  /** Takes effect for connections that open afterwards. */
  void SetLimits(const CallerLimits& aLimits);
  void Answer(RequestHandle aRequest, HttpResponse aResponse);
  /** Sheds connections that have not moved for a while until there is room for
   * some bytes more. */
  void MakeRoom(TimePoint aNow, size_t aBytes);
  /** Closes idle connections, and all others after the answers to the requests
   * that were handed over. */
  void StartDraining();
  /** Accepts no more connections, and closes all after the answers to the
   * requests that were handed over. What is still being received is refused.
   * A connection counts until its caller has closed it or is given up. */
  void Finish();
  /** Closes connections that are idle or too slow to send a request, and sheds
   * others if the process holds too much. */
  void CloseOverdue(TimePoint aNow);

  [[nodiscard]] size_t Connections() const { return mConnections.size(); }
  [[nodiscard]] const ShedCounts& Shed() const { return mShed; }
  [[nodiscard]] uint16_t Port() const { return mListener.Port(); }

private:
  class Connection;
  friend class Connection;

  void Accepted(std::unique_ptr<TcpStream> aStream);
  void Drop(uint64_t aConnection);
  /** Sheds connections until the process holds no more than so many bytes.
   * @param aQuiet how long a connection must not have moved. */
  void ShedTo(TimePoint aNow, size_t aBytes, Duration aQuiet);
  /** Sheds connections if the process holds more than it may. */
  void Relieve(TimePoint aNow);
  /** Closes idle connections, or those that have moved least, so that others
   * find a descriptor. */
  void ShedForDescriptors(TimePoint aNow);
  /** Lets a connection parse what it has received in a later turn of the loop,
   * so that it does not take the time of others. */
  void ParseLater(uint64_t aConnection);
  void ParseSlices();

  EventLoop& mLoop;
  Logger& mLogger;
  Options mOptions;
  Events mEvents;
  TcpListener mListener;
  CallerLimits mLimits;
  bool mDraining = false;
  uint64_t mLastId = 0;
  ShedCounts mShed;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> mConnections;
  std::unordered_map<uint64_t, uint64_t> mByRequest; ///< Connection.
  std::deque<uint64_t> mToParse;                     ///< Connections.
  Timer mParseTimer;
};

} // namespace amaranthgap
