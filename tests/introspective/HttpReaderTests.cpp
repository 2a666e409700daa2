#include "Property.h"

#include "http/EventCutter.h"
#include "http/HttpReader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace quetzalquay;

namespace {

struct Read
{
  HttpProgress mProgress = HttpProgress::Head;
  HttpFault mFault = HttpFault::None;
  HttpHead mHead;
  std::string mBody;
  // Bytes behind the message.
  std::string mRest;
};

// Reads one message that arrives in pieces of at most aPiece bytes.
Read
ReadAll(HttpSide aSide,
        const std::string& aBytes,
        std::size_t aPiece = 100000,
        bool aEnd = false,
        HttpReader::Limits aLimits = {})
{
  HttpReader reader(aSide, aLimits);
  Read read;
  std::size_t at = 0;
  const auto open = [&] {
    return reader.Progress() == HttpProgress::Head ||
           reader.Progress() == HttpProgress::Body;
  };
  while (at < aBytes.size() && open()) {
    const std::string_view piece = std::string_view(aBytes).substr(at, aPiece);
    const std::size_t n = reader.Take(piece);
    at += n;
    read.mBody += reader.TakeBody();
    if (n < piece.size()) {
      break;
    }
  }
  if (aEnd) {
    reader.TakeEnd();
  }
  read.mProgress = reader.Progress();
  read.mFault = reader.Fault();
  read.mHead = reader.Head();
  read.mRest = aBytes.substr(at);
  return read;
}

void
RequireBroken(HttpSide aSide, const std::string& aBytes)
{
  for (const std::size_t piece : { 1U, 7U, 100000U }) {
    const Read read = ReadAll(aSide, aBytes, piece);
    CPPUNIT_ASSERT_MESSAGE(aBytes, read.mProgress == HttpProgress::Broken);
  }
}

std::string
Chunked(const std::vector<std::string>& aChunks)
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
  CPPUNIT_TEST(ChunksAreReadHoweverTheyAreCut);
  CPPUNIT_TEST(LengthsAreReadHoweverTheyAreCut);
  CPPUNIT_TEST(AmbiguousFramingIsRefused);
  CPPUNIT_TEST(FieldsBehindABodyAreNotPartOfTheHead);
  CPPUNIT_TEST(ASecondRequestIsLeftAlone);
  CPPUNIT_TEST(AnswersWithoutLengthEndWithTheConnection);
  CPPUNIT_TEST(ShortAnswersAreBroken);
  CPPUNIT_TEST(LimitsHold);
  CPPUNIT_TEST(EventsKeepTheirBytes);
  CPPUNIT_TEST(TornEventsAreSeen);
  CPPUNIT_TEST_SUITE_END();

public:
  void ChunksAreReadHoweverTheyAreCut()
  {
    CheckProperty("a chunked body is the same in any pieces", [] {
      const auto chunks = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
      std::string body;
      for (const std::string& it : chunks) {
        body += it;
      }
      const std::string bytes = kChunkedHead + Chunked(chunks) + "NEXT";
      const auto piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      const Read read = ReadAll(HttpSide::Requests, bytes, piece);
      RC_ASSERT(read.mProgress == HttpProgress::Complete);
      RC_ASSERT(read.mBody == body);
      RC_ASSERT(read.mRest == "NEXT");
    });
  }

  void LengthsAreReadHoweverTheyAreCut()
  {
    CheckProperty("a body with a length is the same in any pieces", [] {
      const auto body = *rc::gen::string<std::string>();
      const std::string bytes =
        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body + "NEXT";
      const auto piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      const Read read = ReadAll(HttpSide::Requests, bytes, piece);
      RC_ASSERT(read.mProgress == HttpProgress::Complete);
      RC_ASSERT(read.mBody == body);
      RC_ASSERT(read.mRest == "NEXT");
    });
  }

  void AmbiguousFramingIsRefused()
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
      RequireBroken(HttpSide::Requests, start + it);
    }
    RequireBroken(HttpSide::Requests, "GET /a HTTP/2.0\r\nHost: h\r\n\r\n");
    RequireBroken(HttpSide::Answers, "nonsense\r\n\r\n");
  }

  void FieldsBehindABodyAreNotPartOfTheHead()
  {
    const Read read =
      ReadAll(HttpSide::Requests,
              kChunkedHead + "1\r\na\r\n0\r\nX-Tenant: other\r\n\r\n");
    CPPUNIT_ASSERT(read.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT(read.mHead.Find("X-Tenant") == nullptr);
  }

  void ASecondRequestIsLeftAlone()
  {
    const std::string one = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
    const Read read = ReadAll(HttpSide::Requests, one + one);
    CPPUNIT_ASSERT(read.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(one, read.mRest);
  }

  void AnswersWithoutLengthEndWithTheConnection()
  {
    const std::string bytes = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome body";
    CPPUNIT_ASSERT(ReadAll(HttpSide::Answers, bytes).mProgress ==
                   HttpProgress::Body);
    const Read ended = ReadAll(HttpSide::Answers, bytes, 3, true);
    CPPUNIT_ASSERT(ended.mProgress == HttpProgress::Complete);
    CPPUNIT_ASSERT_EQUAL(std::string("some body"), ended.mBody);
  }

  void ShortAnswersAreBroken()
  {
    for (const char* it : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n3\r\nabc\r\n",
                            "HTTP/1.1 200 OK\r\nX:" }) {
      CPPUNIT_ASSERT(ReadAll(HttpSide::Answers, it, 5, true).mProgress ==
                     HttpProgress::Broken);
    }
  }

  void LimitsHold()
  {
    HttpReader::Limits limits;
    limits.mHead = 100;
    limits.mBody = 10;
    const std::string big(200, 'x');
    CPPUNIT_ASSERT(ReadAll(HttpSide::Requests,
                           "GET /" + big + " HTTP/1.1\r\n\r\n",
                           9,
                           false,
                           limits)
                     .mFault == HttpFault::HeadTooLarge);
    CPPUNIT_ASSERT(
      ReadAll(HttpSide::Requests,
              "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n" + big,
              9,
              false,
              limits)
        .mFault == HttpFault::BodyTooLarge);
    CPPUNIT_ASSERT(
      ReadAll(HttpSide::Requests,
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                Chunked({ "123456", "123456" }),
              9,
              false,
              limits)
        .mFault == HttpFault::BodyTooLarge);
  }

  void EventsKeepTheirBytes()
  {
    CheckProperty("events are the same in any pieces", [] {
      const int count = *rc::gen::inRange(1, 20);
      const bool returns = *rc::gen::arbitrary<bool>();
      const std::string end = returns ? "\r\n" : "\n";
      std::string bytes;
      for (int n = 1; n <= count; ++n) {
        bytes += "id: " + std::to_string(n) + end + "data: x" +
                 std::to_string(n) + end + end;
      }
      const auto piece = *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      EventCutter cutter;
      std::string joined;
      int seen = 0;
      for (std::size_t at = 0; at < bytes.size(); at += piece) {
        cutter.Take(std::string_view(bytes).substr(at, piece));
        while (const auto event = cutter.Next()) {
          RC_ASSERT(event->mId == std::to_string(++seen));
          joined += event->mBytes;
        }
      }
      RC_ASSERT(seen == count);
      RC_ASSERT(joined == bytes);
      RC_ASSERT(!cutter.HasPart());
    });
  }

  void TornEventsAreSeen()
  {
    EventCutter cutter;
    cutter.Take("id: 1\ndata: a\n\nid: 2\nda");
    CPPUNIT_ASSERT_EQUAL(std::string("1"), cutter.Next()->mId);
    CPPUNIT_ASSERT(!cutter.Next());
    CPPUNIT_ASSERT(cutter.HasPart());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpReaderTests);
