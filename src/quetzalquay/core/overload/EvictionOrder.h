#ifndef QUETZALQUAY_CORE_OVERLOAD_EVICTIONORDER_H_INCLUDED
#define QUETZALQUAY_CORE_OVERLOAD_EVICTIONORDER_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace quetzalquay {

// What a connection is used for while no whole request of it is handled, in the
// order in which connections are closed for others.
enum class ConnectionUse
{
  // Its last response has been sent; it waits for the end of the peer.
  Ending,
  // It sends the body of a request that will be rejected.
  RejectedBody,
  // Nothing is known of its sender: it is silent, sends a head, or its last
  // request was rejected for its key or path.
  Unidentified,
  // It is idle after a request that needed no key.
  IdlePublic,
  // It is idle after a request with a valid key.
  IdleKeyed,
  // It sends the body of a request that needs no key.
  PublicBody,
  // It sends the body of a request with a valid key.
  KeyedBody,
  // The following are for connections that take a thread or wait for one, which
  // are not in an EvictionOrder: its response is not read.
  UnreadResponse,
  // Its request waits for a thread.
  WaitingRequest,
  Last,
};

// Name of a use in logs.
constexpr NameTable<ConnectionUse, 9> kConnectionUseNames({
  "ending",
  "rejected_body",
  "unidentified",
  "idle_public",
  "idle_keyed",
  "public_body",
  "keyed_body",
  "unread_response",
  "waiting_request",
});

// Times of a connection by which it is decided how long it is kept.
struct ConnectionTimes
{
  // When it was opened.
  Time mOpened;
  // When its present use began: a body's with its request.
  Time mSince;
  // When bytes arrived last.
  Time mLastInput;
  // Time for which it may be idle where there is room.
  Duration mIdleTimeout{};
};

// Time from which a connection may be closed for another one. Callers reuse
// connections that have been idle for up to four fifths of the idle timeout.
Time
EvictableFrom(ConnectionUse aUse, const ConnectionTimes& aTimes);

class EvictionOrder;

// Base class of connections that can be closed for others. Must be removed from
// its order before it is destroyed.
class Evictable
{
public:
  ConnectionUse Use() const { return mUse; }

private:
  friend class EvictionOrder;

  ConnectionUse mUse = ConnectionUse::Last;
  std::uint64_t mGroup = 0;
  // Whether it is out of the order while its request is handled.
  bool mIsBusy = false;
  // Time from which it may be closed, and a number by which equal times are
  // told apart.
  std::pair<Time, std::uint64_t> mKey;
};

// Decides which connection is closed when another one needs its descriptor or
// its memory. The uses go first; within a use, connections of the group with
// the most of them, and of these the one that could have been closed for the
// longest time. A group is a workspace, or an address where no key is known.
// Performs no I/O; not thread-safe.
class EvictionOrder
{
public:
  // Adds a connection, or changes its place. It may be closed from aFrom on.
  void Place(Evictable& aConnection,
             ConnectionUse aUse,
             std::uint64_t aGroup,
             Time aFrom);

  // Takes a connection out while its request is handled. It still counts for
  // its group. Does nothing if it is not there.
  void Suspend(Evictable& aConnection);

  // Removes a connection. Does nothing if it is not there.
  void Remove(Evictable& aConnection);

  // The connection to close for a new one, of which nothing is known yet; null
  // if the new one has to wait or be rejected. Senders that are not known push
  // out others only while they have less than a quarter of aLimit connections.
  // An idle connection of a group with more than half of them may be closed at
  // any time.
  Evictable* ForConnection(std::size_t aLimit, Time aNow) const;

  // The connection to close for the memory of a request whose body is of the
  // given use: one with a body of a lesser use at any age, or of the same use
  // if it may be closed; null if there is none.
  Evictable* ForBody(ConnectionUse aUse, Time aNow) const;

  // Connections of a use that are not suspended.
  std::size_t Count(ConnectionUse aUse) const;

  // Earliest time from which a connection of the uses of unknown senders may be
  // closed; Time::max() if there is none.
  Time NextUnknown() const;

private:
  using Queue = std::map<std::pair<Time, std::uint64_t>, Evictable*>;

  struct Group
  {
    std::size_t Size() const { return mQueue.size() + mBusy; }

    Queue mQueue;
    // Suspended connections.
    std::size_t mBusy = 0;
  };

  // Connections of one use.
  struct UseQueues
  {
    // Those that are not suspended.
    Queue mAll;
    std::map<std::uint64_t, Group> mGroups;
    // Size and name of each group.
    std::set<std::pair<std::size_t, std::uint64_t>> mSizes;
  };

  static Evictable* FirstOf(const UseQueues& aQueues, Time aNow);
  static Evictable* FirstOfCrowd(const UseQueues& aQueues, std::size_t aLimit);
  static void Resize(UseQueues& aQueues,
                     std::uint64_t aGroup,
                     std::size_t aBefore);
  UseQueues& QueuesOf(ConnectionUse aUse);
  const UseQueues& QueuesOf(ConnectionUse aUse) const;

  std::array<UseQueues, static_cast<std::size_t>(ConnectionUse::Last)> mUses;
  std::uint64_t mPlaced = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_OVERLOAD_EVICTIONORDER_H_INCLUDED
