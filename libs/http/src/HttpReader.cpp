#include "http/HttpReader.h"

#include <algorithm>
#include <functional>
#include <vector>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/string_body.hpp>

#include "wire/HttpSyntax.h"

namespace amaranthgap {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// Consumed bytes are erased only beyond this size, because each erase moves the
// remaining bytes.
constexpr size_t kCompactBytes = size_t(16) * 1024;
// Most that is parsed at once of a body with small chunks.
constexpr size_t kSliceBytes = size_t(8) * 1024;
// Chunks are small if their headers take more than this part of the body.
constexpr size_t kSmallChunkRatio = 4;
// Most bytes of chunk headers: a fixed part, and a part that grows with the
// body. A chunk of one byte has a header of five; extensions can be longer.
constexpr size_t kChunkHeaderBytes = size_t(64) * 1024;
constexpr size_t kChunkHeaderRatio = 16;

constexpr size_t kLineEndBytes = 2;

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
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  void Feed(std::string_view aData)
  {
    if (mFault != ReadFault::None) {
      return;
    }
    if (mConsumedBytes > kCompactBytes) {
      mBuffer.erase(0, mConsumedBytes);
      mConsumedBytes = 0;
    }
    mBuffer.append(aData);
  }

  // Parses the buffered data, or a slice of it. Returns whether the current
  // message is complete.
  bool Parse()
  {
    mNeedsData = false;
    // Responses have no reader that comes back for the rest of a slice.
    size_t left = IsRequest && HasSmallChunks() ? kSliceBytes : mBuffer.size();
    while (mFault == ReadFault::None && !mParser->is_done() && left > 0 &&
           mConsumedBytes < mBuffer.size()) {
      const size_t size = std::min(left, mBuffer.size() - mConsumedBytes);
      const char* const begin = mBuffer.data() + mConsumedBytes;
      const bool isHead = !mParser->is_header_done();
      mTrailers = nullptr;
      beast::error_code ec;
      const size_t used =
        mParser->put(boost::asio::const_buffer(begin, size), ec);
      CheckLines(isHead ? begin : nullptr, begin + used);
      CheckLines(mTrailers, begin + used);
      mConsumedBytes += used;
      mMessageBytes += used;
      left -= used;
      if (ec == http::error::need_more) {
        ec = {};
        if (used == 0) {
          // The rest of a slice may end within a chunk header.
          mNeedsData = size == mBuffer.size() - mConsumedBytes;
          left = mNeedsData ? 0 : mBuffer.size();
        }
      }
      // The head may be at fault for what follows it.
      CheckHead();
      if (ec && mFault == ReadFault::None) {
        mFault = FaultOf(ec);
      }
      CheckChunkHeaders();
    }
    if (mConsumedBytes == mBuffer.size()) {
      mBuffer.clear();
      mConsumedBytes = 0;
    }
    return mFault == ReadFault::None && mParser->is_done();
  }

  void ResetParser()
  {
    mMessageBytes = 0;
    mHeadBytes = 0;
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(mLimits.mHeaderBytes);
    mParser->body_limit(mLimits.mBodyBytes);
    if constexpr (!IsRequest) {
      mParser->on_chunk_header(mOnChunkHeader);
    }
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
  [[nodiscard]] size_t UnparsedBytes() const
  {
    return mBuffer.size() - mConsumedBytes;
  }
  [[nodiscard]] bool HasUnparsedData() const
  {
    return mFault == ReadFault::None && !mNeedsData && UnparsedBytes() > 0;
  }
  [[nodiscard]] size_t BufferedBytes() const
  {
    // A body of announced length is reserved as a whole, and takes memory as it
    // is written.
    const std::string& body = mParser->get().body();
    return mBuffer.capacity() + mHeadBytes +
           std::min(body.capacity(), 2 * body.size());
  }
  void Discard()
  {
    mBuffer = std::string();
    mConsumedBytes = 0;
    ResetParser();
    Fail();
  }
  Parser& CurrentParser() { return *mParser; }
  void Fail()
  {
    if (mFault == ReadFault::None) {
      mFault = ReadFault::Malformed;
    }
  }

private:
  // Refuses folded lines of responses, which the parser joins: a field, such as
  // a length, would become a part of the value before it. The parser consumes
  // whole lines of a head, and trailers at once or not at all.
  void CheckLines(const char* aBegin, const char* aEnd)
  {
    if (!IsRequest && aBegin && aBegin < aEnd &&
        HasFoldedLine({ aBegin, size_t(aEnd - aBegin) })) {
      Fail();
    }
  }

  // Refuses what may be framed differently by the next reader of the message,
  // who could then take a part of its body for another message (RFC 9112, 6.1).
  void CheckHead()
  {
    if (mHeadBytes > 0 || !mParser->is_header_done()) {
      return;
    }
    mHeadBytes = std::max<size_t>(mMessageBytes, 1);
    const auto& head = mParser->get();
    if constexpr (!IsRequest) {
      if (!IsValidStatus(int(head.result_int()))) {
        mFault = ReadFault::Malformed;
        return;
      }
    }
    if (head.count(http::field::transfer_encoding) == 0) {
      return;
    }
    std::vector<beast::string_view> codings;
    const auto [begin, end] = head.equal_range(http::field::transfer_encoding);
    for (auto it = begin; it != end; ++it) {
      for (const auto& coding : http::token_list{ it->value() }) {
        codings.push_back(coding);
      }
    }
    const auto isChunked = [](beast::string_view aCoding) {
      return beast::iequals(aCoding, "chunked");
    };
    if (codings.empty() || !isChunked(codings.back()) || head.version() < 11 ||
        std::count_if(codings.begin(), codings.end(), isChunked) > 1 ||
        head.count(http::field::content_length) > 0) {
      mFault = ReadFault::Malformed;
    } else if (codings.size() > 1) {
      mFault = ReadFault::UnsupportedCoding;
    }
  }

  // Limits what precedes and follows the chunks of a body. Trailers and chunk
  // headers are buffered until they are complete.
  void CheckChunkHeaders()
  {
    if (mFault != ReadFault::None || !mParser->is_header_done() ||
        !mParser->chunked()) {
      return;
    }
    const size_t headers = ChunkHeaderBytes();
    const size_t body = mParser->get().body().size();
    if (mNeedsData && mBuffer.size() - mConsumedBytes > mLimits.mHeaderBytes) {
      mFault = ReadFault::HeaderTooLarge;
    } else if (headers > kChunkHeaderBytes + kChunkHeaderRatio * body) {
      mFault = ReadFault::Malformed;
    }
  }

  [[nodiscard]] size_t ChunkHeaderBytes() const
  {
    return mMessageBytes -
           std::min(mMessageBytes, mHeadBytes + mParser->get().body().size());
  }

  [[nodiscard]] bool HasSmallChunks() const
  {
    return mHeadBytes > 0 && mParser->chunked() &&
           kSmallChunkRatio * ChunkHeaderBytes() >
             mParser->get().body().size() + kSliceBytes;
  }

  ReadLimits mLimits;
  std::optional<Parser> mParser;
  std::string mBuffer;
  size_t mConsumedBytes = 0;
  size_t mMessageBytes = 0; ///< Consumed of the current message.
  size_t mHeadBytes = 0;    ///< Of its head, once that is complete.
  bool mNeedsData = false;  ///< The buffered data has been parsed as far as
                            ///< possible.
  ReadFault mFault = ReadFault::None;
  const char* mTrailers = nullptr; ///< In the buffer, if just parsed.
  /** Called with the header of each chunk; trailers follow the last one, which
   * has no size. */
  std::function<void(uint64_t, beast::string_view, beast::error_code&)>
    mOnChunkHeader = [this](uint64_t aSize,
                            beast::string_view aExtensions,
                            beast::error_code&) {
      if (aSize == 0) {
        mTrailers = aExtensions.data() + aExtensions.size() + kLineEndBytes;
      }
    };
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

bool
RequestReader::HasUnparsedData() const
{
  return mParts->HasUnparsedData();
}

size_t
RequestReader::UnparsedBytes() const
{
  return mParts->UnparsedBytes();
}

void
RequestReader::Discard()
{
  mParts->Discard();
}

size_t
RequestReader::BufferedBytes() const
{
  return mParts->BufferedBytes();
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
