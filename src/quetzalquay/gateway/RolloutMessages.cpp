#include "gateway/RolloutMessages.h"

#include "http/ListReader.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace quetzalquay {

namespace {

// Bounds of what other hosts tell. Sums over all hosts stay within their types.
constexpr std::int64_t kMaxCount = 1000000000;
constexpr std::int64_t kMaxMs = 86400000;

constexpr std::int64_t kShareUnit = 1000000;

// Entries for routes and targets in one report, so that it fits a datagram.
constexpr std::size_t kMaxOutcomes = 300;

void
WriteText(MessageWriter& aWriter, const std::string& aText)
{
  aWriter.String(aText.c_str(), static_cast<rapidjson::SizeType>(aText.size()));
}

void
WriteMs(MessageWriter& aWriter, Duration aTime)
{
  aWriter.Int64(std::clamp<std::int64_t>(
    std::llround(ToMilliseconds(aTime)), -kMaxMs, kMaxMs));
}

Duration
ReadMs(ListReader& aReader)
{
  return std::chrono::milliseconds(aReader.Integer(-kMaxMs, kMaxMs));
}

void
WriteStage(MessageWriter& aWriter, RolloutStage aStage, double aShare)
{
  WriteText(aWriter, std::string(NameOf(aStage)));
  aWriter.Int64(std::llround(aShare * static_cast<double>(kShareUnit)));
}

// Returns whether the stage is known.
bool
ReadStage(ListReader& aReader, RolloutStage& aStage, double& aShare)
{
  const auto stage = RolloutStageOf(aReader.Text());
  aStage = stage.value_or(RolloutStage::Trial);
  aShare = static_cast<double>(aReader.Integer(0, kShareUnit)) /
           static_cast<double>(kShareUnit);
  return stage.has_value();
}

void
WriteBuckets(MessageWriter& aWriter, const DurationBuckets& aBuckets)
{
  aWriter.StartArray();
  for (std::size_t n = 0; n < DurationBuckets::kCount; ++n) {
    if (aBuckets.Counts()[n] != 0) {
      aWriter.Uint64(n);
      aWriter.Int64(aBuckets.Counts()[n]);
    }
  }
  aWriter.EndArray();
}

// Returns whether the buckets could be read.
bool
ReadBuckets(ListReader& aReader, DurationBuckets& aBuckets)
{
  const rapidjson::Value* list = aReader.List();
  if (list == nullptr || list->Size() > 2 * DurationBuckets::kCount) {
    return false;
  }
  ListReader pairs(*list);
  for (rapidjson::SizeType n = 0; n + 1 < list->Size(); n += 2) {
    const auto bucket =
      static_cast<std::size_t>(pairs.Integer(0, DurationBuckets::kCount - 1));
    aBuckets.Add(bucket, pairs.Integer(0, kMaxCount));
  }
  return pairs.IsValid();
}

bool
ReadOutcomes(const rapidjson::Value& aEntry, RolloutReport& aReport)
{
  ListReader reader(aEntry);
  std::string route = reader.Text();
  std::string target = reader.Text();
  RunOutcomes outcomes;
  outcomes.mSent = reader.Integer(0, kMaxCount);
  outcomes.mFailed = reader.Integer(0, kMaxCount);
  outcomes.mLost = reader.Integer(0, kMaxCount);
  const bool read = ReadBuckets(reader, outcomes.mFirstOutput) &&
                    ReadBuckets(reader, outcomes.mWaiting);
  aReport.mOutcomes[{ std::move(route), std::move(target) }].Add(outcomes);
  return read && reader.IsValid();
}

} // namespace

void
WriteRolloutReport(MessageWriter& aWriter, const RolloutReport& aReport)
{
  aWriter.StartArray();
  WriteText(aWriter, aReport.mService);
  aWriter.Uint64(aReport.mOrder);
  WriteText(aWriter, aReport.mVersion);
  WriteMs(aWriter, aReport.mAge);
  WriteMs(aWriter, aReport.mLeft);
  WriteStage(aWriter, aReport.mStage, aReport.mShare);
  aWriter.Int(aReport.mNewTargets);
  aWriter.Int(aReport.mOldTargets);
  aWriter.Int64(std::max<std::int64_t>(0, aReport.mOldOpen));
  WriteBuckets(aWriter, aReport.mOldDurations);
  aWriter.StartArray();
  std::size_t count = 0;
  for (const auto& it : aReport.mOutcomes) {
    if (++count > kMaxOutcomes) {
      break;
    }
    aWriter.StartArray();
    WriteText(aWriter, it.first.first);
    WriteText(aWriter, it.first.second);
    aWriter.Int64(it.second.mSent);
    aWriter.Int64(it.second.mFailed);
    aWriter.Int64(it.second.mLost);
    WriteBuckets(aWriter, it.second.mFirstOutput);
    WriteBuckets(aWriter, it.second.mWaiting);
    aWriter.EndArray();
  }
  aWriter.EndArray();
  aWriter.EndArray();
}

std::optional<RolloutReport>
ParseRolloutReport(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  RolloutReport report;
  report.mService = reader.Text();
  report.mOrder = reader.Id();
  report.mVersion = reader.Text();
  report.mAge = ReadMs(reader);
  report.mLeft = ReadMs(reader);
  bool read = ReadStage(reader, report.mStage, report.mShare);
  report.mNewTargets = reader.Count();
  report.mOldTargets = reader.Count();
  report.mOldOpen = reader.Integer(0, kMaxCount);
  read = ReadBuckets(reader, report.mOldDurations) && read;
  const rapidjson::Value* outcomes = reader.List();
  if (outcomes == nullptr || !read || !reader.IsValid() ||
      report.mService.empty() || report.mVersion.empty()) {
    return std::nullopt;
  }
  for (const auto& it : outcomes->GetArray()) {
    if (!ReadOutcomes(it, report)) {
      return std::nullopt;
    }
  }
  return report;
}

void
WriteRolloutDirective(MessageWriter& aWriter,
                      const RolloutDirective& aDirective)
{
  aWriter.StartArray();
  WriteText(aWriter, aDirective.mService);
  aWriter.Uint64(aDirective.mOrder);
  WriteText(aWriter, aDirective.mVersion);
  WriteMs(aWriter, aDirective.mAge);
  WriteMs(aWriter, aDirective.mLeft);
  WriteStage(aWriter, aDirective.mStage, aDirective.mShare);
  aWriter.Int64(aDirective.mRequests);
  aWriter.Int64(aDirective.mExposed);
  aWriter.EndArray();
}

std::optional<RolloutDirective>
ParseRolloutDirective(const rapidjson::Value& aEntry)
{
  ListReader reader(aEntry);
  RolloutDirective directive;
  directive.mService = reader.Text();
  directive.mOrder = reader.Id();
  directive.mVersion = reader.Text();
  directive.mAge = ReadMs(reader);
  directive.mLeft = ReadMs(reader);
  const bool read = ReadStage(reader, directive.mStage, directive.mShare);
  directive.mRequests = reader.Integer(0, kMaxCount);
  directive.mExposed = reader.Integer(0, kMaxCount);
  const bool valid = read && reader.IsValid() && !directive.mService.empty() &&
                     !directive.mVersion.empty();
  return valid ? std::make_optional(std::move(directive)) : std::nullopt;
}

} // namespace quetzalquay
