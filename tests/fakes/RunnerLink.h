#ifndef QUETZALQUAY_TESTS_FAKES_RUNNERLINK_H_INCLUDED
#define QUETZALQUAY_TESTS_FAKES_RUNNERLINK_H_INCLUDED

#include "http/EventLoop.h"
#include "http/SimpleHttpServer.h"
#include "http/Socket.h"

#include <set>

// What the link between a gateway and a runner lets pass.
enum class LinkState
{
  Up,
  // Nothing passes: open connections are silent and new ones are never
  // established. Bytes and orderly ends arrive afterwards, resets are lost.
  Silent,
  // Open connections have been reset, and new ones are refused.
  Reset,
  // Open connections live on, and new ones are refused.
  OldOnly,
};

// The way of one gateway to one runner: passes connections on that are made to
// an address of its own. To be used in the thread of its loop.
class RunnerLink
{
public:
  RunnerLink(quetzalquay::EventLoop& aLoop,
             quetzalquay::Endpoint aOwn,
             quetzalquay::Endpoint aRunner);
  ~RunnerLink();
  RunnerLink(const RunnerLink&) = delete;
  RunnerLink& operator=(const RunnerLink&) = delete;

  // Sets whether the runner accepts connections.
  void SetListening(bool aListening);

  void SetState(LinkState aState);

  // Connections that were made by this link since the start.
  int ConnectionCount() const { return mConnectionCount; }

private:
  class Connection;

  void Accept(boost::asio::ip::tcp::socket aSocket);
  void UpdateListener();
  void OpenSilentListener();
  void CloseSilentListener();

  quetzalquay::EventLoop& mLoop;
  quetzalquay::Endpoint mOwn;
  quetzalquay::Endpoint mRunner;
  bool mListening = false;
  LinkState mState = LinkState::Up;
  std::set<quetzalquay::RefPtr<Connection>> mConnections;
  int mConnectionCount = 0;
  quetzalquay::Listener mListener;
  // A listener whose queue is full, and the connection that fills it. The
  // operating system leaves further connection attempts without an answer.
  int mSilentListener = -1;
  int mQueueFiller = -1;
};

#endif // QUETZALQUAY_TESTS_FAKES_RUNNERLINK_H_INCLUDED
