#include "load/LoadReport.h"

#include "history/HistoryChecker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace quetzalquay {

namespace {

// Whether a fault interrupts the streams of a target.
bool
InterruptsStreams(const schema::FaultRecord& aFault)
{
  return aFault.kind() == "die" || aFault.kind() == "pause" ||
         aFault.kind() == "cut";
}

// Longest time, in milliseconds, from a fault that interrupts streams to the
// caller's next token. Zero when no recorded gap contains such a fault. Faults
// of all targets count, not only those of the targets that ran the request.
double
LongestGapAfterLossMs(const schema::History& aHistory,
                      const schema::CallerRecord& aCaller)
{
  double longest = 0;
  for (const auto& gap : aCaller.gaps()) {
    for (const auto& fault : aHistory.faults()) {
      if (InterruptsStreams(fault) && gap.from() <= fault.at() &&
          fault.at() <= gap.to()) {
        longest = std::max(longest, gap.to() - fault.at());
      }
    }
  }
  return longest;
}

// Times, in milliseconds, from the loss of a target to the caller's next token.
// A stream counts if one of its recorded gaps contains a fault. A stream that a
// later attempt continued counts in any case; if none of its recorded gaps
// contains a fault, it counts with its longest gap, which may be too short to
// be recorded.
std::vector<float>
ResumeTimesMs(const schema::History& aHistory)
{
  std::set<std::string> continued;
  for (const auto& it : aHistory.targets()) {
    if (it.attempt() > 1 && it.resumed_at() > 0) {
      continued.insert(it.request_id());
    }
  }
  std::vector<float> times;
  for (const auto& caller : aHistory.callers()) {
    double gapMs = LongestGapAfterLossMs(aHistory, caller);
    const bool wasContinued = continued.count(caller.request_id()) != 0;
    if (wasContinued && gapMs == 0) {
      gapMs = caller.longest_gap_ms();
    }
    if (gapMs > 0) {
      times.push_back(static_cast<float>(gapMs));
    }
  }
  return times;
}

void
AddCounts(const std::map<std::string, int>& aCounts,
          google::protobuf::RepeatedPtrField<schema::CountEntry>& aEntries)
{
  for (const auto& it : aCounts) {
    auto* entry = aEntries.Add();
    entry->set_name(it.first);
    entry->set_count(it.second);
  }
}

std::string
FormatQuantiles(const char* aName, const schema::Quantiles& aValues)
{
  std::array<char, 160> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%-14s n=%-7d p50=%8.1f p95=%8.1f p99=%8.1f max=%8.1f\n",
                aName,
                aValues.samples(),
                aValues.p50(),
                aValues.p95(),
                aValues.p99(),
                aValues.max());
  return buf.data();
}

std::string
FormatCounts(
  const char* aName,
  const google::protobuf::RepeatedPtrField<schema::CountEntry>& aEntries)
{
  std::string line = std::string(aName) + ":";
  for (const auto& it : aEntries) {
    line += " " + it.name() + "=" + std::to_string(it.count());
  }
  return line + (aEntries.empty() ? " none\n" : "\n");
}

// Tokens prefilled by first attempts, and tokens prefilled again by later
// attempts, after losses.
std::pair<double, double>
SumPrefillTokens(const schema::History& aHistory)
{
  double first = 0;
  double again = 0;
  for (const auto& it : aHistory.targets()) {
    const bool firstAttempt = it.attempt() <= 1 && it.resumed_at() == 0;
    (firstAttempt ? first : again) += it.computed_prefill();
  }
  return { first, again };
}

} // namespace

schema::Quantiles
ComputeQuantiles(std::vector<float> aSamples)
{
  schema::Quantiles result;
  result.set_samples(static_cast<int>(aSamples.size()));
  if (aSamples.empty()) {
    return result;
  }
  std::sort(aSamples.begin(), aSamples.end());
  const auto at = [&aSamples](double aQuantile) {
    const double rank =
      std::ceil(aQuantile * static_cast<double>(aSamples.size())) - 1;
    return static_cast<double>(aSamples[static_cast<std::size_t>(rank)]);
  };
  result.set_p50(at(0.50));
  result.set_p95(at(0.95));
  result.set_p99(at(0.99));
  result.set_max(aSamples.back());
  return result;
}

schema::LoadResult
MakeLoadResult(const std::string& aName,
               const schema::History& aHistory,
               const std::vector<float>& aTokenGapsMs,
               double aSeconds)
{
  schema::LoadResult result;
  result.set_name(aName);
  result.set_seed(aHistory.seed());
  result.set_requests(aHistory.callers_size());
  result.set_seconds(aSeconds);
  std::vector<float> firstTokenTimesMs;
  std::map<std::string, int> errors;
  std::map<std::string, int> completeByWorkspace;
  double tokens = 0;
  for (const auto& it : aHistory.callers()) {
    result.set_reconnects(result.reconnects() + it.reconnects());
    tokens += it.tokens();
    if (it.first_token_ms() > 0) {
      firstTokenTimesMs.push_back(static_cast<float>(it.first_token_ms()));
    }
    if (it.complete()) {
      result.set_complete(result.complete() + 1);
      ++completeByWorkspace[it.workspace()];
    } else {
      result.set_failed(result.failed() + 1);
      ++errors[it.error_code() + "/" + it.run()];
    }
  }
  std::map<std::string, int> findings;
  for (const Finding& it : CheckHistory(aHistory)) {
    ++findings[std::string(NameOf(it.mKind))];
  }
  int engineDeaths = 0;
  for (const auto& it : aHistory.faults()) {
    engineDeaths += it.kind() == "die" ? 1 : 0;
  }
  result.set_engine_deaths(engineDeaths);
  result.set_tokens(tokens);
  result.set_tokens_per_second(tokens / std::max(aSeconds, 0.001));
  *result.mutable_first_token_ms() =
    ComputeQuantiles(std::move(firstTokenTimesMs));
  *result.mutable_gap_ms() = ComputeQuantiles(aTokenGapsMs);
  *result.mutable_resume_ms() = ComputeQuantiles(ResumeTimesMs(aHistory));
  result.set_extra_decode_ratio((aHistory.decode_tokens() - tokens) /
                                std::max(tokens, 1.0));
  const auto prefill = SumPrefillTokens(aHistory);
  result.set_extra_prefill_ratio(prefill.second / std::max(prefill.first, 1.0));
  AddCounts(errors, *result.mutable_errors());
  AddCounts(findings, *result.mutable_findings());
  AddCounts(completeByWorkspace, *result.mutable_complete_by_workspace());
  return result;
}

std::string
FormatLoadResult(const schema::LoadResult& aResult)
{
  std::array<char, 400> buf{};
  std::snprintf(buf.data(),
                buf.size(),
                "%s seed=%u: %d requests, %d complete, %d failed, %d "
                "reconnects, %d engine deaths, %.1f s, %.0f tokens/s\n",
                aResult.name().c_str(),
                aResult.seed(),
                aResult.requests(),
                aResult.complete(),
                aResult.failed(),
                aResult.reconnects(),
                aResult.engine_deaths(),
                aResult.seconds(),
                aResult.tokens_per_second());
  std::string text = buf.data();
  text += FormatQuantiles("first_token_ms", aResult.first_token_ms());
  text += FormatQuantiles("gap_ms", aResult.gap_ms());
  text += FormatQuantiles("resume_ms", aResult.resume_ms());
  std::snprintf(buf.data(),
                buf.size(),
                "extra decode %.4f, extra prefill %.4f\n",
                aResult.extra_decode_ratio(),
                aResult.extra_prefill_ratio());
  text += buf.data();
  text += FormatCounts("errors", aResult.errors());
  text += FormatCounts("findings", aResult.findings());
  return text;
}

} // namespace quetzalquay
