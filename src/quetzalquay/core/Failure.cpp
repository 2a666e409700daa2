#include "core/Failure.h"

#include "core/NameTable.h"

namespace quetzalquay {

namespace {

constexpr NameTable<RunVerdict, 3> kVerdictNames({ "not_run",
                                                   "ran",
                                                   "outcome_unknown" });

struct FailureInfo
{
  std::string_view mName;
  int mHttpStatus;
};

constexpr std::array<FailureInfo, 21> kFailureInfos = { {
  { "invalid_request", 400 },   { "unauthorized", 401 },
  { "unknown_model", 404 },     { "unknown_service", 404 },
  { "invalid_position", 400 },  { "rate_limited", 429 },
  { "overloaded", 503 },        { "no_target", 503 },
  { "deadline_exceeded", 504 }, { "generation_lost", 502 },
  { "version_gone", 502 },      { "version_unknown", 503 },
  { "already_claimed", 409 },   { "store_unavailable", 503 },
  { "suspected_poison", 422 },  { "outcome_unknown", 502 },
  { "stopping", 503 },          { "configuration_unknown", 503 },
  { "payload_too_large", 413 }, { "not_found", 404 },
  { "internal", 500 },
} };

const FailureInfo&
InfoOf(FailureCode aCode)
{
  return kFailureInfos[static_cast<std::size_t>(aCode)];
}

} // namespace

std::string_view
NameOf(RunVerdict aVerdict)
{
  return kVerdictNames.NameOf(aVerdict);
}

std::optional<RunVerdict>
ParseRunVerdict(std::string_view aName)
{
  return kVerdictNames.ValueOf(aName);
}

std::string_view
NameOf(FailureCode aCode)
{
  return InfoOf(aCode).mName;
}

int
HttpStatusOf(FailureCode aCode)
{
  return InfoOf(aCode).mHttpStatus;
}

} // namespace quetzalquay
