#include "gateway/GatewaySettings.h"
#include "gateway/StreamOriginRows.h"
#include "platform/PlatformRequests.h"
#include "platform/PlatformStore.h"
#include "wire/TokenJson.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

// Deep enough to overflow the stack of a parser that recurses.
constexpr int kDepth = 400000;

std::string
Nested(const std::string& aValue)
{
  std::string text;
  for (int n = 0; n < kDepth; ++n) {
    text += aValue;
  }
  return text;
}

} // namespace

// JSON text that comes from elsewhere: nested values, closed or not, must not
// overflow the stack.
class NestedTextTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NestedTextTests);
  CPPUNIT_TEST(ReadsNestedRepliesOfTargets);
  CPPUNIT_TEST(ReadsNestedTextOfTheStore);
  CPPUNIT_TEST(ReadsNestedSettingsAndEvents);
  CPPUNIT_TEST_SUITE_END();

public:
  void ReadsNestedRepliesOfTargets()
  {
    std::string reason;
    for (const std::string& it : Texts()) {
      CPPUNIT_ASSERT(!platform::DecodeCopyHandle(it, reason));
    }
    for (const std::string& it : InvalidTexts()) {
      CPPUNIT_ASSERT(!platform::DecodeReport(it, reason));
    }
    const auto report = platform::DecodeReport(
      R"({"ActiveRequests":3,"Runs":)" + Closed() + "}", reason);
    CPPUNIT_ASSERT(report);
    CPPUNIT_ASSERT_EQUAL(3, report->mRunning);
  }

  void ReadsNestedTextOfTheStore()
  {
    std::string reason;
    for (const std::string& it : InvalidTexts()) {
      CPPUNIT_ASSERT(!platform::DecodeRows(it, reason));
      CPPUNIT_ASSERT(platform::DecodeConfiguration(it, reason) == nullptr);
    }
    for (const std::string& it : Texts()) {
      CPPUNIT_ASSERT(!platform::DecodeTarget("t", it, reason));
      platform::StoreRow row;
      row.mKey = "0123456789abcdef";
      row.mValue = it;
      CPPUNIT_ASSERT(!ParseOriginRow(row));
    }
  }

  void ReadsNestedSettingsAndEvents()
  {
    std::string reason;
    for (const std::string& it : Texts()) {
      CPPUNIT_ASSERT(!ParseGatewaySettings(it, reason));
    }
    for (const std::string& it : InvalidTexts()) {
      StreamEvent event;
      CPPUNIT_ASSERT(!ParseStreamEvent(it, event));
    }
  }

private:
  static std::string Closed() { return Nested("[") + Nested("]"); }

  static std::vector<std::string> InvalidTexts()
  {
    return { Nested("["), Nested(R"({"a":)"), Closed() };
  }

  // Also a valid object without the fields that are asked for.
  static std::vector<std::string> Texts()
  {
    auto texts = InvalidTexts();
    texts.push_back(R"({"a":)" + Closed() + "}");
    return texts;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestedTextTests);
