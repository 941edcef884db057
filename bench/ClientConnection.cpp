#include "ClientConnection.h"

namespace amaranthgap {

namespace http = boost::beast::http;

void
ClientConnection::Exchange(BenchRequest aRequest,
                           TimePoint aDeadline,
                           Done aDone)
{
  mRequest = std::move(aRequest);
  mResponse = {};
  mDone = std::move(aDone);
  mStream.expires_at(aDeadline);
  if (mIsOpen) {
    return Write();
  }
  mStream.async_connect(
    mEndpoint, [self = shared_from_this()](boost::system::error_code aError) {
      if (aError) {
        return self->Finish(aError);
      }
      self->mIsOpen = true;
      boost::system::error_code ignored;
      self->mStream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                        ignored);
      self->Write();
    });
}

void
ClientConnection::Write()
{
  http::async_write(
    mStream,
    mRequest,
    [self = shared_from_this()](boost::system::error_code aError, size_t) {
      if (aError) {
        return self->Finish(aError);
      }
      self->Read();
    });
}

void
ClientConnection::Read()
{
  http::async_read(
    mStream,
    mBuffer,
    mResponse,
    [self = shared_from_this()](boost::system::error_code aError, size_t) {
      self->Finish(aError);
    });
}

void
ClientConnection::Finish(boost::system::error_code aError)
{
  if (aError || !mResponse.keep_alive()) {
    Close();
  } else {
    mStream.expires_never();
    mLastUse = std::chrono::steady_clock::now();
  }
  const Done done = std::move(mDone);
  mDone = nullptr;
  done(aError, mResponse);
}

void
ClientConnection::Close()
{
  mIsOpen = false;
  mBuffer.clear();
  boost::system::error_code ignored;
  mStream.socket().close(ignored);
}

} // namespace amaranthgap
