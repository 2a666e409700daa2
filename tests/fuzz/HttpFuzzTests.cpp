#include "Mutator.h"

#include "http/EventCutter.h"
#include "http/HttpReader.h"
#include "platform/PlatformRequests.h"
#include "platform/PlatformStore.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string_view>

using namespace quetzalquay;

namespace {

// Smaller than the longest mutations.
constexpr HttpReader::Limits kLimits = { 2000, 3000 };

// Largest number of bytes fed at once.
using PieceSize = std::function<std::size_t()>;

// Small enough to cut a record anywhere, and large enough that a long record
// doesn't take as many pieces as it has bytes.
std::size_t
LargestPiece(const std::string& aInput, Mutator& aMutator)
{
  return 1 + aMutator.Below(40) + aInput.size() / 200;
}

struct Message
{
  HttpProgress mProgress = HttpProgress::Head;
  HttpHead mHead;
  std::string mBody;
  // Input that belongs to the message; nothing more is said if it is invalid.
  std::size_t mBytes = 0;
};

// The messages in a connection's input up to an invalid or unfinished one.
std::vector<Message>
ReadMessages(HttpMessageType aType,
             const std::string& aInput,
             const PieceSize& aPieceSize)
{
  HttpReader reader(aType, kLimits);
  std::vector<Message> messages(1);
  std::string_view rest = aInput;
  while (!rest.empty() && reader.Progress() != HttpProgress::Broken) {
    const auto piece = rest.substr(0, aPieceSize());
    const std::size_t consumed = reader.Feed(piece);
    CPPUNIT_ASSERT(consumed <= piece.size());
    rest.remove_prefix(consumed);
    messages.back().mBytes += consumed;
    messages.back().mBody += reader.TakeBody();
    if (reader.Progress() == HttpProgress::Complete) {
      messages.back().mProgress = HttpProgress::Complete;
      messages.back().mHead = reader.Head();
      messages.emplace_back();
      reader.Next();
    } else {
      CPPUNIT_ASSERT(consumed == piece.size() ||
                     reader.Progress() == HttpProgress::Broken);
    }
  }
  messages.back().mProgress = reader.Progress();
  if (reader.Progress() != HttpProgress::Head) {
    messages.back().mHead = reader.Head();
  }
  reader.FeedEof();
  return messages;
}

std::string
FieldsOf(const HttpHead& aHead)
{
  std::string text =
    aHead.mMethod + " " + aHead.mTarget + " " + std::to_string(aHead.mStatus) +
    aHead.mReason + "\n" + (aHead.mChunked ? "c" : "-") +
    (aHead.mUntilClose ? "u" : "-") + (aHead.mKeepAlive ? "k" : "-") +
    std::to_string(aHead.mLength.value_or(-1)) + "\n";
  for (const HttpField& it : aHead.mFields) {
    text += it.mName + ":" + it.mValue + "\n";
  }
  return text;
}

// What a message violates of what the reader states.
std::string
ViolatedBy(const Message& aMessage)
{
  const HttpHead& head = aMessage.mHead;
  if (aMessage.mBody.size() > kLimits.mBody) {
    return "the body is larger than its limit";
  }
  if (FieldsOf(head).size() > kLimits.mHead + 100) {
    return "the head is larger than its limit";
  }
  if (aMessage.mProgress != HttpProgress::Complete &&
      aMessage.mProgress != HttpProgress::Body) {
    return {};
  }
  const int lengths = head.Count("Content-Length");
  const int codings = head.Count("Transfer-Encoding");
  if (lengths > 1 || codings > 1 || (lengths == 1 && codings == 1) ||
      (codings == 1) != head.mChunked || (lengths == 1) != bool(head.mLength)) {
    return "the framing is ambiguous";
  }
  if (head.mMethod.empty() == (head.mStatus == 0)) {
    return "the head has no start line";
  }
  const bool noBody =
    head.mStatus / 100 == 1 || head.mStatus == 204 || head.mStatus == 304;
  if (noBody && !aMessage.mBody.empty()) {
    return "a response without body has one";
  }
  if (head.mLength && !noBody && aMessage.mProgress == HttpProgress::Complete &&
      aMessage.mBody.size() != *head.mLength) {
    return "the body has another length than stated";
  }
  const auto hasLineEnd = [](const std::string& aText) {
    return aText.find_first_of(std::string_view("\r\n\0", 3)) !=
           std::string::npos;
  };
  if (hasLineEnd(head.mTarget) || hasLineEnd(head.mMethod) ||
      hasLineEnd(head.mReason) ||
      std::any_of(
        head.mFields.begin(), head.mFields.end(), [&](const HttpField& aField) {
          return hasLineEnd(aField.mName) || hasLineEnd(aField.mValue);
        })) {
    return "a text has the end of a line";
  }
  return {};
}

std::string
DifferenceOf(const std::vector<Message>& aLeft,
             const std::vector<Message>& aRight)
{
  if (aLeft.size() != aRight.size()) {
    return "another number of messages in pieces: " +
           std::to_string(aLeft.size()) + ", " + std::to_string(aRight.size());
  }
  for (std::size_t n = 0; n < aLeft.size(); ++n) {
    if (aLeft[n].mProgress != aRight[n].mProgress) {
      return "another progress in pieces";
    }
    if (aLeft[n].mProgress == HttpProgress::Broken) {
      continue;
    }
    if (FieldsOf(aLeft[n].mHead) != FieldsOf(aRight[n].mHead)) {
      return "another head in pieces";
    }
    if (aLeft[n].mBytes != aRight[n].mBytes) {
      return "another end in pieces";
    }
    if (aLeft[n].mProgress == HttpProgress::Complete &&
        aLeft[n].mBody != aRight[n].mBody) {
      return "another body in pieces";
    }
  }
  return {};
}

std::string
CheckMessages(HttpMessageType aType,
              const std::string& aInput,
              Mutator& aMutator)
{
  const auto whole =
    ReadMessages(aType, aInput, [] { return std::string_view::npos; });
  for (const Message& it : whole) {
    const std::string violated = ViolatedBy(it);
    if (!violated.empty()) {
      return violated;
    }
  }
  const std::size_t largest = LargestPiece(aInput, aMutator);
  const auto pieces =
    ReadMessages(aType, aInput, [&] { return 1 + aMutator.Below(largest); });
  return DifferenceOf(whole, pieces);
}

struct CutEvents
{
  std::vector<std::string> mIds;
  std::string mBytes;
  bool mHasPartial = false;
};

CutEvents
CutInto(const std::string& aInput, const PieceSize& aPieceSize)
{
  EventCutter cutter;
  CutEvents events;
  std::string_view rest = aInput;
  while (!rest.empty()) {
    const auto piece = rest.substr(0, aPieceSize());
    cutter.Feed(piece);
    rest.remove_prefix(piece.size());
    while (const auto event = cutter.Next()) {
      events.mIds.push_back(event->mId);
      events.mBytes += event->mBytes;
    }
  }
  events.mHasPartial = cutter.HasPartialEvent();
  CPPUNIT_ASSERT_EQUAL(aInput.size() - events.mBytes.size(),
                       cutter.BufferedBytes());
  return events;
}

std::string
CheckEvents(const std::string& aInput, Mutator& aMutator)
{
  const auto whole = CutInto(aInput, [] { return std::string_view::npos; });
  const std::size_t largest = LargestPiece(aInput, aMutator);
  const auto pieces =
    CutInto(aInput, [&] { return 1 + aMutator.Below(largest); });
  if (aInput.compare(0, whole.mBytes.size(), whole.mBytes) != 0) {
    return "the events' bytes have changed";
  }
  return whole.mIds == pieces.mIds && whole.mBytes == pieces.mBytes &&
             whole.mHasPartial == pieces.mHasPartial
           ? ""
           : "other events in pieces";
}

HttpHead
CallerHead()
{
  HttpHead head;
  head.mMethod = "POST";
  head.mTarget = "/chat/run?a=1";
  head.mFields = { { "Host", "pool.example" },
                   { "X-Request-Id", "r-17" },
                   { "X-Token-Counts", "120,400" },
                   { "X-Prompt-Prefix", "a1:80,b2:40" } };
  return head;
}

std::vector<std::string>
Requests()
{
  platform::AttemptFields attempt;
  attempt.mTarget = "t1";
  attempt.mWorkspace = "team";
  attempt.mTimeLeft = std::chrono::seconds(9);
  attempt.mLastEventId = "r-16.4";
  attempt.mCopy = platform::KvCopyReference{ "127.0.0.1:1", "17" };
  attempt.mUrgency = 3;
  const std::string resumed =
    platform::EncodeAttempt(CallerHead(), attempt, 5) + "hello";
  const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
  return {
    resumed,
    resumed + platform::EncodeReportRequest("127.0.0.1:1"),
    platform::EncodeCopyOrder("127.0.0.1:1", "r-17", "127.0.0.1:2"),
    platform::EncodePut("store", platform::StoreTable::Hosts, "k", "value"),
    head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\na;x=1\r\n"
           "0123456789\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
    head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n",
    "\r\n\r\nGET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
  };
}

std::vector<std::string>
Responses()
{
  const std::string fields =
    "X-Request-Id: r-17\r\nX-Server-Seal: s\r\nX-Instance-Id: t1\r\n"
    "X-Server-Load: 3,1,8\r\nKeep-Alive: timeout=5\r\n";
  return {
    "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 503 Service Unavailable\r\n" + fields +
      "Retry-After: 0.5\r\nServer-Limit: 25\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n"
    "10\r\nid: 2\ndata: cd\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\n" + fields + "\r\nuntil the connection's end",
    "HTTP/1.0 204 No Content\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 421 Misdirected\r\n"
    "Content-Length: 2\r\n\r\nno",
  };
}

} // namespace

// Bytes of connections: requests, responses and streams of events.
class HttpFuzzTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpFuzzTests);
  CPPUNIT_TEST(Requests);
  CPPUNIT_TEST(Responses);
  CPPUNIT_TEST(Events);
  CPPUNIT_TEST_SUITE_END();

public:
  void Requests()
  {
    CheckMutations("requests",
                   ::Requests(),
                   [](const std::string& aInput, Mutator& aMutator) {
                     return CheckMessages(
                       HttpMessageType::Requests, aInput, aMutator);
                   });
  }

  void Responses()
  {
    CheckMutations("responses",
                   ::Responses(),
                   [](const std::string& aInput, Mutator& aMutator) {
                     return CheckMessages(
                       HttpMessageType::Responses, aInput, aMutator);
                   });
  }

  void Events()
  {
    CheckMutations("events",
                   { "id: 1\ndata: ab\n\nid: 2\ndata: cd\n\n",
                     "id:7\r\nevent: x\r\ndata: {\"a\":[1,2]}\r\n\r\n: c\n\n",
                     "data: a\ndata: b\n\n\n\nid: 9" },
                   CheckEvents);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpFuzzTests);
