#ifndef QUETZALQUAY_CORE_FAILURE_H_INCLUDED
#define QUETZALQUAY_CORE_FAILURE_H_INCLUDED

#include "core/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// Whether a failed request was executed by a target.
enum class RunVerdict
{
  NotRun,
  Ran,
  OutcomeUnknown,
};

// Reason for a request's failure, as reported to its caller.
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
  // No target has the version of the stream.
  VersionGone,
  // The software version that began a stream is not known.
  VersionUnknown,
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

// Returns the name of a verdict in responses, for example "not_run".
std::string_view
NameOf(RunVerdict aVerdict);

// Returns the verdict with the given name, or nothing if there is none.
std::optional<RunVerdict>
ParseRunVerdict(std::string_view aName);

// Returns the name of a failure in responses, for example
// "deadline_exceeded".
std::string_view
NameOf(FailureCode aCode);

int
HttpStatusOf(FailureCode aCode);

// Error response that ends a request.
struct Failure
{
  FailureCode mCode = FailureCode::InvalidRequest;
  RunVerdict mVerdict = RunVerdict::NotRun;
  std::string mMessage;
  // Delay before the caller should retry; zero when a retry cannot help.
  Duration mRetryAfter = Duration::zero();
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_FAILURE_H_INCLUDED
