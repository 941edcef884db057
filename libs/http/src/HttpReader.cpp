#include "http/HttpReader.h"

#include <algorithm>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace amaranthgap {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Consumed bytes are erased only beyond this size, because each erase moves the
// remaining bytes.
constexpr size_t kCompactBytes = size_t(16) * 1024;

template<class Fields>
HttpHeaders
CopyHeaders(const Fields& aFields)
{
  HttpHeaders out;
  for (const auto& it : aFields) {
    out.emplace_back(std::string(it.name_string()), std::string(it.value()));
  }
  return out;
}

ReadFault
FaultOf(const beast::error_code& aEc)
{
  if (aEc == http::error::header_limit) {
    return ReadFault::HeaderTooLarge;
  }
  return aEc == http::error::body_limit ? ReadFault::BodyTooLarge
                                        : ReadFault::Malformed;
}

// Parses consecutive messages from a buffer to which received data is appended.
template<bool IsRequest>
class MessageReader
{
public:
  using Parser = http::parser<IsRequest, http::string_body>;

  explicit MessageReader(const ReadLimits& aLimits)
    : mLimits(aLimits)
  {
    ResetParser();
  }

  void Feed(std::string_view aData)
  {
    if (mConsumedBytes > kCompactBytes) {
      mBuffer.erase(0, mConsumedBytes);
      mConsumedBytes = 0;
    }
    mBuffer.append(aData);
  }

  // Parses the buffered data. Returns whether the current message is complete.
  bool Parse()
  {
    while (mFault == ReadFault::None && !mParser->is_done() &&
           mConsumedBytes < mBuffer.size()) {
      beast::error_code ec;
      const size_t used =
        mParser->put(boost::asio::const_buffer(mBuffer.data() + mConsumedBytes,
                                               mBuffer.size() - mConsumedBytes),
                     ec);
      mConsumedBytes += used;
      if (ec == http::error::need_more) {
        ec = {};
        if (used == 0) {
          break;
        }
      }
      if (ec) {
        mFault = FaultOf(ec);
      }
    }
    if (mConsumedBytes == mBuffer.size()) {
      mBuffer.clear();
      mConsumedBytes = 0;
    }
    return mFault == ReadFault::None && mParser->is_done();
  }

  void ResetParser()
  {
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(mLimits.mHeaderBytes);
    mParser->body_limit(mLimits.mBodyBytes);
  }

  [[nodiscard]] ReadState State() const
  {
    if (mFault != ReadFault::None) {
      return ReadState::Invalid;
    }
    return mBuffer.size() > mConsumedBytes || mParser->got_some()
             ? ReadState::Partial
             : ReadState::Idle;
  }

  [[nodiscard]] ReadFault Fault() const { return mFault; }
  [[nodiscard]] size_t BufferedBytes() const
  {
    // A body of announced length is reserved as a whole, and takes memory as it
    // is written.
    const std::string& body = mParser->get().body();
    return mBuffer.capacity() + std::min(body.capacity(), 2 * body.size());
  }
  void Discard()
  {
    mBuffer = std::string();
    mConsumedBytes = 0;
    ResetParser();
    Fail();
  }
  Parser& CurrentParser() { return *mParser; }
  void Fail() { mFault = ReadFault::Malformed; }

private:
  ReadLimits mLimits;
  std::optional<Parser> mParser;
  std::string mBuffer;
  size_t mConsumedBytes = 0;
  ReadFault mFault = ReadFault::None;
};

} // namespace

struct RequestReader::Parts : MessageReader<true>
{
  using MessageReader::MessageReader;
};

RequestReader::RequestReader(const ReadLimits& aLimits)
  : mParts(std::make_unique<Parts>(aLimits))
{
}

RequestReader::~RequestReader() = default;

void
RequestReader::Feed(std::string_view aData)
{
  mParts->Feed(aData);
}

std::optional<ReceivedRequest>
RequestReader::Next()
{
  if (!mParts->Parse()) {
    return std::nullopt;
  }
  auto& message = mParts->CurrentParser().get();
  ReceivedRequest out;
  out.mKeepAlive = message.keep_alive();
  out.mHttp.mMethod = std::string(message.method_string());
  out.mHttp.mPath = std::string(message.target());
  out.mHttp.mHeaders = CopyHeaders(message);
  out.mHttp.mBody = std::move(message.body());
  mParts->ResetParser();
  return out;
}

ReadState
RequestReader::State() const
{
  return mParts->State();
}

ReadFault
RequestReader::Fault() const
{
  return mParts->Fault();
}

struct ResponseReader::Parts : MessageReader<false>
{
  using MessageReader::MessageReader;

  int mInterimCount = 0; ///< Since the latest final response.

  ReceivedResponse TakeResponse()
  {
    auto& message = CurrentParser().get();
    ReceivedResponse out;
    out.mKeepAlive = message.keep_alive() && !CurrentParser().need_eof();
    out.mHttp.mStatus = int(message.result_int());
    out.mHttp.mHeaders = CopyHeaders(message);
    out.mHttp.mBody = std::move(message.body());
    ResetParser();
    return out;
  }
};

ResponseReader::ResponseReader(const ReadLimits& aLimits)
  : mParts(std::make_unique<Parts>(aLimits))
{
}

ResponseReader::~ResponseReader() = default;

void
ResponseReader::Feed(std::string_view aData)
{
  mParts->Feed(aData);
}

std::optional<ReceivedResponse>
ResponseReader::Next(bool aIsHeadRequest)
{
  constexpr int kFirstFinalStatus = 200;
  constexpr int kMaxInterimResponseCount = 16;
  mParts->CurrentParser().skip(aIsHeadRequest);
  while (mParts->Parse()) {
    auto response = mParts->TakeResponse();
    if (response.mHttp.mStatus >= kFirstFinalStatus) {
      mParts->mInterimCount = 0;
      return response;
    }
    if (++mParts->mInterimCount > kMaxInterimResponseCount) {
      mParts->Fail();
      return std::nullopt;
    }
    mParts->CurrentParser().skip(aIsHeadRequest); // Skips an interim response.
  }
  return std::nullopt;
}

std::optional<ReceivedResponse>
ResponseReader::Finish()
{
  auto& parser = mParts->CurrentParser();
  if (!parser.is_header_done() || !parser.need_eof() ||
      mParts->State() == ReadState::Invalid) {
    return std::nullopt;
  }
  beast::error_code ec;
  parser.put_eof(ec);
  if (ec || !parser.is_done()) {
    mParts->Fail();
    return std::nullopt;
  }
  return mParts->TakeResponse();
}

ReadState
ResponseReader::State() const
{
  return mParts->State();
}

void
ResponseReader::Discard()
{
  mParts->Discard();
}

size_t
ResponseReader::BufferedBytes() const
{
  return mParts->BufferedBytes();
}

} // namespace amaranthgap
