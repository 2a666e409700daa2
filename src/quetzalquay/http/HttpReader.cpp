#include "http/HttpReader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <optional>
#include <utility>

namespace quetzalquay {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

// Maximum length of a chunk-size line.
constexpr std::size_t kMaxChunkLineBytes = 1024;

// Length of the shortest chunked body: "0" and two CRLFs.
constexpr std::size_t kMinChunkedBodyBytes = 5;

std::string
ToStdString(string_view aView)
{
  return std::string(aView.data(), aView.size());
}

// Collects the output of the Beast parser in an HttpHead and a body.
template<bool IsRequest>
class MessageParser : public http::basic_parser<IsRequest>
{
public:
  MessageParser(const HttpReader::Limits& aLimits, bool aNoBody)
    : mBodyLimit(aLimits.mBody)
  {
    this->header_limit(static_cast<std::uint32_t>(aLimits.mHead));
    this->body_limit(aLimits.mBody);
    this->eager(true);
    this->skip(aNoBody);
  }

  HttpHead mHead;
  std::string mBody;

private:
  void on_request_impl(http::verb,
                       string_view aMethod,
                       string_view aTarget,
                       int aVersion,
                       error_code& aError) override
  {
    mHead.mMethod = ToStdString(aMethod);
    mHead.mTarget = ToStdString(aTarget);
    RequireVersion(aVersion, aError);
  }

  void on_response_impl(int aCode,
                        string_view aReason,
                        int aVersion,
                        error_code& aError) override
  {
    mHead.mStatus = aCode;
    mHead.mReason = ToStdString(aReason);
    RequireVersion(aVersion, aError);
    if (aCode < 100) {
      aError = http::error::bad_status;
    }
  }

  void on_field_impl(http::field,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
    // Trailer fields after a chunked body are not part of the head.
    if (!mHeadComplete) {
      mHead.mFields.push_back({ ToStdString(aName), ToStdString(aValue) });
    }
  }

  void on_header_impl(error_code& aError) override
  {
    mHeadComplete = true;
    const std::string* coding = mHead.Find("Transfer-Encoding");
    const bool isSupportedCoding =
      coding == nullptr || (mHead.Count("Transfer-Encoding") == 1 &&
                            EqualsIgnoreCase(*coding, "chunked"));
    if (!isSupportedCoding || mHead.Count("Content-Length") > 1 ||
        (coding != nullptr && mHead.Find("Content-Length") != nullptr)) {
      aError = http::error::bad_transfer_encoding;
      return;
    }
    mHead.mChunked = coding != nullptr;
    if (const auto length = this->content_length()) {
      mHead.mLength = *length;
    }
    mHead.mKeepAlive = this->keep_alive();
    mHead.mUntilClose = this->need_eof();
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         error_code& aError) override
  {
    if (aLength && *aLength > mBodyLimit) {
      aError = http::error::body_limit;
    }
  }

  std::size_t on_body_impl(string_view aBody, error_code&) override
  {
    mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_chunk_header_impl(std::uint64_t,
                            string_view aExtensions,
                            error_code& aError) override
  {
    if (aExtensions.size() > kMaxChunkLineBytes) {
      aError = http::error::bad_chunk_extension;
    }
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view aBody,
                                 error_code&) override
  {
    mBody.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_finish_impl(error_code&) override {}

  static void RequireVersion(int aVersion, error_code& aError)
  {
    if (aVersion != 11 && aVersion != 10) {
      aError = http::error::bad_version;
    }
  }

  std::uint64_t mBodyLimit;
  bool mHeadComplete = false;
};

// Whether a head contains a folded header line or a line feed without a
// preceding carriage return.
bool
HasAmbiguousLine(std::string_view aHead)
{
  for (auto pos = aHead.find('\n'); pos != std::string_view::npos;
       pos = aHead.find('\n', pos + 1)) {
    const bool bare = pos == 0 || aHead[pos - 1] != '\r';
    const bool folded = pos + 1 < aHead.size() &&
                        (aHead[pos + 1] == ' ' || aHead[pos + 1] == '\t');
    if (bare || folded) {
      return true;
    }
  }
  return false;
}

} // namespace

class HttpReader::Impl
{
public:
  Impl(HttpMessageType aMessageType, Limits aLimits)
    : mMessageType(aMessageType)
    , mLimits(aLimits)
  {
    Next(false);
  }

  void Next(bool aNoBody)
  {
    mRequestParser.reset();
    mResponseParser.reset();
    if (mMessageType == HttpMessageType::Requests) {
      mRequestParser.emplace(mLimits, aNoBody);
    } else {
      mResponseParser.emplace(mLimits, aNoBody);
    }
    mProgress = HttpProgress::Head;
    mError = HttpParseError::None;
    std::string().swap(mHeadBytes);
    mBufferedChunkBytes.clear();
    mChunkParsingStarted = false;
  }

  std::size_t Feed(std::string_view aData)
  {
    std::size_t consumed = 0;
    if (mProgress == HttpProgress::Head) {
      consumed = ConsumeHead(aData);
    }
    if (mProgress == HttpProgress::Body) {
      consumed += mRequestParser
                    ? ParseBody(*mRequestParser, aData.substr(consumed))
                    : ParseBody(*mResponseParser, aData.substr(consumed));
    }
    return consumed;
  }

  void FeedEof()
  {
    if (mProgress == HttpProgress::Body && Head().mUntilClose) {
      mProgress = HttpProgress::Complete;
    } else if (mProgress == HttpProgress::Body || HasStarted()) {
      Fail(HttpParseError::Malformed);
    }
  }

  bool HasStarted() const
  {
    return mProgress != HttpProgress::Head || !mHeadBytes.empty();
  }

  const HttpHead& Head() const
  {
    return mRequestParser ? mRequestParser->mHead : mResponseParser->mHead;
  }

  std::string TakeBody()
  {
    std::string body;
    body.swap(mRequestParser ? mRequestParser->mBody : mResponseParser->mBody);
    return body;
  }

  HttpMessageType mMessageType;
  Limits mLimits;
  HttpProgress mProgress = HttpProgress::Head;
  HttpParseError mError = HttpParseError::None;

private:
  // Returns the number of bytes before the request line. RFC 9112, section 2.2:
  // empty lines there are ignored.
  std::size_t SkipEmptyLines(std::string_view aData)
  {
    std::size_t skipped = 0;
    while (skipped < aData.size() &&
           aData[skipped] == (mInEmptyLine ? '\n' : '\r')) {
      mInEmptyLine = !mInEmptyLine;
      ++skipped;
    }
    if (mInEmptyLine && skipped < aData.size()) {
      // The carriage return belongs to the request line, where it is malformed.
      mInEmptyLine = false;
      mHeadBytes.push_back('\r');
    }
    return skipped;
  }

  // Buffers the head until it is complete, as the Beast parser needs it whole.
  std::size_t ConsumeHead(std::string_view aData)
  {
    std::size_t skipped = 0;
    if (mHeadBytes.empty() && mMessageType == HttpMessageType::Requests) {
      skipped = SkipEmptyLines(aData);
      aData.remove_prefix(skipped);
    }
    const std::size_t before = mHeadBytes.size();
    if (before == 0) {
      // Usually the whole head is there, so that the body isn't copied.
      const auto length = aData.find("\r\n\r\n");
      aData = aData.substr(0, length == aData.npos ? length : length + 4);
    }
    mHeadBytes.append(aData.substr(0, mLimits.mHead + 4));
    const auto from = before < 3 ? 0 : before - 3;
    const auto end = mHeadBytes.find("\r\n\r\n", from);
    if (end == std::string::npos) {
      if (mHeadBytes.size() > mLimits.mHead) {
        Fail(HttpParseError::HeadTooLarge);
      } else if (HasAmbiguousLine(mHeadBytes)) {
        Fail(HttpParseError::Malformed);
      }
      return skipped + aData.size();
    }
    mHeadBytes.resize(end + 4);
    if (mHeadBytes.size() > mLimits.mHead) {
      Fail(HttpParseError::HeadTooLarge);
    } else if (HasAmbiguousLine(mHeadBytes)) {
      Fail(HttpParseError::Malformed);
    } else if (mRequestParser) {
      ParseHead(*mRequestParser);
    } else {
      ParseHead(*mResponseParser);
    }
    std::string().swap(mHeadBytes);
    return skipped + end + 4 - before;
  }

  template<typename Parser>
  void ParseHead(Parser& aParser)
  {
    error_code ec;
    aParser.put(boost::asio::buffer(mHeadBytes), ec);
    mProgress = HttpProgress::Body;
    if (ec == http::error::need_more && !aParser.is_header_done()) {
      // The start line ends within the version, for which the parser waits.
      ec = http::error::bad_version;
    }
    UpdateProgress(aParser, ec);
  }

  template<typename Parser>
  std::size_t ParseBody(Parser& aParser, std::string_view aData)
  {
    if (Head().mChunked && !mChunkParsingStarted) {
      // The parser needs the first chunk-size line together with the bytes
      // after it.
      if (mBufferedChunkBytes.size() + aData.size() < kMinChunkedBodyBytes) {
        mBufferedChunkBytes.append(aData);
        return aData.size();
      }
      mChunkParsingStarted = true;
    }
    std::size_t consumed = 0;
    while (consumed < aData.size() && mProgress == HttpProgress::Body) {
      error_code ec;
      const std::string_view rest = aData.substr(consumed);
      if (mBufferedChunkBytes.empty()) {
        const std::size_t n =
          aParser.put(boost::asio::buffer(rest.data(), rest.size()), ec);
        consumed += n;
        if (ec == http::error::need_more && n < rest.size()) {
          // Buffers an incomplete line until the rest arrives.
          mBufferedChunkBytes.assign(rest.substr(n, 2 * kMaxChunkLineBytes));
          if (rest.size() - n > 2 * kMaxChunkLineBytes) {
            ec = http::error::bad_chunk;
          }
          consumed = aData.size();
        }
      } else {
        consumed += ParseBufferedChunkBytes(aParser, rest, ec);
      }
      UpdateProgress(aParser, ec);
    }
    return consumed;
  }

  template<typename Parser>
  std::size_t ParseBufferedChunkBytes(Parser& aParser,
                                      std::string_view aData,
                                      error_code& aError)
  {
    const std::size_t buffered = mBufferedChunkBytes.size();
    mBufferedChunkBytes.append(aData.substr(0, kMaxChunkLineBytes));
    const std::size_t n =
      aParser.put(boost::asio::buffer(mBufferedChunkBytes), aError);
    if (n <= buffered) {
      if (n == 0 && mBufferedChunkBytes.size() > 2 * kMaxChunkLineBytes) {
        aError = http::error::bad_chunk;
      }
      mBufferedChunkBytes.erase(0, n);
      return std::min(aData.size(), kMaxChunkLineBytes);
    }
    mBufferedChunkBytes.clear();
    return n - buffered;
  }

  template<typename Parser>
  void UpdateProgress(Parser& aParser, const error_code& aError)
  {
    if (aError && aError != http::error::need_more) {
      Fail(aError == http::error::body_limit     ? HttpParseError::BodyTooLarge
           : aError == http::error::header_limit ? HttpParseError::HeadTooLarge
                                                 : HttpParseError::Malformed);
    } else if (aParser.is_done()) {
      mProgress = HttpProgress::Complete;
    }
  }

  void Fail(HttpParseError aError)
  {
    mProgress = HttpProgress::Broken;
    mError = aError;
  }

  std::optional<MessageParser<true>> mRequestParser;
  std::optional<MessageParser<false>> mResponseParser;
  std::string mHeadBytes;
  // Whether the carriage return of an empty line before a request was the last
  // byte.
  bool mInEmptyLine = false;
  bool mChunkParsingStarted = false;
  // Bytes that the parser cannot consume before the rest of their line.
  std::string mBufferedChunkBytes;
};

HttpReader::HttpReader(HttpMessageType aMessageType, Limits aLimits)
  : mImpl(std::make_unique<Impl>(aMessageType, aLimits))
{
}

HttpReader::~HttpReader() = default;

std::size_t
HttpReader::Feed(std::string_view aData)
{
  return mImpl->Feed(aData);
}

void
HttpReader::FeedEof()
{
  mImpl->FeedEof();
}

void
HttpReader::Next(bool aNoBody)
{
  mImpl->Next(aNoBody);
}

void
HttpReader::SetLimits(Limits aLimits)
{
  mImpl->mLimits = aLimits;
}

HttpProgress
HttpReader::Progress() const
{
  return mImpl->mProgress;
}

HttpParseError
HttpReader::Error() const
{
  return mImpl->mError;
}

bool
HttpReader::HasStarted() const
{
  return mImpl->HasStarted();
}

const HttpHead&
HttpReader::Head() const
{
  return mImpl->Head();
}

std::string
HttpReader::TakeBody()
{
  return mImpl->TakeBody();
}

} // namespace quetzalquay
