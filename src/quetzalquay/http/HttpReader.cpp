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

// Longest line that announces a chunk, in bytes.
constexpr std::size_t kMaxChunkLine = 1024;

// Bytes of the shortest body in chunks, "0" and two line ends.
constexpr std::size_t kShortestChunks = 5;

std::string
Text(string_view aView)
{
  return std::string(aView.data(), aView.size());
}

// Collects what the library's parser reports into an HttpHead and a body.
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
    mHead.mMethod = Text(aMethod);
    mHead.mTarget = Text(aTarget);
    RequireVersion(aVersion, aError);
  }

  void on_response_impl(int aCode,
                        string_view aReason,
                        int aVersion,
                        error_code& aError) override
  {
    mHead.mStatus = aCode;
    mHead.mReason = Text(aReason);
    RequireVersion(aVersion, aError);
  }

  void on_field_impl(http::field,
                     string_view aName,
                     string_view aValue,
                     error_code&) override
  {
    // Fields behind a chunked body are not part of the head.
    if (!mHeadDone) {
      mHead.mFields.push_back({ Text(aName), Text(aValue) });
    }
  }

  void on_header_impl(error_code& aError) override
  {
    mHeadDone = true;
    const std::string* coding = mHead.Find("Transfer-Encoding");
    const bool plainCoding =
      coding == nullptr || (mHead.Count("Transfer-Encoding") == 1 &&
                            SameFieldName(*coding, "chunked"));
    if (!plainCoding || mHead.Count("Content-Length") > 1 ||
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
    if (aExtensions.size() > kMaxChunkLine) {
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
  bool mHeadDone = false;
};

// Whether a head holds a line that continues the one before it, or a line feed
// without its carriage return.
bool
HasAmbiguousLine(std::string_view aHead)
{
  for (auto at = aHead.find('\n'); at != std::string_view::npos;
       at = aHead.find('\n', at + 1)) {
    const bool bare = at == 0 || aHead[at - 1] != '\r';
    const bool folded =
      at + 1 < aHead.size() && (aHead[at + 1] == ' ' || aHead[at + 1] == '\t');
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
  Impl(HttpSide aSide, Limits aLimits)
    : mSide(aSide)
    , mLimits(aLimits)
  {
    Next(false);
  }

  void Next(bool aNoBody)
  {
    mRequest.reset();
    mAnswer.reset();
    if (mSide == HttpSide::Requests) {
      mRequest.emplace(mLimits, aNoBody);
    } else {
      mAnswer.emplace(mLimits, aNoBody);
    }
    mProgress = HttpProgress::Head;
    mFault = HttpFault::None;
    mHeadBytes.clear();
    mChunkLine.clear();
    mChunksStarted = false;
  }

  std::size_t Take(std::string_view aData)
  {
    std::size_t taken = 0;
    if (mProgress == HttpProgress::Head) {
      taken = TakeHead(aData);
    }
    if (mProgress == HttpProgress::Body) {
      taken += mRequest ? PutBody(*mRequest, aData.substr(taken))
                        : PutBody(*mAnswer, aData.substr(taken));
    }
    return taken;
  }

  void TakeEnd()
  {
    if (mProgress == HttpProgress::Body && Head().mUntilClose) {
      mProgress = HttpProgress::Complete;
    } else if (mProgress == HttpProgress::Body || Started()) {
      Break(HttpFault::Malformed);
    }
  }

  bool Started() const
  {
    return mProgress != HttpProgress::Head || !mHeadBytes.empty();
  }

  const HttpHead& Head() const
  {
    return mRequest ? mRequest->mHead : mAnswer->mHead;
  }

  std::string TakeBody()
  {
    std::string body;
    body.swap(mRequest ? mRequest->mBody : mAnswer->mBody);
    return body;
  }

  HttpSide mSide;
  Limits mLimits;
  HttpProgress mProgress = HttpProgress::Head;
  HttpFault mFault = HttpFault::None;

private:
  // The library parses a head only when it has the whole of it.
  std::size_t TakeHead(std::string_view aData)
  {
    std::size_t skipped = 0;
    if (mHeadBytes.empty() && mSide == HttpSide::Requests) {
      // An empty line before a request belongs to none.
      while (aData.substr(skipped, 2) == "\r\n") {
        skipped += 2;
      }
      aData.remove_prefix(skipped);
    }
    const std::size_t before = mHeadBytes.size();
    mHeadBytes.append(aData.substr(0, mLimits.mHead + 4));
    const auto from = before < 3 ? 0 : before - 3;
    const auto end = mHeadBytes.find("\r\n\r\n", from);
    if (end == std::string::npos) {
      if (mHeadBytes.size() > mLimits.mHead) {
        Break(HttpFault::HeadTooLarge);
      } else if (HasAmbiguousLine(mHeadBytes)) {
        Break(HttpFault::Malformed);
      }
      return skipped + aData.size();
    }
    mHeadBytes.resize(end + 4);
    if (mHeadBytes.size() > mLimits.mHead) {
      Break(HttpFault::HeadTooLarge);
    } else if (HasAmbiguousLine(mHeadBytes)) {
      Break(HttpFault::Malformed);
    } else if (mRequest) {
      PutHead(*mRequest);
    } else {
      PutHead(*mAnswer);
    }
    return skipped + mHeadBytes.size() - before;
  }

  template<typename Parser>
  void PutHead(Parser& aParser)
  {
    error_code ec;
    aParser.put(boost::asio::buffer(mHeadBytes), ec);
    mProgress = HttpProgress::Body;
    Settle(aParser, ec);
  }

  template<typename Parser>
  std::size_t PutBody(Parser& aParser, std::string_view aData)
  {
    if (Head().mChunked && !mChunksStarted) {
      // The library wants the first line together with what follows it.
      if (mChunkLine.size() + aData.size() < kShortestChunks) {
        mChunkLine.append(aData);
        return aData.size();
      }
      mChunksStarted = true;
    }
    std::size_t taken = 0;
    while (taken < aData.size() && mProgress == HttpProgress::Body) {
      error_code ec;
      const std::string_view rest = aData.substr(taken);
      if (mChunkLine.empty()) {
        const std::size_t n =
          aParser.put(boost::asio::buffer(rest.data(), rest.size()), ec);
        taken += n;
        if (ec == http::error::need_more && n < rest.size()) {
          // An incomplete chunk line is kept until the rest of it arrives.
          mChunkLine.assign(rest.substr(n));
          taken = aData.size();
        }
      } else {
        taken += PutChunkLine(aParser, rest, ec);
      }
      Settle(aParser, ec);
    }
    return taken;
  }

  template<typename Parser>
  std::size_t PutChunkLine(Parser& aParser,
                           std::string_view aData,
                           error_code& aError)
  {
    const std::size_t held = mChunkLine.size();
    mChunkLine.append(aData.substr(0, kMaxChunkLine));
    const std::size_t n = aParser.put(boost::asio::buffer(mChunkLine), aError);
    if (n <= held) {
      if (n == 0 && mChunkLine.size() > 2 * kMaxChunkLine) {
        aError = http::error::bad_chunk;
      }
      mChunkLine.erase(0, n);
      return std::min(aData.size(), kMaxChunkLine);
    }
    mChunkLine.clear();
    return n - held;
  }

  template<typename Parser>
  void Settle(Parser& aParser, const error_code& aError)
  {
    if (aError && aError != http::error::need_more) {
      Break(aError == http::error::body_limit     ? HttpFault::BodyTooLarge
            : aError == http::error::header_limit ? HttpFault::HeadTooLarge
                                                  : HttpFault::Malformed);
    } else if (aParser.is_done()) {
      mProgress = HttpProgress::Complete;
    }
  }

  void Break(HttpFault aFault)
  {
    mProgress = HttpProgress::Broken;
    mFault = aFault;
  }

  std::optional<MessageParser<true>> mRequest;
  std::optional<MessageParser<false>> mAnswer;
  std::string mHeadBytes;
  bool mChunksStarted = false;
  // Bytes that the parser could not take without the rest of their line.
  std::string mChunkLine;
};

HttpReader::HttpReader(HttpSide aSide, Limits aLimits)
  : mImpl(std::make_unique<Impl>(aSide, aLimits))
{
}

HttpReader::~HttpReader() = default;

std::size_t
HttpReader::Take(std::string_view aData)
{
  return mImpl->Take(aData);
}

void
HttpReader::TakeEnd()
{
  mImpl->TakeEnd();
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

HttpFault
HttpReader::Fault() const
{
  return mImpl->mFault;
}

bool
HttpReader::Started() const
{
  return mImpl->Started();
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
