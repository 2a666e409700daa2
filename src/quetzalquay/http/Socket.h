#ifndef QUETZALQUAY_HTTP_SOCKET_H_INCLUDED
#define QUETZALQUAY_HTTP_SOCKET_H_INCLUDED

#include "core/RefCounted.h"
#include "http/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// IPv4 address and port.
using Endpoint = boost::asio::ip::tcp::endpoint;

// Parses "A.B.C.D:PORT" with a nonzero port. Returns nothing on error.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

// Formats an endpoint as "A.B.C.D:PORT".
std::string
FormatEndpoint(const Endpoint& aEndpoint);

// How a connection ended.
enum class SocketEnd
{
  // Closed by the peer.
  Closed,
  // Reset, timed out or not established.
  Failed,
};

// Receives the events of a Socket on its loop's thread. OnEnd is the last one.
class SocketHandler
{
public:
  virtual ~SocketHandler() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view aData) = 0;
  // Most bytes that OnData() can take at once, at least one.
  virtual std::size_t ReadLimit() const { return SIZE_MAX; }
  // All buffered output has been passed to the operating system.
  virtual void OnWritten() {}
  virtual void OnEnd(SocketEnd aEnd) = 0;
};

// One TCP connection. The handler must outlive it or be detached with Close().
class Socket : public RefCounted<Socket>
{
public:
  explicit Socket(EventLoop& aLoop);
  ~Socket();

  // Connects to a server. OnConnected or OnEnd follows, by aDeadline at the
  // latest.
  void Connect(const Endpoint& aServer,
               Time aDeadline,
               SocketHandler& aHandler);

  // Takes ownership of an accepted connection and starts reading. The
  // connection fails when its peer has acknowledged nothing, or has read
  // nothing of what is sent, for aPeerTimeout.
  void Adopt(boost::asio::ip::tcp::socket aSocket,
             SocketHandler& aHandler,
             Duration aPeerTimeout = kPeerTimeout);

  // Time after which a peer that acknowledges nothing is given up.
  static constexpr Duration kPeerTimeout = std::chrono::seconds(4);

  // Replaces the handler for further events.
  void SetHandler(SocketHandler& aHandler) { mHandler = &aHandler; }

  // Sends bytes. Buffers what the operating system does not accept yet.
  void Write(std::string_view aData);

  // Buffers bytes and sends them together with the next Write().
  void BufferForNextWrite(std::string_view aData)
  {
    mNextWritePrefix.append(aData);
  }

  // Number of bytes in the output buffer that wait to be sent.
  std::size_t UnwrittenBytes() const { return mOutput.size() - mOutputOffset; }

  // Number of bytes that have been received and not been read.
  std::size_t UnreadBytes() const;

  // Reads what has been received, without waiting for the event loop. OnData
  // and OnEnd are called as usual.
  void ReadReceived();

  // Stops or resumes reading.
  void SetReading(bool aReading);

  // Stops reading, but goes on watching the peer: OnEnd follows within
  // kPeerCheckInterval after the peer has ended its output or the connection,
  // whatever it sent before.
  void StopReadingUntilEnd();

  // Whether the peer has ended its output or the connection. OnEnd has been
  // called then, also if input is left unread.
  bool HasPeerEnded();

  static constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(200);

  // Closes immediately; no further events are reported. With aReset, unsent
  // data is discarded and the peer receives a TCP reset.
  void Close(bool aReset = false);

  // Closes immediately, so that the peer abandons what it does for this side;
  // no further events are reported. A reset is sent once only, and is lost
  // where packets are. An orderly end is repeated by the system, but follows
  // what the peer has not received yet, so it is used only if there is no such
  // data. aAnswered tells that the peer has answered what was written.
  void Cancel(bool aAnswered);

  // Closes after all buffered output has been sent; no further events are
  // reported.
  void CloseAfterWrites();

  // Ends the connection so that the peer receives all that was written, also
  // when it goes on sending: sends the buffered output and the end of the
  // stream, then discards input until the peer closes, for a limited time and
  // number of bytes. OnEnd follows; no other events are reported.
  void CloseGracefully();

  bool IsOpen() const { return mOpen; }

  // Whether the connection attempt was refused or reset by the peer.
  bool Refused() const { return mRefused; }

  // Whether no connection attempt was made for lack of a descriptor.
  bool LackedDescriptor() const { return mLackedDescriptor; }

  // Whether the peer had not acknowledged all that was written when it ended
  // the connection. An end acknowledges all that arrived before it.
  bool HasUndeliveredOutput() const { return mHasUndeliveredOutput; }

  // Address of the peer.
  const Endpoint& RemoteEndpoint() const { return mRemoteEndpoint; }

private:
  void ConfigureSocket(Duration aPeerTimeout);
  void OnTimer();
  void StopChecks();
  void WaitUntilReadable();
  void OnReadable();
  void Discard(std::size_t aSize);
  bool HasUnacknowledgedOutput();
  void FinishOutput();
  void WaitUntilWritable();
  void Flush();
  void OnWriteError(const boost::system::error_code& aError);
  void End(SocketEnd aEnd);

  EventLoop& mLoop;
  boost::asio::ip::tcp::socket mSocket;
  // Expires at the deadline for connecting, or for the peer to close after the
  // end of the output, or at the next check of a peer that is not read.
  Timer mTimer;
  SocketHandler* mHandler = nullptr;
  Endpoint mRemoteEndpoint;
  std::string mNextWritePrefix;
  std::string mOutput;
  std::size_t mOutputOffset = 0;
  bool mOpen = false;
  bool mRefused = false;
  bool mLackedDescriptor = false;
  // Whether a write has failed other than after the peer's orderly end.
  bool mWriteFailed = false;
  bool mHasUndeliveredOutput = false;
  bool mReading = false;
  // Whether the peer is checked while it is not read.
  bool mChecksPeer = false;
  bool mReadPending = false;
  bool mWritePending = false;
  bool mCloseAfterWrites = false;
  bool mClosingGracefully = false;
  // Whether the output has been ended and input is discarded.
  bool mDiscardingInput = false;
  std::size_t mDiscardedBytes = 0;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_SOCKET_H_INCLUDED
