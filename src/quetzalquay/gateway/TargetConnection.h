#ifndef QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED

#include "gateway/Fleet.h"
#include "http/HttpReader.h"
#include "http/Socket.h"
#include "platform/PlatformRequests.h"

#include <boost/intrusive/list.hpp>
#include <map>
#include <string>

namespace quetzalquay {

// How a try at a target ended without a whole answer.
enum class TryEnd
{
  // The target refused the connection.
  Refused,
  // No connection came about in time. Nothing was sent.
  Unreachable,
  // The connection broke or the bytes were no answer; the target may have run
  // the request.
  Broken,
};

// Gets what one try at a target brings.
class TrySink
{
public:
  virtual ~TrySink() = default;

  // The answer's head.
  virtual void OnAnswerHead(const HttpHead& aHead,
                            const platform::TargetAnswer& aAnswer) = 0;

  // Bytes of the answer's body.
  virtual void OnAnswerBody(std::string aBody) = 0;

  // The answer is whole. Nothing follows.
  virtual void OnAnswerComplete() = 0;

  // The try is over. Nothing follows.
  virtual void OnTryEnded(TryEnd aEnd) = 0;
};

class TargetPool;

// One connection to a target, which carries one request at a time.
class TargetConnection
  : public RefCounted<TargetConnection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
  , public SocketSink
{
public:
  TargetConnection(TargetPool& aPool,
                   const std::string& aTarget,
                   const TargetLocation& aLocation);
  ~TargetConnection() override;

  // Sends a request; the sink gets what follows until Abandon() or the end.
  // aRequestId is the id that the answer has to name.
  void Send(const std::string& aHead,
            const std::string& aBody,
            const std::string& aRequestId,
            Time aConnectBy,
            TrySink& aSink);

  // Gives the try up and closes the connection; the sink hears nothing more.
  void Abandon();

  // Stops or resumes reading the answer.
  void SetReading(bool aReading) { mSocket->SetReading(aReading); }

  // Whether a byte of the request has been handed to the operating system.
  bool HasSent() const { return mSent; }

  const std::string& Target() const { return mTarget; }
  const std::string& Incarnation() const { return mIncarnation; }

  // When the connection has been idle for too long to be used again.
  Time UsableUntil() const { return mUsableUntil; }

private:
  void OnConnected() override;
  void OnData(std::string_view aData) override;
  void OnEnd(SocketEnd aEnd) override;
  bool TakeHead();
  void Complete();
  void End(TryEnd aEnd);

  TargetPool& mPool;
  std::string mTarget;
  std::string mIncarnation;
  Endpoint mEndpoint;
  RefPtr<Socket> mSocket;
  HttpReader mReader;
  TrySink* mSink = nullptr;
  std::string mOutput;
  std::string mRequestId;
  bool mConnected = false;
  bool mSent = false;
  // The head of the present answer has been passed on.
  bool mHeadPassed = false;
  // The present answer belongs to another request and is read over.
  bool mForeign = false;
  Duration mKeptFor;
  Time mUsableUntil;
};

// Kept connections to targets, and when each target was last heard.
class TargetPool
{
public:
  TargetPool(EventLoop& aLoop, Fleet& aFleet);
  ~TargetPool();

  // A connection to a target that lies idle, or a new one; nothing when the
  // target is gone.
  RefPtr<TargetConnection> Take(const std::string& aTarget);

  // When bytes last came from a target, on any connection.
  Time LastHeard(const std::string& aTarget) const;

  // New connections since the start.
  std::uint64_t Opened() const { return mOpened; }

  // Connections that are open now.
  std::size_t Open() const { return mOpen; }

private:
  friend class TargetConnection;
  using List =
    boost::intrusive::list<TargetConnection,
                           boost::intrusive::constant_time_size<false>>;

  void Keep(TargetConnection& aConnection);
  void Drop(TargetConnection& aConnection);
  void OnHeard(const std::string& aTarget);
  void CloseIdle();

  EventLoop& mLoop;
  Fleet& mFleet;
  // Idle connections by target, each holding a reference of its own.
  std::map<std::string, List> mIdle;
  std::map<std::string, Time> mHeard;
  std::uint64_t mOpened = 0;
  std::size_t mOpen = 0;
  Alarm mSweep;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TARGETCONNECTION_H_INCLUDED
