#include "gateway/ReachMessages.h"

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr char kAskName[] = "reach_ask";
constexpr char kAnswerName[] = "reach_answer";
constexpr char kUnreachedName[] = "unreached";

// Elements of an ask: service, ask and targets. Elements of an answer: service,
// ask, state, targets that were heard, and failing targets. Elements of a heard
// target: its name and the milliseconds since it was heard.
constexpr rapidjson::SizeType kAskSize = 3;
constexpr rapidjson::SizeType kAnswerSize = 5;
constexpr rapidjson::SizeType kHeardSize = 2;

std::string
ToText(const rapidjson::Value& aValue)
{
  return std::string(aValue.GetString(), aValue.GetStringLength());
}

void
WriteText(ReachWriter& aWriter, const std::string& aText)
{
  aWriter.String(aText.data(), static_cast<rapidjson::SizeType>(aText.size()));
}

void
WriteTexts(ReachWriter& aWriter, const std::vector<std::string>& aTexts)
{
  aWriter.StartArray();
  for (const std::string& it : aTexts) {
    WriteText(aWriter, it);
  }
  aWriter.EndArray();
}

// Texts of a list, up to the maximum of targets in one message.
std::vector<std::string>
ParseTexts(const rapidjson::Value& aList)
{
  std::vector<std::string> texts;
  for (const auto& it : aList.GetArray()) {
    if (it.IsString() && texts.size() < TargetReach::kMaxAskedTargets) {
      texts.push_back(ToText(it));
    }
  }
  return texts;
}

} // namespace

void
WriteReachAsk(ReachWriter& aWriter, const ReachAsk& aAsk)
{
  aWriter.Key(kAskName);
  aWriter.StartArray();
  WriteText(aWriter, aAsk.mService);
  aWriter.Uint64(aAsk.mId);
  WriteTexts(aWriter, aAsk.mTargets);
  aWriter.EndArray();
}

void
WriteReachAnswer(ReachWriter& aWriter, const ReachAnswer& aAnswer)
{
  aWriter.Key(kAnswerName);
  aWriter.StartArray();
  WriteText(aWriter, aAnswer.mService);
  aWriter.Uint64(aAnswer.mAsk);
  WriteText(aWriter, std::string(kReachStateNames.NameOf(aAnswer.mState)));
  aWriter.StartArray();
  for (const auto& it : aAnswer.mHeard) {
    aWriter.StartArray();
    WriteText(aWriter, it.first);
    aWriter.Int(static_cast<int>(ToMilliseconds(it.second)));
    aWriter.EndArray();
  }
  aWriter.EndArray();
  WriteTexts(aWriter, aAnswer.mFailing);
  aWriter.EndArray();
}

void
WriteUnreached(ReachWriter& aWriter, const std::vector<std::string>& aServices)
{
  if (!aServices.empty()) {
    aWriter.Key(kUnreachedName);
    WriteTexts(aWriter, aServices);
  }
}

std::optional<ReceivedReachAsk>
ParseReachAsk(const rapidjson::Value& aMessage)
{
  const auto it = aMessage.FindMember(kAskName);
  if (it == aMessage.MemberEnd() || !it->value.IsArray() ||
      it->value.Size() != kAskSize || !it->value[0].IsString() ||
      !it->value[1].IsUint64() || !it->value[2].IsArray()) {
    return std::nullopt;
  }
  return ReceivedReachAsk{ ToText(it->value[0]),
                           it->value[1].GetUint64(),
                           ParseTexts(it->value[2]) };
}

std::optional<ReachAnswer>
ParseReachAnswer(const rapidjson::Value& aMessage)
{
  const auto it = aMessage.FindMember(kAnswerName);
  if (it == aMessage.MemberEnd() || !it->value.IsArray() ||
      it->value.Size() != kAnswerSize || !it->value[0].IsString() ||
      !it->value[1].IsUint64() || !it->value[2].IsString() ||
      !it->value[3].IsArray() || !it->value[4].IsArray()) {
    return std::nullopt;
  }
  const auto state = kReachStateNames.ValueOf(ToText(it->value[2]));
  if (!state) {
    return std::nullopt;
  }
  ReachAnswer answer;
  answer.mService = ToText(it->value[0]);
  answer.mAsk = it->value[1].GetUint64();
  answer.mState = *state;
  for (const auto& heard : it->value[3].GetArray()) {
    if (heard.IsArray() && heard.Size() == kHeardSize && heard[0].IsString() &&
        heard[1].IsInt() && heard[1].GetInt() >= 0 &&
        answer.mHeard.size() < TargetReach::kMaxAskedTargets) {
      // Rounded up, so that the target is never held for heard later.
      answer.mHeard.emplace_back(ToText(heard[0]),
                                 milliseconds(heard[1].GetInt() + 1));
    }
  }
  answer.mFailing = ParseTexts(it->value[4]);
  return answer;
}

std::set<std::string>
ParseUnreached(const rapidjson::Value& aMessage)
{
  const auto it = aMessage.FindMember(kUnreachedName);
  if (it == aMessage.MemberEnd() || !it->value.IsArray()) {
    return {};
  }
  std::set<std::string> services;
  for (const auto& service : it->value.GetArray()) {
    if (service.IsString()) {
      services.insert(ToText(service));
    }
  }
  return services;
}

} // namespace quetzalquay
