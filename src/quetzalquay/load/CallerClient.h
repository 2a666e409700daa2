#ifndef QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED
#define QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED

#include "core/Time.h"
#include "generated/messages.pb.h"
#include "generated/settings.pb.h"
#include "wire/HttpClient.h"

#include <string>
#include <vector>

namespace quetzalquay {

// One request to be made as a caller would.
struct CallerPlan
{
  const schema::LoadKind* mKind = nullptr;
  std::string mKey;
  std::string mPrompt;
  unsigned mSeed = 0;
  std::size_t mFirstRouter = 0;
};

// Makes requests as a patient caller does: reads the answer, and when the
// connection breaks comes back to the next router until the deadline, with the
// last event's id if it has read text. Records all that it sees.
class CallerClient
{
public:
  explicit CallerClient(std::vector<HttpAddress> aRouters);

  // Makes one request; aGaps gets the times between tokens in milliseconds.
  schema::CallerRecord Run(const CallerPlan& aPlan,
                           std::vector<float>& aGaps) const;

private:
  std::vector<HttpAddress> mRouters;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_LOAD_CALLERCLIENT_H_INCLUDED
