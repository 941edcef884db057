#pragma once

#include <string>
#include <thread>

#include <httplib.h>

namespace amaranthgap {

/** HTTP server with one blocked thread for each open connection. The stock
 * server polls idle connections every few milliseconds, which costs more
 * processor time than the stand-ins' work. */
class BlockingServer : public httplib::Server
{
public:
  BlockingServer();
  ~BlockingServer() override;

  /** Binds and serves on a thread of its own.
   * @return whether the address could be bound. */
  bool Start(const std::string& aAddress);
  /** Closes the listener and idle connections; waits for running handlers. */
  void Stop();

  /** Inside a handler: the connection of the request. */
  static int CurrentSocket();
  /** Inside a handler: close the connection without an answer. */
  static void AbortConnection();

private:
  bool process_and_close_socket(socket_t aSocket) override;

  int mStopEvent = -1;
  std::thread mThread;
};

/** @return whether the peer of a connection has closed it within a time. */
bool
WaitForClose(int aSocket, std::chrono::nanoseconds aWait);

} // namespace amaranthgap
