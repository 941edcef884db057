#pragma once

#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

#include "Net.h"

namespace review {

/** File with a line for each event, with its time. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath, std::ios::trunc)
  {
  }

  void Write(const std::string& aLine)
  {
    const auto since =
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStart);
    const std::lock_guard lock(mMutex);
    mFile << since.count() << " ms  " << aLine << '\n' << std::flush;
  }
  /** Writes a line here and to the standard output. */
  void Tell(const std::string& aLine)
  {
    Write(aLine);
    std::puts(aLine.c_str());
  }

private:
  TimePoint mStart = Clock::now();
  std::mutex mMutex;
  std::ofstream mFile;
};

} // namespace review
