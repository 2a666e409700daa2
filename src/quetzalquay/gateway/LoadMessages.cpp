#include "gateway/LoadMessages.h"

#include "http/ListReader.h"

#include <algorithm>

namespace quetzalquay {

namespace {

using std::chrono::milliseconds;

constexpr double kNoLimit = -1;
constexpr int kNotCleared = -1;

// Largest numbers that are taken from other hosts, so that sums over all hosts
// cannot overflow.
constexpr int kMaxCount = 1000000;
constexpr int kMaxPace = 100000;
constexpr std::int64_t kMaxTotal = 1000000000000000;
constexpr double kMaxRate = 1e9;

constexpr std::int64_t kMaxAgeMs = std::numeric_limits<int>::max();

void
WriteText(MessageWriter& aWriter, std::string_view aText)
{
  aWriter.String(aText.data(), static_cast<rapidjson::SizeType>(aText.size()));
}

void
WriteAge(MessageWriter& aWriter, Time aAt, Time aNow)
{
  const double age = ToMilliseconds(aNow - aAt);
  aWriter.Int(
    static_cast<int>(std::clamp(age, 0.0, static_cast<double>(kMaxAgeMs))));
}

// Reads the milliseconds since a moment.
Time
ReadMoment(ListReader& aReader, Time aNow)
{
  return aNow - milliseconds(aReader.Integer(0, kMaxAgeMs));
}

template<typename Entry>
std::optional<Entry>
IfValid(const ListReader& aReader, Entry aEntry)
{
  return aReader.IsValid() ? std::make_optional(std::move(aEntry))
                           : std::nullopt;
}

std::optional<LostRun>
ParseLostRun(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  LostRun run;
  run.mDeath.mId = reader.Id();
  run.mDeath.mPlace = reader.Id();
  run.mStartedAt = ReadMoment(reader, aNow);
  run.mDeath.mAt = ReadMoment(reader, aNow);
  return IfValid(reader, run);
}

} // namespace

void
WriteLoadEntry(MessageWriter& aWriter, const TargetLoad& aLoad)
{
  aWriter.StartArray();
  WriteText(aWriter, aLoad.mTarget);
  aWriter.Int(aLoad.mRunning);
  aWriter.Int(aLoad.mBacklogTokens);
  aWriter.Int(aLoad.mHeldTokens);
  if (aLoad.mPace > 0) {
    aWriter.Int(aLoad.mPace);
  }
  aWriter.EndArray();
}

std::optional<TargetLoad>
ParseLoadEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  TargetLoad load;
  load.mTarget = reader.Text();
  load.mRunning = reader.Count();
  load.mBacklogTokens = reader.Count();
  load.mHeldTokens = reader.Count();
  // A later build may tell something else there.
  constexpr rapidjson::SizeType kPace = 4;
  if (reader.IsValid() && aEntry.Size() > kPace && aEntry[kPace].IsInt() &&
      aEntry[kPace].GetInt() > 0 && aEntry[kPace].GetInt() <= kMaxPace) {
    load.mPace = aEntry[kPace].GetInt();
  }
  return IfValid(reader, std::move(load));
}

void
WriteLostEntry(MessageWriter& aWriter,
               const TargetTable::LostTarget& aLost,
               Time aNow)
{
  aWriter.StartArray();
  WriteText(aWriter, aLost.mTarget);
  WriteAge(aWriter, aLost.mAt, aNow);
  aWriter.EndArray();
}

std::optional<TargetTable::LostTarget>
ParseLostEntry(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  TargetTable::LostTarget lost;
  lost.mTarget = reader.Text();
  lost.mAt = ReadMoment(reader, aNow);
  return IfValid(reader, std::move(lost));
}

void
WriteTotalsEntry(MessageWriter& aWriter, const SendTotals& aTotals)
{
  aWriter.StartArray();
  WriteText(aWriter, aTotals.mService);
  aWriter.Int64(aTotals.mFirstAttempts);
  aWriter.Int64(aTotals.mRetries);
  aWriter.EndArray();
}

std::optional<SendTotals>
ParseTotalsEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  SendTotals totals;
  totals.mService = reader.Text();
  totals.mFirstAttempts = reader.Integer(0, kMaxTotal);
  totals.mRetries = reader.Integer(0, kMaxTotal);
  return IfValid(reader, std::move(totals));
}

void
WriteRetryEntry(MessageWriter& aWriter,
                const std::string& aService,
                std::uint64_t aAsk,
                int aCount)
{
  aWriter.StartArray();
  WriteText(aWriter, aService);
  aWriter.Uint64(aAsk);
  aWriter.Int(aCount);
  aWriter.EndArray();
}

std::optional<RetryGrant>
ParseRetryEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  RetryGrant entry;
  entry.mService = reader.Text();
  entry.mAsk = reader.Id();
  entry.mCount = reader.Count(kMaxCount);
  return IfValid(reader, std::move(entry));
}

void
WriteLimitEntry(MessageWriter& aWriter, const LimitReport& aReport, Time aNow)
{
  aWriter.StartArray();
  WriteText(aWriter, aReport.mTarget);
  aWriter.Double(aReport.mRequestsPerSecond.value_or(kNoLimit));
  WriteAge(aWriter, aReport.mSaidAt, aNow);
  aWriter.EndArray();
}

std::optional<LimitReport>
ParseLimitEntry(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  LimitReport report;
  report.mTarget = reader.Text();
  const double limit = reader.Number(kNoLimit, kMaxRate);
  if (limit >= 0) {
    report.mRequestsPerSecond = limit;
  }
  report.mSaidAt = ReadMoment(reader, aNow);
  return IfValid(reader, std::move(report));
}

void
WriteBrittleEntry(MessageWriter& aWriter,
                  const BrittleReport& aReport,
                  Time aNow)
{
  aWriter.StartArray();
  WriteText(aWriter, aReport.mTarget);
  aWriter.Int(aReport.mRejections.value_or(0));
  WriteAge(aWriter, aReport.mSaidAt, aNow);
  aWriter.EndArray();
}

std::optional<BrittleReport>
ParseBrittleEntry(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  BrittleReport report;
  report.mTarget = reader.Text();
  const int rejections = reader.Count();
  if (rejections > 0) {
    report.mRejections = rejections;
  }
  report.mSaidAt = ReadMoment(reader, aNow);
  return IfValid(reader, std::move(report));
}

void
WriteRoomEntry(MessageWriter& aWriter, const RoomMessage& aMessage)
{
  aWriter.StartArray();
  WriteText(aWriter, aMessage.mTarget);
  aWriter.Uint64(aMessage.mNumber);
  aWriter.Uint64(aMessage.mAsk);
  aWriter.Uint64(aMessage.mResolved);
  aWriter.Int(aMessage.mUnderWay);
  aWriter.Int64(aMessage.mRejected);
  aWriter.EndArray();
}

std::optional<RoomMessage>
ParseRoomEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  RoomMessage message;
  message.mTarget = reader.Text();
  message.mNumber = reader.Id();
  message.mAsk = reader.Id();
  message.mResolved = reader.Id();
  message.mUnderWay = reader.Count(kMaxCount);
  message.mRejected = reader.Integer(0, kMaxTotal);
  return IfValid(reader, std::move(message));
}

void
WriteRoomAnswerEntry(MessageWriter& aWriter, const RoomAnswerEntry& aAnswer)
{
  aWriter.StartArray();
  WriteText(aWriter, aAnswer.mTarget);
  aWriter.Uint64(aAnswer.mAsk);
  WriteText(aWriter, kRoomAnswerNames.NameOf(aAnswer.mAnswer));
  aWriter.EndArray();
}

std::optional<RoomAnswerEntry>
ParseRoomAnswerEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  RoomAnswerEntry entry;
  entry.mTarget = reader.Text();
  entry.mAsk = reader.Id();
  const auto answer = kRoomAnswerNames.ValueOf(reader.Text());
  entry.mAnswer = answer.value_or(RoomAnswer::NotKeeper);
  return answer ? IfValid(reader, std::move(entry)) : std::nullopt;
}

void
WriteOriginEntry(MessageWriter& aWriter, const StreamOrigin& aOrigin)
{
  aWriter.StartArray();
  aWriter.Uint64(aOrigin.mKey);
  WriteText(aWriter, aOrigin.mService);
  WriteText(aWriter, aOrigin.mSoftwareVersion);
  aWriter.Int(aOrigin.mAttempt);
  aWriter.EndArray();
}

std::optional<StreamOrigin>
ParseOriginEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  StreamOrigin origin;
  origin.mKey = reader.Id();
  origin.mService = reader.Text();
  origin.mSoftwareVersion = reader.Text();
  origin.mAttempt = static_cast<int>(
    reader.Integer(0, StreamOrigin::kBegun, StreamOrigin::kBegun));
  return IfValid(reader, std::move(origin));
}

void
WriteDepartureEntry(MessageWriter& aWriter, const TargetDeparture& aDeparture)
{
  aWriter.StartArray();
  for (const std::string* it : { &aDeparture.mTarget,
                                 &aDeparture.mIncarnation,
                                 &aDeparture.mSuccessor,
                                 &aDeparture.mSuccessorIncarnation }) {
    WriteText(aWriter, *it);
  }
  aWriter.EndArray();
}

std::optional<TargetDeparture>
ParseDepartureEntry(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  TargetDeparture departure;
  for (std::string* it : { &departure.mTarget,
                           &departure.mIncarnation,
                           &departure.mSuccessor,
                           &departure.mSuccessorIncarnation }) {
    *it = reader.Text();
  }
  return IfValid(reader, std::move(departure));
}

void
WriteSuspectEntry(MessageWriter& aWriter,
                  const SuspectReport& aReport,
                  Time aNow)
{
  aWriter.StartArray();
  aWriter.Uint64(aReport.mSuspect);
  if (aReport.mClearedAt) {
    WriteAge(aWriter, *aReport.mClearedAt, aNow);
  } else {
    aWriter.Int(kNotCleared);
  }
  aWriter.StartArray();
  for (const LostRun& it : aReport.mRuns) {
    aWriter.StartArray();
    aWriter.Uint64(it.mDeath.mId);
    aWriter.Uint64(it.mDeath.mPlace);
    WriteAge(aWriter, it.mStartedAt, aNow);
    WriteAge(aWriter, it.mDeath.mAt, aNow);
    aWriter.EndArray();
  }
  aWriter.EndArray();
  aWriter.EndArray();
}

std::optional<SuspectReport>
ParseSuspectEntry(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  SuspectReport report;
  report.mSuspect = reader.Id();
  const auto cleared = reader.Integer(kNotCleared, kMaxAgeMs);
  if (cleared >= 0) {
    report.mClearedAt = aNow - milliseconds(cleared);
  }
  const rapidjson::Value* runs = reader.List();
  if (runs == nullptr) {
    return std::nullopt;
  }
  for (const auto& it : runs->GetArray()) {
    const auto run = ParseLostRun(it, aNow);
    if (!run) {
      return std::nullopt;
    }
    report.mRuns.push_back(*run);
  }
  return IfValid(reader, std::move(report));
}

void
WriteConvictionEntry(MessageWriter& aWriter,
                     const ConvictionReport& aReport,
                     Time aNow)
{
  aWriter.StartArray();
  WriteAge(aWriter, aReport.mAt, aNow);
  aWriter.StartArray();
  for (const std::uint64_t it : aReport.mMembers) {
    aWriter.Uint64(it);
  }
  aWriter.EndArray();
  aWriter.EndArray();
}

std::optional<ConvictionReport>
ParseConvictionEntry(const rapidjson::Value& aEntry, Time aNow)
{
  ListReader reader(aEntry);
  ConvictionReport report;
  report.mAt = ReadMoment(reader, aNow);
  const rapidjson::Value* members = reader.List();
  // A set without members would refuse all requests.
  if (members == nullptr || members->Empty()) {
    return std::nullopt;
  }
  for (const auto& it : members->GetArray()) {
    if (!it.IsUint64()) {
      return std::nullopt;
    }
    report.mMembers.push_back(it.GetUint64());
  }
  return IfValid(reader, std::move(report));
}

} // namespace quetzalquay
