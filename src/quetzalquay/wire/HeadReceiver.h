#ifndef QUETZALQUAY_WIRE_HEADRECEIVER_H_INCLUDED
#define QUETZALQUAY_WIRE_HEADRECEIVER_H_INCLUDED

#include "core/RefCounted.h"
#include "core/Time.h"
#include "core/overload/EvictionOrder.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace quetzalquay {

// Accepted connection of an HttpServer. Belongs to the HeadReceiver, or to the
// thread that serves its request. The destructor closes it.
class HttpConnection
  : public RefCounted<HttpConnection>
  , public Evictable
{
public:
  explicit HttpConnection(int aSocket);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  int Socket() const { return mSocket; }

  // Sends a last response as far as the peer takes it at once, and drops what
  // has been received, as closing with unread input would reset the connection.
  void SendLast(const std::string& aText);

  // Received bytes of the next request.
  std::string mInput;
  // Whether the sender of the last request that had a body was known.
  bool mIsKnown = false;
  // Whether its last response was given up, as the peer did not read it.
  bool mIsUnread = false;
  // Requests served so far.
  std::size_t mServed = 0;

private:
  friend class HeadReceiver;

  int mSocket;
  // IPv4 address of the peer, 0 if it is not known.
  std::uint32_t mAddress = 0;
  Time mOpened;
  // When it was opened, or its last response was sent.
  Time mSince;
  Time mLastInput;
  // Part of mInput that has been searched for the end of the head.
  std::size_t mSearched = 0;
};

// Receives the heads of requests of many connections on one thread, so that a
// connection needs another thread only while its request is handled. Closes
// connections for others, in the order of EvictionOrder, when there are too
// many. Thread-safe.
class HeadReceiver
{
public:
  struct Options
  {
    // Open connections, including those whose requests are handled.
    std::size_t mMaxConnections = 512;
    // Time for which a connection may be idle before a request, and silent
    // within a head.
    Duration mIdleTimeout = std::chrono::seconds(5);
    Duration mReadTimeout = std::chrono::seconds(5);
    std::size_t mMaxHeadBytes = 262144;
    std::size_t mMaxLineBytes = 16384;
  };

  struct Callbacks
  {
    // Takes a connection that has received a whole head. Must not block.
    std::function<void(const RefPtr<HttpConnection>&)> mOnHead;
    // A connection is closed for another one while the given number are open.
    // Returns what is sent to its peer if it has sent a part of a head. Must
    // not block or call the receiver.
    std::function<std::string(ConnectionUse, std::size_t)> mOnEviction;
    // Called about every 250 ms while connections are open.
    std::function<void()> mOnCheck;
  };

  HeadReceiver(Options aOptions, Callbacks aCallbacks);
  ~HeadReceiver();
  HeadReceiver(const HeadReceiver&) = delete;
  HeadReceiver& operator=(const HeadReceiver&) = delete;

  // Takes an accepted socket. Blocks until there is room for it; further
  // connections wait in the system's backlog.
  void Add(int aSocket);

  // Takes a connection back for its next request once its response has been
  // sent, or closes it. If it gives way to a new one, a request that has
  // arrived on it is rejected.
  void Return(const RefPtr<HttpConnection>& aConnection);
  void Release(const RefPtr<HttpConnection>& aConnection);

  std::size_t OpenCount();

  // Makes Add() return at once, and Return() close connections.
  void BeginStop();

  // Stops receiving. Requests whose heads have been received by then are still
  // passed on; the other connections are closed.
  void Stop();

private:
  enum class Receipt
  {
    Unfinished,
    Complete,
    // The connection has ended, or sends no proper head.
    Ended,
  };

  void Run();
  void Wake() const;
  void Watch(const RefPtr<HttpConnection>& aConnection);
  void Unwatch(const HttpConnection& aConnection);
  void Forget(HttpConnection& aConnection);
  void PlaceEviction(HttpConnection& aConnection);
  bool Receive(const RefPtr<HttpConnection>& aConnection);
  void Evict(const RefPtr<HttpConnection>& aConnection);
  Receipt ReadHead(HttpConnection& aConnection) const;
  Receipt FindEndOfHead(HttpConnection& aConnection) const;
  bool MakeRoom(Time aNow);
  void CloseExpired(Time aNow);

  const Options mOptions;
  const Callbacks mCallbacks;
  int mEpoll;
  // Wakes the thread when it has to stop, or to check time-outs again.
  int mWakeEvent;
  std::mutex mMutex;
  std::condition_variable mChanged;
  // Connections whose heads are received, by their sockets.
  std::map<int, RefPtr<HttpConnection>> mReceiving;
  EvictionOrder mEvictions;
  std::size_t mOpen = 0;
  // Whether a new connection waits for room.
  bool mIsAwaited = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_HEADRECEIVER_H_INCLUDED
