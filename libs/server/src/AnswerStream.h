#pragma once

#include <algorithm>
#include <string>

#include <httplib.h>

namespace amaranthgap {

/** Gives the library a bare request head and collects what it writes. The
 * caller's own head is not passed in: the library would compress the answer or
 * cut ranges out of it on behalf of headers meant for the upstream. Used by one
 * thread. */
class AnswerStream : public httplib::Stream
{
public:
  explicit AnswerStream(std::string aHead)
    : mHead(std::move(aHead))
  {
  }

  bool is_readable() const override { return mRead < mHead.size(); }
  bool is_writable() const override { return true; }
  ssize_t read(char* aData, size_t aSize) override
  {
    const size_t n = std::min(aSize, mHead.size() - mRead);
    std::copy_n(mHead.data() + mRead, n, aData);
    mRead += n;
    return ssize_t(n);
  }
  ssize_t write(const char* aData, size_t aSize) override
  {
    mWritten.append(aData, aSize);
    return ssize_t(aSize);
  }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  // The library refuses sockets above FD_SETSIZE; none is behind this stream.
  socket_t socket() const override { return -1; }

  std::string mWritten;

private:
  std::string mHead;
  size_t mRead = 0;
};

} // namespace amaranthgap
