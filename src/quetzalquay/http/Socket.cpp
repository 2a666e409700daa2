#include "http/Socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 32768;

// Reads in a row before other connections get their turn.
constexpr int kReadsPerTurn = 4;

// Idle time in seconds before keep-alive probes, their interval and number:
// a connection whose other side vanished fails after about 4 s.
constexpr int kProbeIdleS = 2;
constexpr int kProbeIntervalS = 1;
constexpr int kProbes = 2;

// Time in milliseconds that written bytes may stay unacknowledged.
constexpr int kUnacknowledgedMs = 4000;

// Output bytes that have been sent are dropped from the buffer beyond this.
constexpr std::size_t kCompactBytes = 65536;

void
SetOption(int aSocket, int aLevel, int aOption, int aValue)
{
  // Best effort: a refused option only delays the discovery of a lost peer.
  (void)::setsockopt(aSocket, aLevel, aOption, &aValue, sizeof aValue);
}

} // namespace

std::optional<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  error_code ec;
  const auto address =
    boost::asio::ip::make_address_v4(std::string(aText.substr(0, colon)), ec);
  unsigned short port = 0;
  const auto text = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), port);
  if (ec || parsed.ec != std::errc() || port == 0 ||
      parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return Endpoint(address, port);
}

std::string
ToText(const Endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

Socket::Socket(EventLoop& aLoop)
  : mLoop(aLoop)
  , mSocket(aLoop.Context())
  , mConnectBy(aLoop, [this] { End(SocketEnd::Failed); })
{
}

Socket::~Socket() = default;

void
Socket::Connect(const Endpoint& aTo, Time aBy, SocketSink& aSink)
{
  mSink = &aSink;
  mRemote = aTo;
  mOpen = true;
  error_code ec;
  mSocket.open(tcp::v4(), ec);
  if (ec) {
    mLoop.Defer(
      [self = RefPtr<Socket>(this)] { self->End(SocketEnd::Failed); });
    return;
  }
  Prepare();
  mConnectBy.SetAt(aBy);
  mSocket.async_connect(
    aTo, [self = RefPtr<Socket>(this)](const error_code& aError) {
      if (!self->mOpen) {
        return;
      }
      self->mConnectBy.Clear();
      if (aError) {
        self->mRefused = aError == boost::asio::error::connection_refused ||
                         aError == boost::asio::error::connection_reset;
        self->End(SocketEnd::Failed);
        return;
      }
      self->SetReading(true);
      self->mSink->OnConnected();
    });
}

void
Socket::Adopt(tcp::socket aSocket, SocketSink& aSink)
{
  mSink = &aSink;
  mSocket = std::move(aSocket);
  error_code ec;
  mRemote = mSocket.remote_endpoint(ec);
  mOpen = true;
  Prepare();
  SetReading(true);
}

void
Socket::Prepare()
{
  error_code ec;
  mSocket.non_blocking(true, ec);
  const int socket = mSocket.native_handle();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMs);
}

void
Socket::Write(std::string_view aData)
{
  if (!mOpen || aData.empty()) {
    return;
  }
  if (!mHeld.empty()) {
    std::string data;
    data.swap(mHeld);
    Write(data.append(aData));
    return;
  }
  if (Unwritten() == 0) {
    error_code ec;
    const std::size_t n =
      mSocket.write_some(boost::asio::buffer(aData.data(), aData.size()), ec);
    if (ec && ec != boost::asio::error::would_block) {
      // The read side reports the end, so that bytes which arrived before it
      // are still taken.
      return;
    }
    aData.remove_prefix(ec ? 0 : n);
  }
  if (!aData.empty()) {
    mOutput.append(aData);
    AwaitWrite();
  }
}

void
Socket::SetReading(bool aReading)
{
  mReading = aReading;
  if (mReading) {
    AwaitRead();
  }
}

void
Socket::AwaitRead()
{
  if (!mOpen || mReadPending) {
    return;
  }
  mReadPending = true;
  mSocket.async_wait(tcp::socket::wait_read,
                     [self = RefPtr<Socket>(this)](const error_code&) {
                       self->mReadPending = false;
                       if (self->mOpen && self->mReading) {
                         self->OnReadable();
                       }
                     });
}

void
Socket::OnReadable()
{
  // One buffer serves all connections of the thread.
  static thread_local std::array<char, kReadBytes> tBuffer;
  for (int n = 0; n < kReadsPerTurn; ++n) {
    error_code ec;
    const std::size_t size =
      mSocket.read_some(boost::asio::buffer(tBuffer), ec);
    if (ec == boost::asio::error::would_block) {
      break;
    }
    if (ec) {
      End(ec == boost::asio::error::eof ? SocketEnd::Closed
                                        : SocketEnd::Failed);
      return;
    }
    mSink->OnData(std::string_view(tBuffer.data(), size));
    if (!mOpen || !mReading || size < tBuffer.size()) {
      break;
    }
  }
  if (mOpen && mReading) {
    AwaitRead();
  }
}

void
Socket::AwaitWrite()
{
  if (mWritePending) {
    return;
  }
  mWritePending = true;
  mSocket.async_wait(tcp::socket::wait_write,
                     [self = RefPtr<Socket>(this)](const error_code&) {
                       self->mWritePending = false;
                       if (self->mOpen) {
                         self->Flush();
                       }
                     });
}

void
Socket::Flush()
{
  while (Unwritten() > 0) {
    error_code ec;
    const std::size_t n = mSocket.write_some(
      boost::asio::buffer(mOutput.data() + mOutputAt, Unwritten()), ec);
    if (ec == boost::asio::error::would_block) {
      AwaitWrite();
      break;
    }
    if (ec) {
      mOutput.clear();
      mOutputAt = 0;
      if (mCloseWhenWritten) {
        Close();
      }
      return;
    }
    mOutputAt += n;
  }
  if (Unwritten() == 0) {
    mOutput.clear();
    mOutputAt = 0;
    if (mCloseWhenWritten) {
      Close();
    } else {
      mSink->OnWritten();
    }
  } else if (mOutputAt > kCompactBytes) {
    mOutput.erase(0, mOutputAt);
    mOutputAt = 0;
  }
}

void
Socket::Close(bool aReset)
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mReading = false;
  mConnectBy.Clear();
  error_code ec;
  if (aReset) {
    mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  }
  mSocket.close(ec);
}

void
Socket::CloseAfterWrites()
{
  if (Unwritten() == 0) {
    Close();
    return;
  }
  mCloseWhenWritten = true;
  mReading = false;
}

void
Socket::End(SocketEnd aEnd)
{
  if (!mOpen) {
    return;
  }
  const RefPtr<Socket> self(this);
  Close();
  mSink->OnEnd(aEnd);
}

} // namespace quetzalquay
