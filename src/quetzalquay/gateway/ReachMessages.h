#ifndef QUETZALQUAY_GATEWAY_REACHMESSAGES_H_INCLUDED
#define QUETZALQUAY_GATEWAY_REACHMESSAGES_H_INCLUDED

#include "core/TargetReach.h"

#include <optional>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <set>
#include <string>
#include <vector>

namespace quetzalquay {

using ReachWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// Members of the datagrams between hosts that tell which targets each of them
// reaches: "reach_ask", "reach_answer" and "unreached".

// An ask as another host receives it.
struct ReceivedReachAsk
{
  std::string mService;
  std::uint64_t mId = 0;
  std::vector<std::string> mTargets;
};

void
WriteReachAsk(ReachWriter& aWriter, const ReachAsk& aAsk);

void
WriteReachAnswer(ReachWriter& aWriter, const ReachAnswer& aAnswer);

// Writes the services from whose targets a host is or may be cut off; nothing
// if there are none.
void
WriteUnreached(ReachWriter& aWriter, const std::vector<std::string>& aServices);

// Nothing if a message has none, or an invalid one.
std::optional<ReceivedReachAsk>
ParseReachAsk(const rapidjson::Value& aMessage);

std::optional<ReachAnswer>
ParseReachAnswer(const rapidjson::Value& aMessage);

// Names of these members that a message has and that cannot be read.
std::vector<const char*>
UnreadableReachMembers(const rapidjson::Value& aMessage);

std::set<std::string>
ParseUnreached(const rapidjson::Value& aMessage);

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_REACHMESSAGES_H_INCLUDED
