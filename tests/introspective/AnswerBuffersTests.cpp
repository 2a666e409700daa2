#include "http/AnswerBuffers.h"
#include "http/JsonText.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdint>
#include <string>

using namespace quetzalquay;

namespace {

constexpr std::size_t kLimit = 1000000;

} // namespace

class AnswerBuffersTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AnswerBuffersTests);
  CPPUNIT_TEST(AnswersTogetherStayWithinTheLimit);
  CPPUNIT_TEST(SmallAnswersAreAlwaysHeld);
  CPPUNIT_TEST(EndedAnswersFreeTheirShare);
  CPPUNIT_TEST(TheLimitFollowsTheMemory);
  CPPUNIT_TEST(TextsAreParsedWithinTheirMemory);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against several answers without end taking more than the limit
  // together, each within a limit of its own.
  void AnswersTogetherStayWithinTheLimit()
  {
    AnswerBuffers buffers(kLimit);
    AnswerBuffer first(buffers);
    AnswerBuffer second(buffers);
    CPPUNIT_ASSERT(first.Resize(kLimit / 2));
    CPPUNIT_ASSERT(!first.Resize(kLimit / 2 + 1));
    CPPUNIT_ASSERT(first.Resize(kLimit / 2));
    CPPUNIT_ASSERT(second.Resize(kLimit / 4));
    CPPUNIT_ASSERT(!second.Resize(kLimit / 4 + 1));
  }

  // Guards against usual answers being given up because others are large.
  void SmallAnswersAreAlwaysHeld()
  {
    AnswerBuffers buffers(kLimit);
    AnswerBuffer large(buffers);
    large.Resize(kLimit);
    AnswerBuffer small(buffers);
    CPPUNIT_ASSERT(small.Resize(AnswerBuffers::kAlwaysAllowed));
    CPPUNIT_ASSERT(!small.Resize(AnswerBuffers::kAlwaysAllowed + 1));
    CPPUNIT_ASSERT(small.Resize(100, 100));
    CPPUNIT_ASSERT(!small.Resize(101, 100));
  }

  // Guards against a share that is lost with each answer, until none is left.
  void EndedAnswersFreeTheirShare()
  {
    AnswerBuffers buffers(kLimit);
    {
      AnswerBuffer ended(buffers);
      ended.Resize(kLimit);
      ended.Resize(kLimit / 2);
      CPPUNIT_ASSERT_EQUAL(kLimit / 2, buffers.Total());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, buffers.Total());
  }

  // Guards against small hosts holding more than their memory, and against an
  // unknown memory allowing any size.
  void TheLimitFollowsTheMemory()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 22U << 20U },
                         AnswerBufferLimit(88U << 20U));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4U << 20U }, AnswerBufferLimit(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 256U << 20U },
                         AnswerBufferLimit(SIZE_MAX));
  }

  // Guards against short texts of many values being parsed, and against strings
  // being taken for values.
  void TextsAreParsedWithinTheirMemory()
  {
    std::string values = "[0";
    std::string text = "[\"";
    for (int n = 0; n < 100000; ++n) {
      values += ",0";
      text += ",\\\"";
    }
    values += "]";
    text += "\"]";
    std::size_t refused = 0;
    LimitJsonMemory(1000000,
                    [&refused](std::size_t aBytes) { refused += aBytes; });
    rapidjson::Document json;
    ParseJson(json, values);
    CPPUNIT_ASSERT(json.HasParseError());
    CPPUNIT_ASSERT_EQUAL(values.size(), refused);
    ParseJson(json, text);
    LimitJsonMemory(SIZE_MAX, nullptr);
    CPPUNIT_ASSERT(!json.HasParseError());
    CPPUNIT_ASSERT(MaxJsonMemory(values) > values.size() * 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerBuffersTests);
