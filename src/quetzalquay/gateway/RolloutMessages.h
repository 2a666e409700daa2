#ifndef QUETZALQUAY_GATEWAY_ROLLOUTMESSAGES_H_INCLUDED
#define QUETZALQUAY_GATEWAY_ROLLOUTMESSAGES_H_INCLUDED

#include "core/rollout/RolloutOrder.h"
#include "core/rollout/RunOutcomes.h"
#include "gateway/LoadMessages.h"

#include <optional>
#include <rapidjson/document.h>

namespace quetzalquay {

// Entries of the lists about rollouts in the datagrams between hosts; see
// docs/protocols/formats.md. A reader returns nothing for an entry that it
// cannot read.

// "rollout_reports": service, order, version, milliseconds since the order and
// until its deadline, stage, share in millionths, targets of the version and
// others, requests under way at other versions, how long requests there have
// lasted, and a list with an entry for each route and target: route, target,
// sent, failed and lost requests, times to the first output, and times that
// requests have waited for it. Times are pairs of a bucket and a count.
void
WriteRolloutReport(MessageWriter& aWriter, const RolloutReport& aReport);
std::optional<RolloutReport>
ParseRolloutReport(const rapidjson::Value& aEntry);

// "rollouts": service, order, version, milliseconds since the order and until
// its deadline, stage, share in millionths, requests, and those of them that
// the version got.
void
WriteRolloutDirective(MessageWriter& aWriter,
                      const RolloutDirective& aDirective);
std::optional<RolloutDirective>
ParseRolloutDirective(const rapidjson::Value& aEntry);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_ROLLOUTMESSAGES_H_INCLUDED
