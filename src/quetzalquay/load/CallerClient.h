#ifndef QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED
#define QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED

#include "core/Time.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "wire/HttpClient.h"

#include <string>
#include <vector>

namespace quetzalquay {

// One request of the simulated load.
struct PlannedRequest
{
  const schema::LoadKind* mKind = nullptr;
  // Idempotency key of the request.
  std::string mIdempotencyKey;
  std::string mPrompt;
  unsigned mSeed = 0;
  // Index of the router that gets the first attempt.
  std::size_t mFirstRouter = 0;
};

// Sends requests and records their responses. When a connection breaks, it
// reconnects to the next router until the request's deadline, sending the ID of
// the last event that it has read, if any.
class CallerClient
{
public:
  explicit CallerClient(std::vector<HttpAddress> aRouters);

  // Runs one request to its end. Appends the times between tokens, in
  // milliseconds, to aTokenGapsMs.
  schema::CallerRecord Run(const PlannedRequest& aPlan,
                           std::vector<float>& aTokenGapsMs) const;

private:
  std::vector<HttpAddress> mRouters;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED
