#include "gateway/ReachMessages.h"

#include "http/ListReader.h"

#include <limits>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr char kAskName[] = "reach_ask";
constexpr char kAnswerName[] = "reach_answer";
constexpr char kUnreachedName[] = "unreached";

// One less than the largest number, since the age is rounded up.
constexpr int kMaxHeardAgeMs = std::numeric_limits<int>::max() - 1;

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

// Elements: service, ask and targets.
std::optional<ReceivedReachAsk>
ParseReachAsk(const rapidjson::Value& aMessage)
{
  const auto it = aMessage.FindMember(kAskName);
  if (it == aMessage.MemberEnd()) {
    return std::nullopt;
  }
  ListReader reader(it->value);
  ReceivedReachAsk ask;
  ask.mService = reader.Text();
  ask.mId = reader.Id();
  const rapidjson::Value* targets = reader.List();
  if (!reader.IsValid()) {
    return std::nullopt;
  }
  ask.mTargets = ParseTexts(*targets);
  return ask;
}

// Elements: service, ask, state, targets that were heard, and failing targets.
// Elements of a heard target: its name and the milliseconds since it was heard.
std::optional<ReachAnswer>
ParseReachAnswer(const rapidjson::Value& aMessage)
{
  const auto it = aMessage.FindMember(kAnswerName);
  if (it == aMessage.MemberEnd()) {
    return std::nullopt;
  }
  ListReader reader(it->value);
  ReachAnswer answer;
  answer.mService = reader.Text();
  answer.mAsk = reader.Id();
  const auto state = kReachStateNames.ValueOf(reader.Text());
  const rapidjson::Value* heard = reader.List();
  const rapidjson::Value* failing = reader.List();
  if (!reader.IsValid() || !state) {
    return std::nullopt;
  }
  answer.mState = *state;
  for (const auto& element : heard->GetArray()) {
    ListReader target(element);
    std::string name = target.Text();
    const int age = target.Count(kMaxHeardAgeMs);
    if (target.IsValid() &&
        answer.mHeard.size() < TargetReach::kMaxAskedTargets) {
      // Rounded up, so that the target is never held for heard later.
      answer.mHeard.emplace_back(std::move(name), milliseconds(age + 1));
    }
  }
  answer.mFailing = ParseTexts(*failing);
  return answer;
}

std::vector<const char*>
UnreadableReachMembers(const rapidjson::Value& aMessage)
{
  std::vector<const char*> names;
  if (aMessage.HasMember(kAskName) && !ParseReachAsk(aMessage)) {
    names.push_back(kAskName);
  }
  if (aMessage.HasMember(kAnswerName) && !ParseReachAnswer(aMessage)) {
    names.push_back(kAnswerName);
  }
  const auto unreached = aMessage.FindMember(kUnreachedName);
  if (unreached != aMessage.MemberEnd() && !unreached->value.IsArray()) {
    names.push_back(kUnreachedName);
  }
  return names;
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
