#include "Property.h"

#include "http/EventCutter.h"
#include "http/HttpReader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace quetzalquay;

namespace {

struct ParseResult
{
  HttpProgress mProgress = HttpProgress::Head;
  HttpParseError mError = HttpParseError::None;
  HttpHead mHead;
  std::string mBody;
  // Input after the end of the message.
  std::string mUnconsumed;
};

// Parses one message that arrives in segments of at most aSegmentBytes.
ParseResult
ParseMessage(HttpMessageType aType,
             const std::string& aBytes,
             std::size_t aSegmentBytes = 100000,
             bool aEndOfInput = false,
             HttpReader::Limits aLimits = {})
{
  HttpReader reader(aType, aLimits);
  ParseResult result;
  std::size_t at = 0;
  const auto isIncomplete = [&] {
    return reader.Progress() == HttpProgress::Head ||
           reader.Progress() == HttpProgress::Body;
  };
  while (at < aBytes.size() && isIncomplete()) {
    const std::string_view segment =
      std::string_view(aBytes).substr(at, aSegmentBytes);
    const std::size_t n = reader.Feed(segment);
    at += n;
    result.mBody += reader.TakeBody();
    if (n < segment.size()) {
      break;
    }
  }
  if (aEndOfInput) {
    reader.FeedEof();
  }
  result.mProgress = reader.Progress();
  result.mError = reader.Error();
  result.mHead = reader.Head();
  result.mUnconsumed = aBytes.substr(at);
  return result;
}

void
CheckRejected(HttpMessageType aType, const std::string& aBytes)
{
  for (const std::size_t segment : { 1U, 7U, 100000U }) {
    const ParseResult result = ParseMessage(aType, aBytes, segment);
    CPPUNIT_ASSERT_MESSAGE(aBytes, result.mProgress == HttpProgress::Broken);
  }
}

std::string
EncodeChunked(const std::vector<std::string>& aChunks)
{
  std::string text;
  for (const std::string& it : aChunks) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", it.size());
    text += size + it + "\r\n";
  }
  return text + "0\r\n\r\n";
}

const std::string kChunkedHead =
  "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

class HttpReaderTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpReaderTests);
  CPPUNIT_TEST(ChunkedBodyIsParsedForAnySegmentSize);
  CPPUNIT_TEST(BodyWithContentLengthIsParsedForAnySegmentSize);
  CPPUNIT_TEST(AmbiguousFramingIsRejected);
  CPPUNIT_TEST(HeadsWithoutACompleteVersionAreRejected);
  CPPUNIT_TEST(StatusCodesBelow100AreRejected);
  CPPUNIT_TEST(EmptyLinesBeforeARequestAreIgnoredForAnySegmentSize);
  CPPUNIT_TEST(TrailerFieldsAreNotPartOfTheHead);
  CPPUNIT_TEST(UnfinishedTrailersAreRejectedForAnySegmentSize);
  CPPUNIT_TEST(BytesAfterARequestAreNotConsumed);
  CPPUNIT_TEST(ResponseWithoutLengthEndsWithTheConnection);
  CPPUNIT_TEST(TruncatedResponseIsInvalid);
  CPPUNIT_TEST(MessagesOverTheLimitsAreRejected);
  CPPUNIT_TEST(EventBytesAreUnchangedForAnySegmentSize);
  CPPUNIT_TEST(IncompleteEventIsReported);
  CPPUNIT_TEST(ReturnedEventsAreNotHeldBehindAPartialOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChunkedBodyIsParsedForAnySegmentSize()
  {
    CheckProperty("a chunked body does not depend on the segment size", [] {
      const auto chunks = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
      std::string body;
      for (const std::string& it : chunks) {
        body += it;
      }
      const std::string bytes = kChunkedHead + EncodeChunked(chunks) + "NEXT";
      const auto segment = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      const ParseResult result =
        ParseMessage(HttpMessageType::Requests, bytes, segment);
      RC_ASSERT(result.mProgress == HttpProgress::Complete);
      RC_ASSERT(result.mBody == body);
      RC_ASSERT(result.mUnconsumed == "NEXT");
    });
  }

  void BodyWithContentLengthIsParsedForAnySegmentSize()
  {
    CheckProperty(
      "a body with Content-Length does not depend on the segment size", [] {
        const auto body = *rc::gen::string<std::string>();
        const std::string bytes =
          "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body + "NEXT";
        const auto segment =
          *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
        const ParseResult result =
          ParseMessage(HttpMessageType::Requests, bytes, segment);
        RC_ASSERT(result.mProgress == HttpProgress::Complete);
        RC_ASSERT(result.mBody == body);
        RC_ASSERT(result.mUnconsumed == "NEXT");
      });
  }

  void AmbiguousFramingIsRejected()
  {
    const std::string start = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
    for (const char* it : {
           "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
           "Content-Length: 4\r\nContent-Length: 4\r\n\r\nabcd",
           "Content-Length: 4, 4\r\nContent-Length: 5\r\n\r\nabcde",
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
           "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           "Content-Length: +4\r\n\r\nabcd",
           "Content-Length: 4\n\r\n\r\nabcd",
           "X: a\r\n b\r\n\r\n",
           "X: a\n\r\n",
           "X : a\r\n\r\n",
           "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
           "Transfer-Encoding: chunked\r\n\r\n0x4\r\nabcd\r\n0\r\n\r\n",
           "Transfer-Encoding: chunked\r\n\r\n4\r\nabcdX\r\n0\r\n\r\n",
         }) {
      CheckRejected(HttpMessageType::Requests, start + it);
    }
    CheckRejected(HttpMessageType::Requests,
                  "GET /a HTTP/2.0\r\nHost: h\r\n\r\n");
    CheckRejected(HttpMessageType::Responses, "nonsense\r\n\r\n");
  }

  // The head counted as complete, without method, path or status, and its end
  // as the start of a body.
  void HeadsWithoutACompleteVersionAreRejected()
  {
    for (const char* it : { "GET / HTT\r\n\r\n",
                            "GET / \r\n\r\n",
                            "GET / HTT\r\n\r\nHost: h\r\n\r\n" }) {
      CheckRejected(HttpMessageType::Requests, it);
    }
    for (const char* it : { "HTTP/1\r\n\r\n", "HTTP/1.1 20\r\n\r\n" }) {
      CheckRejected(HttpMessageType::Responses, it);
    }
  }

  // The parser takes any three digits; the first one has to be 1 to 5.
  void StatusCodesBelow100AreRejected()
  {
    CheckRejected(HttpMessageType::Responses, "HTTP/1.1 000 A\r\n\r\n");
    CheckRejected(HttpMessageType::Responses, "HTTP/1.1 099 A\r\n\r\n");
  }

  // Guards against a proper request that is rejected because a piece of it ends
  // inside an empty line before it.
  void EmptyLinesBeforeARequestAreIgnoredForAnySegmentSize()
  {
    const std::string request = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
    for (const std::string& lines :
         { std::string("\r\n"), std::string("\r\n\r\n") }) {
      for (std::size_t segment = 1; segment < 8; ++segment) {
        const ParseResult result = ParseMessage(
          HttpMessageType::Requests, lines + request + "NEXT", segment);
        CPPUNIT_ASSERT(result.mProgress == HttpProgress::Complete);
        CPPUNIT_ASSERT_EQUAL(std::string("/a/"), result.mHead.mTarget);
        CPPUNIT_ASSERT_EQUAL(std::string("NEXT"), result.mUnconsumed);
      }
    }
    for (const char* it : { "\r", "\r\r\n", "\r\n\r", "\n" }) {
      CheckRejected(HttpMessageType::Requests, it + request);
    }
  }

  void TrailerFieldsAreNotPartOfTheHead()
  {
    const ParseResult result =
      ParseMessage(HttpMessageType::Requests,
                   kChunkedHead + "1\r\na\r\n0\r\nX-Tenant: other\r\n\r\n");
    CPPUNIT_ASSERT(result.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT(result.mHead.Find("X-Tenant") == nullptr);
  }

  // A line after the last chunk had no limit if it arrived at once.
  void UnfinishedTrailersAreRejectedForAnySegmentSize()
  {
    CheckRejected(HttpMessageType::Requests,
                  kChunkedHead + "1\r\na\r\n0\r\nT: 1\r\n\r" +
                    std::string(90000, 'x'));
  }

  void BytesAfterARequestAreNotConsumed()
  {
    const std::string one = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
    const ParseResult result =
      ParseMessage(HttpMessageType::Requests, one + one);
    CPPUNIT_ASSERT(result.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(one, result.mUnconsumed);
  }

  void ResponseWithoutLengthEndsWithTheConnection()
  {
    const std::string bytes = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome body";
    CPPUNIT_ASSERT(ParseMessage(HttpMessageType::Responses, bytes).mProgress ==
                   HttpProgress::Body);
    const ParseResult ended =
      ParseMessage(HttpMessageType::Responses, bytes, 3, true);
    CPPUNIT_ASSERT(ended.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("some body"), ended.mBody);
  }

  void TruncatedResponseIsInvalid()
  {
    for (const char* it : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\n",
                            "HTTP/1.1 200 OK\r\nX:" }) {
      CPPUNIT_ASSERT(
        ParseMessage(HttpMessageType::Responses, it, 5, true).mProgress ==
        HttpProgress::Broken);
    }
  }

  void MessagesOverTheLimitsAreRejected()
  {
    HttpReader::Limits limits;
    limits.mHead = 100;
    limits.mBody = 10;
    const std::string big(200, 'x');
    CPPUNIT_ASSERT(ParseMessage(HttpMessageType::Requests,
                                "GET /" + big + " HTTP/1.1\r\n\r\n",
                                9,
                                false,
                                limits)
                     .mError == HttpParseError::HeadTooLarge);
    CPPUNIT_ASSERT(
      ParseMessage(HttpMessageType::Requests,
                   "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n" + big,
                   9,
                   false,
                   limits)
        .mError == HttpParseError::BodyTooLarge);
    CPPUNIT_ASSERT(
      ParseMessage(HttpMessageType::Requests,
                   "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     EncodeChunked({ "123456", "123456" }),
                   9,
                   false,
                   limits)
        .mError == HttpParseError::BodyTooLarge);
  }

  void EventBytesAreUnchangedForAnySegmentSize()
  {
    CheckProperty("events do not depend on the segment size", [] {
      const int count = *rc::gen::inRange(1, 20);
      const bool useCrLf = *rc::gen::arbitrary<bool>();
      const std::string end = useCrLf ? "\r\n" : "\n";
      std::string bytes;
      for (int n = 1; n <= count; ++n) {
        bytes += "id: " + std::to_string(n) + end + "data: x" +
                 std::to_string(n) + end + end;
      }
      const auto segment = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      EventCutter splitter;
      std::string output;
      int eventCount = 0;
      for (std::size_t at = 0; at < bytes.size(); at += segment) {
        splitter.Feed(std::string_view(bytes).substr(at, segment));
        while (const auto event = splitter.Next()) {
          RC_ASSERT(event->mId == std::to_string(++eventCount));
          output += event->mBytes;
        }
      }
      RC_ASSERT(eventCount == count);
      RC_ASSERT(output == bytes);
      RC_ASSERT(!splitter.HasPartialEvent());
    });
  }

  void IncompleteEventIsReported()
  {
    EventCutter splitter;
    splitter.Feed("id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT_EQUAL(std::string("1"), splitter.Next()->mId);
    CPPUNIT_ASSERT(!splitter.Next());
    CPPUNIT_ASSERT(splitter.HasPartialEvent());
  }

  // Guards against a stream whose target writes the end of an event together
  // with the beginning of the next one taking the memory of the whole stream.
  void ReturnedEventsAreNotHeldBehindAPartialOne()
  {
    const std::string event = "id: 1\ndata: " + std::string(1000, 'x') + "\n\n";
    EventCutter splitter;
    splitter.Feed(event.substr(0, event.size() - 1));
    for (int n = 0; n < 1000; ++n) {
      splitter.Feed(event.substr(event.size() - 1) +
                    event.substr(0, event.size() - 1));
      CPPUNIT_ASSERT_EQUAL(event, splitter.Next()->mBytes);
      CPPUNIT_ASSERT(!splitter.Next());
    }
    CPPUNIT_ASSERT(splitter.HeldBytes() < 8 * event.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpReaderTests);
