#include "Property.h"

#include "generated/messages.pb.h"
#include "wire/Json.h"
#include "wire/TokenJson.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace quetzalquay;

namespace {

std::string
AnyText()
{
  return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

} // namespace

class TokenJsonTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TokenJsonTests);
  CPPUNIT_TEST(ParsesEventsWrittenByTheSchemaCodec);
  CPPUNIT_TEST(WritesEventsThatTheSchemaCodecParses);
  CPPUNIT_TEST(MalformedEventsAreRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void ParsesEventsWrittenByTheSchemaCodec()
  {
    CheckProperty("an engine's event reads the same in both codecs", [] {
      schema::EngineEvent message;
      message.set_request_id(AnyText());
      message.set_attempt(*rc::gen::arbitrary<int>());
      message.set_generation(AnyText());
      message.set_index(*rc::gen::arbitrary<int>());
      message.set_token(*rc::gen::arbitrary<int>());
      message.set_text(AnyText());
      message.set_version(AnyText());
      if (*rc::gen::arbitrary<bool>()) {
        message.set_finish_reason("stop");
        message.mutable_usage()->set_cached_tokens(3);
      }
      StreamEvent event;
      const std::string text =
        *rc::gen::arbitrary<bool>() ? ToJson(message) : ToCompactJson(message);
      RC_ASSERT(ParseStreamEvent(text, event));
      RC_ASSERT(event.mRequestId == message.request_id());
      RC_ASSERT(event.mAttempt == message.attempt());
      RC_ASSERT(event.mGeneration == message.generation());
      RC_ASSERT(event.mIndex == message.index());
      RC_ASSERT(event.mToken == message.token());
      RC_ASSERT(event.mText == message.text());
      RC_ASSERT(event.mVersion == message.version());
      RC_ASSERT(event.mFinishReason == message.finish_reason());
      RC_ASSERT(event.mCachedTokens == message.usage().cached_tokens());
    });
  }

  void WritesEventsThatTheSchemaCodecParses()
  {
    CheckProperty("a caller's event reads the same in both codecs", [] {
      TextEventFields base;
      base.mId = AnyText();
      base.mObject = "text_completion";
      base.mModel = AnyText();
      base.mUsesDelta = *rc::gen::arbitrary<bool>();
      const std::string text = AnyText();
      schema::CallerResponse message;
      const auto problem = ParseJson(
        SerializeTextEvent(base, text), UnknownFields::Refuse, message);
      RC_ASSERT(!problem);
      RC_ASSERT(message.id() == base.mId);
      RC_ASSERT(message.model() == base.mModel);
      const auto& choice = message.choices(0);
      RC_ASSERT(choice.has_index());
      RC_ASSERT((base.mUsesDelta ? choice.delta().content() : choice.text()) ==
                text);
    });
  }

  void MalformedEventsAreRejected()
  {
    const char* malformed[] = { "",
                                "[]",
                                "{\"index\":\"one\"}",
                                "{\"index\":1.5}",
                                "{\"text\":7}",
                                "{\"usage\":[]}",
                                "{\"text\":\"\xff\"}",
                                "{\"text\":\"a\"" };
    for (const char* it : malformed) {
      StreamEvent event;
      CPPUNIT_ASSERT_MESSAGE(it, !ParseStreamEvent(it, event));
    }
    StreamEvent event;
    CPPUNIT_ASSERT(ParseStreamEvent("{\"new\":[1],\"text\":null}", event));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenJsonTests);
