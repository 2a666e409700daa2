#ifndef QUETZALQUAY_CORE_FAILURE_H_INCLUDED
#define QUETZALQUAY_CORE_FAILURE_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// Whether a failed request ran on a target.
enum class RunVerdict
{
  NotRun,
  Ran,
  OutcomeUnknown,
};

// Reason for which a request failed, as told to its caller.
enum class FailureCode
{
  InvalidRequest,
  Unauthorized,
  UnknownModel,
  UnknownService,
  InvalidPosition,
  RateLimited,
  Overloaded,
  NoTarget,
  DeadlineExceeded,
  GenerationLost,
  VersionGone,
  AlreadyClaimed,
  StoreUnavailable,
  SuspectedPoison,
  OutcomeUnknown,
  Stopping,
  ConfigurationUnknown,
  PayloadTooLarge,
  NotFound,
  Internal,
};

// Name of a verdict in answers, for example "not_run".
std::string_view
NameOf(RunVerdict aVerdict);

// Verdict with the given name, or nothing.
std::optional<RunVerdict>
ParseRunVerdict(std::string_view aName);

// Name of a failure in answers, for example "deadline_exceeded".
std::string_view
NameOf(FailureCode aCode);

// HTTP status that goes with a failure.
int
HttpStatusOf(FailureCode aCode);

// Final answer to a request that is not carried out.
struct Failure
{
  FailureCode mCode = FailureCode::InvalidRequest;
  RunVerdict mVerdict = RunVerdict::NotRun;
  std::string mMessage;
  // When the caller should come back; zero when a repeat cannot help.
  Duration mRetryAfter = Duration::zero();
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_FAILURE_H_INCLUDED
