#pragma once

#include <array>
#include <string>

#include <httplib.h>

namespace amaranthgap {

/** Connection whose reads are buffered and whose writes are held back until
 * Flush, so that an answer takes one system call. */
class BufferedStream : public httplib::Stream
{
public:
  explicit BufferedStream(int aSocket)
    : mSocket(aSocket)
  {
  }

  /** @return whether bytes were received that no request has consumed. */
  [[nodiscard]] bool HasInput() const { return mAt < mEnd; }
  /** Sends what was written. @return whether everything was sent. */
  bool Flush();

  [[nodiscard]] bool is_readable() const override;
  [[nodiscard]] bool is_writable() const override { return true; }
  ssize_t read(char* aData, size_t aSize) override;
  ssize_t write(const char* aData, size_t aSize) override;
  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override;
  void get_local_ip_and_port(std::string& aIp, int& aPort) const override;
  [[nodiscard]] socket_t socket() const override { return mSocket; }

private:
  int mSocket;
  std::array<char, 8192> mInput{};
  size_t mAt = 0;
  size_t mEnd = 0;
  std::string mOutput;
};

} // namespace amaranthgap
