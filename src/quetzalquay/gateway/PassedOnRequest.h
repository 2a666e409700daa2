#ifndef QUETZALQUAY_GATEWAY_PASSEDONREQUEST_H_INCLUDED
#define QUETZALQUAY_GATEWAY_PASSEDONREQUEST_H_INCLUDED

#include "core/Failure.h"
#include "core/TargetChooser.h"
#include "core/Time.h"
#include "http/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// What the host that passes a request on tells the host that serves it, in
// header fields of their own; see docs/protocols/peers.md.
struct PassedOnRequest
{
  // Name of the passing host; empty for a caller's own request.
  std::string mFrom;
  // Configuration by which the passing host has admitted the request.
  std::int64_t mConfiguration = 0;
  // Time since the request arrived at the passing host.
  Duration mAge = Duration::zero();
  // Service that the passing host has chosen.
  std::string mService;
  // Software version of a stream that has begun; empty if it has not, or if the
  // passing host does not know it.
  std::string mSoftwareVersion;
  // Whether the stream began under the request's own ID, at whichever host.
  bool mResumed = false;
  // Number of attempts at the passing host, for logs.
  int mTries = 0;
  PriorAttempts mPrior;
  // Begins the lines that state runs in a stream, see FormatRunLine. No target
  // learns it, so that none can write such a line. Empty if the passing host
  // does not read them.
  std::string mRunMark;

  bool IsPassedOn() const { return !mFrom.empty(); }
};

// Formats the fields of a request.
std::string
FormatPassedOnRequest(const PassedOnRequest& aRequest);

// Parses the fields of a request. Returns nothing if one is missing or
// malformed.
std::optional<PassedOnRequest>
ParsePassedOnRequest(const HttpHead& aHead);

// Whether a field is one of those that hosts use among themselves, which
// neither callers nor targets get or may send.
bool
IsHostField(std::string_view aName);

// Removes these fields from a message.
void
RemoveHostFields(HttpHead& aHead);

// Path of the request by which a host finds out whether another one answers.
extern const char kHostCheckPath[];

// Why the serving host has refused a request that has not run.
enum class RefusedBy
{
  // The request, or the state of its service; another host may decide the same.
  Request,
  // The state of the serving host.
  Host,
};

// What the serving host tells the passing host in an answer.
struct PassedOnAnswer
{
  // Whether the answer is a failure of the serving host itself, and whether it
  // states that the request has not run there.
  bool mOwnFailure = false;
  bool mNotRun = false;
  RefusedBy mRefusedBy = RefusedBy::Request;
  // Attempts that may have run, there and before, if a failure or an interim
  // answer tells.
  int mRuns = 0;
  // Where a stream began; empty for other answers, or if it is not known.
  std::string mService;
  std::string mSoftwareVersion;
};

// Formats the fields of a failure of the serving host itself. aRuns is the
// number of attempts that may have run, there and before.
std::string
FormatHostFailure(RunVerdict aVerdict, RefusedBy aReason, int aRuns);

// Formats the field of an interim answer. aRuns is the number of attempts that
// may have run, with the one that begins.
std::string
FormatRunCount(int aRuns);

// Formats an event of a stream that states its runs, which callers don't get.
// Empty without a mark.
std::string
FormatRunLine(const std::string& aMark, int aRuns);

// The runs that an event states; nothing if it is an event of the stream.
std::optional<int>
ParseRunLine(const std::string& aMark, std::string_view aBytes);

// Formats the fields of a stream.
std::string
FormatStreamStart(const std::string& aService,
                  const std::string& aSoftwareVersion);

// Parses the head of an answer.
PassedOnAnswer
ParsePassedOnAnswer(const HttpHead& aHead);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_PASSEDONREQUEST_H_INCLUDED
