#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace amaranthgap {

/** TCP server on a loopback port that reads one request and answers with
 * fixed bytes, then closes the connection. */
class ScriptedServer
{
public:
  /** @param aAnswer bytes to send; empty: close without an answer.
   * @param aHold keep the connection open after the answer. */
  explicit ScriptedServer(std::string aAnswer, bool aHold = false);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  [[nodiscard]] std::string Address() const;
  /** @return the request as received; valid after the client has finished. */
  [[nodiscard]] std::string Request();

private:
  void Serve();

  std::string mAnswer;
  bool mHold;
  int mListener = -1;
  uint16_t mPort = 0;
  std::string mRequest;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

} // namespace amaranthgap
