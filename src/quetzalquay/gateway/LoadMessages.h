#ifndef QUETZALQUAY_GATEWAY_LOADMESSAGES_H_INCLUDED
#define QUETZALQUAY_GATEWAY_LOADMESSAGES_H_INCLUDED

#include "core/DepartureNews.h"
#include "core/RetryBudget.h"
#include "core/RoomKeeper.h"
#include "core/StreamOrigins.h"
#include "core/TargetLimits.h"
#include "core/TargetRoom.h"
#include "core/TargetTable.h"

#include <cstdint>
#include <optional>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string>

namespace quetzalquay {

using MessageWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// Entries of the lists in the datagrams between hosts. Hosts of several builds
// exchange them, so a format keeps the order and the meaning of its elements;
// see docs/protocols/formats.md. A reader returns nothing for an entry that it
// cannot read.

// "load": target, running requests, backlog tokens, held tokens, and, where it
// is known, how much longer streams take there than usual, in hundredths.
void
WriteLoadEntry(MessageWriter& aWriter, const TargetLoad& aLoad);
std::optional<TargetLoad>
ParseLoadEntry(const rapidjson::Value& aEntry);

// "lost": target, and milliseconds since it was lost.
void
WriteLostEntry(MessageWriter& aWriter,
               const TargetTable::LostTarget& aLost,
               Time aNow);
std::optional<TargetTable::LostTarget>
ParseLostEntry(const rapidjson::Value& aEntry, Time aNow);

// "totals" and "limit_totals": service or target, first attempts and retries
// since the start.
void
WriteTotalsEntry(MessageWriter& aWriter, const SendTotals& aTotals);
std::optional<SendTotals>
ParseTotalsEntry(const rapidjson::Value& aEntry);

// Asks for parts of a budget, and grants of them: service or target, ask and
// number of retries.
void
WriteRetryEntry(MessageWriter& aWriter,
                const std::string& aService,
                std::uint64_t aAsk,
                int aCount);
std::optional<RetryGrant>
ParseRetryEntry(const rapidjson::Value& aEntry);

// "limits": target, requests a second or -1, and milliseconds since the target
// said so.
void
WriteLimitEntry(MessageWriter& aWriter, const LimitReport& aReport, Time aNow);
std::optional<LimitReport>
ParseLimitEntry(const rapidjson::Value& aEntry, Time aNow);

// "brittle": target, requests that it can turn away in a second or 0, and
// milliseconds since it said so.
void
WriteBrittleEntry(MessageWriter& aWriter,
                  const BrittleReport& aReport,
                  Time aNow);
std::optional<BrittleReport>
ParseBrittleEntry(const rapidjson::Value& aEntry, Time aNow);

// "room": target, number of the message, ask, resolved ask, requests under way
// and rejections.
void
WriteRoomEntry(MessageWriter& aWriter, const RoomMessage& aMessage);
std::optional<RoomMessage>
ParseRoomEntry(const rapidjson::Value& aEntry);

// "room_answers": target, ask and the answer's name.
struct RoomAnswerEntry
{
  std::string mTarget;
  std::uint64_t mAsk = 0;
  RoomAnswer mAnswer = RoomAnswer::Granted;
};

void
WriteRoomAnswerEntry(MessageWriter& aWriter, const RoomAnswerEntry& aAnswer);
std::optional<RoomAnswerEntry>
ParseRoomAnswerEntry(const rapidjson::Value& aEntry);

// "streams": key, service, software version and attempt, which builds from
// 551d6f0 on left out.
void
WriteOriginEntry(MessageWriter& aWriter, const StreamOrigin& aOrigin);
std::optional<StreamOrigin>
ParseOriginEntry(const rapidjson::Value& aEntry);

// "gone", all texts: target, incarnation, the target that replaced it and that
// one's incarnation.
void
WriteDepartureEntry(MessageWriter& aWriter, const TargetDeparture& aDeparture);
std::optional<TargetDeparture>
ParseDepartureEntry(const rapidjson::Value& aEntry);

// "suspects": request, milliseconds since it was cleared or -1, and its lost
// runs. Elements of a lost run: death, place, milliseconds since the run
// started and since the target died.
void
WriteSuspectEntry(MessageWriter& aWriter,
                  const SuspectReport& aReport,
                  Time aNow);
std::optional<SuspectReport>
ParseSuspectEntry(const rapidjson::Value& aEntry, Time aNow);

// "convicted": milliseconds since a trial convicted a set of suspects, and its
// members.
void
WriteConvictionEntry(MessageWriter& aWriter,
                     const ConvictionReport& aReport,
                     Time aNow);
std::optional<ConvictionReport>
ParseConvictionEntry(const rapidjson::Value& aEntry, Time aNow);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_LOADMESSAGES_H_INCLUDED
