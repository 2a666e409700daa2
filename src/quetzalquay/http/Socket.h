#ifndef QUETZALQUAY_HTTP_SOCKET_H_INCLUDED
#define QUETZALQUAY_HTTP_SOCKET_H_INCLUDED

#include "core/RefCounted.h"
#include "http/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace quetzalquay {

// IPv4 address and port of a server.
using Endpoint = boost::asio::ip::tcp::endpoint;

// Reads "A.B.C.D:PORT"; nothing when it is not of that form.
std::optional<Endpoint>
ParseEndpoint(std::string_view aText);

// Address as "A.B.C.D:PORT".
std::string
ToText(const Endpoint& aEndpoint);

// How a connection ended.
enum class SocketEnd
{
  // The other side has closed it in order.
  Closed,
  // Reset, timed out or never established.
  Failed,
};

// What a connection reports, on its loop's thread. After OnEnd nothing follows.
class SocketSink
{
public:
  virtual ~SocketSink() = default;
  virtual void OnConnected() {}
  virtual void OnData(std::string_view aData) = 0;
  // All written bytes are with the operating system.
  virtual void OnWritten() {}
  virtual void OnEnd(SocketEnd aEnd) = 0;
};

// One TCP connection. The sink must outlive it or be detached by Close().
class Socket : public RefCounted<Socket>
{
public:
  explicit Socket(EventLoop& aLoop);
  ~Socket();

  // Opens a connection; OnConnected or OnEnd follows, at aBy at the latest.
  void Connect(const Endpoint& aTo, Time aBy, SocketSink& aSink);

  // Takes over an accepted connection and reads from it.
  void Adopt(boost::asio::ip::tcp::socket aSocket, SocketSink& aSink);

  // Hands further reports to another sink.
  void SetSink(SocketSink& aSink) { mSink = &aSink; }

  // Writes; bytes that the other side does not take yet are kept.
  void Write(std::string_view aData);

  // Keeps bytes to be written with the next ones.
  void Hold(std::string_view aData) { mHeld.append(aData); }

  // Bytes that wait to be written.
  std::size_t Unwritten() const { return mOutput.size() - mOutputAt; }

  // Stops or resumes reading.
  void SetReading(bool aReading);

  // Closes at once and reports nothing more. aReset drops what is unwritten and
  // tells the other side.
  void Close(bool aReset = false);

  // Closes when all is written; reports nothing more.
  void CloseAfterWrites();

  bool IsOpen() const { return mOpen; }

  // Whether the other side has refused the connection.
  bool Refused() const { return mRefused; }

  // Address of the other side.
  const Endpoint& Remote() const { return mRemote; }

private:
  void Prepare();
  void AwaitRead();
  void OnReadable();
  void AwaitWrite();
  void Flush();
  void End(SocketEnd aEnd);

  EventLoop& mLoop;
  boost::asio::ip::tcp::socket mSocket;
  Alarm mConnectBy;
  SocketSink* mSink = nullptr;
  Endpoint mRemote;
  std::string mHeld;
  std::string mOutput;
  std::size_t mOutputAt = 0;
  bool mOpen = false;
  bool mRefused = false;
  bool mReading = false;
  bool mReadPending = false;
  bool mWritePending = false;
  bool mCloseWhenWritten = false;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_HTTP_SOCKET_H_INCLUDED
