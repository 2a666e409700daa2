#ifndef QUETZALQUAY_CORE_ROOMKEEPER_H_INCLUDED
#define QUETZALQUAY_CORE_ROOMKEEPER_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace quetzalquay {

// What a brittle target can hold.
struct RoomLimits
{
  // Requests that it runs at the same time; zero if unknown.
  int mSlots = 0;
  // Requests that it can turn away in one second; one more and it falls over.
  int mRejections = 1;
};

// What a host tells the keeper of a target's room.
struct RoomMessage
{
  std::string mTarget;
  // Counts the messages of one start of the host.
  std::uint64_t mNumber = 0;
  // Identifies what the host asks for; zero if it asks for nothing.
  std::uint64_t mAsk = 0;
  // Asks up to this one have been answered or given up.
  std::uint64_t mResolved = 0;
  // Requests that the host has under way at the target, and grants that it has
  // not used yet.
  int mUnderWay = 0;
  // Requests of the host that the target has turned away since the host
  // started.
  std::int64_t mRejected = 0;
};

// What a keeper answers to an ask.
enum class RoomAnswer
{
  Granted,
  // There is no room yet; Granted follows when there is.
  Queued,
  // Another host is the keeper.
  NotKeeper,
};

constexpr NameTable<RoomAnswer, 3> kRoomAnswerNames({ "granted",
                                                      "queued",
                                                      "not_keeper" });

// A queued ask that is granted.
struct RoomGrant
{
  std::string mHost;
  std::string mTarget;
  std::uint64_t mAsk = 0;
};

// Grants the room of brittle targets to the hosts of a fleet: no more requests
// under way than a target can hold, as it has shown by what it turned away.
// Each message of a host replaces what the one before said, so that lost
// messages are made up for. Performs no I/O; not thread-safe.
class RoomKeeper
{
public:
  // Time after which a host that is not heard from has nothing under way.
  static constexpr Duration kHostLifetime = std::chrono::milliseconds(3500);

  // Time without rejections after which a target is tried with one request
  // more than it could hold.
  static constexpr Duration kRaiseInterval = std::chrono::milliseconds(3000);

  // Handles what a host tells. What it asks for is granted or queued. Nothing
  // is granted before aGrantsFrom.
  RoomAnswer OnMessage(const std::string& aHost,
                       const RoomMessage& aMessage,
                       const RoomLimits& aLimits,
                       Time aGrantsFrom,
                       Time aNow);

  // Grants that have become possible by the last messages.
  std::vector<RoomGrant> TakeGrants();

  // Requests under way at a target, and those granted and not seen yet.
  int UnderWay(const std::string& aTarget, Time aNow) const;

  // Requests that a target is believed to hold.
  int CapacityOf(const std::string& aTarget, const RoomLimits& aLimits) const;

  // Forgets a target that is gone or has restarted.
  void Forget(const std::string& aTarget) { mTargets.erase(aTarget); }

private:
  struct Host
  {
    std::uint64_t mNumber = 0;
    int mUnderWay = 0;
    std::int64_t mRejected = 0;
    Time mHeardAt;
    // Grants that the host had not resolved in its last message.
    std::deque<std::uint64_t> mGrants;
  };

  struct QueuedAsk
  {
    std::string mHost;
    std::uint64_t mAsk = 0;
    Time mHeardAt;
  };

  struct Target
  {
    std::map<std::string, Host> mHosts;
    std::deque<QueuedAsk> mQueue;
    // Most requests that it could hold; zero until it has turned one away.
    int mCapacity = 0;
    Time mChangedAt;
    std::deque<Time> mRejections;
  };

  static bool Update(Target& aTarget,
                     const std::string& aHost,
                     const RoomMessage& aMessage,
                     const RoomLimits& aLimits,
                     Time aNow);
  static int UnderWay(const Target& aTarget, Time aNow);
  static void OnRejections(Target& aTarget,
                           std::int64_t aCount,
                           const RoomLimits& aLimits,
                           Time aNow);
  static bool HasRoom(Target& aTarget, const RoomLimits& aLimits, Time aNow);

  std::map<std::string, Target> mTargets;
  std::vector<RoomGrant> mGrants;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_ROOMKEEPER_H_INCLUDED
