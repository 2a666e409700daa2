#include "http/Socket.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace quetzalquay {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 32768;

// Limits consecutive reads so that one connection does not starve the others.
constexpr int kMaxReadsPerWakeUp = 4;

// Limits the reads of input that nobody wants any more.
constexpr int kMaxReadsBeforeCancel = 16;

// TCP keep-alive: idle time before the first probe, and interval of the probes.
// Their number follows from the time after which the peer is given up. Where
// TCP_USER_TIMEOUT is set, Linux goes by that alone.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;

// Sent bytes are removed from the output buffer when there are more than this.
constexpr std::size_t kCompactThresholdBytes = 65536;

// A peer that does not close after the end of the output is waited for this
// long, and while it sends no more than this.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr std::size_t kMaxDiscardedBytes = 8U << 20U;

void
SetOption(int aSocket, int aLevel, int aOption, int aValue)
{
  // Errors are ignored: without an option the connection still works; at worst
  // a lost peer is detected later.
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
FormatEndpoint(const Endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

Socket::Socket(EventLoop& aLoop)
  : mLoop(aLoop)
  , mSocket(aLoop.Context())
  , mTimer(aLoop, [this] { OnTimer(); })
{
}

Socket::~Socket() = default;

void
Socket::Connect(const Endpoint& aServer,
                Time aDeadline,
                SocketHandler& aHandler)
{
  mHandler = &aHandler;
  mRemoteEndpoint = aServer;
  mOpen = true;
  error_code ec;
  mSocket.open(tcp::v4(), ec);
  if (ec) {
    mLackedDescriptor = true;
    mLoop.Defer(
      [self = RefPtr<Socket>(this)] { self->End(SocketEnd::Failed); });
    return;
  }
  ConfigureSocket(kPeerTimeout);
  mTimer.ScheduleAt(aDeadline);
  mSocket.async_connect(
    aServer, [self = RefPtr<Socket>(this)](const error_code& aError) {
      if (!self->mOpen) {
        return;
      }
      self->mTimer.Clear();
      if (aError) {
        self->mRefused = aError == boost::asio::error::connection_refused ||
                         aError == boost::asio::error::connection_reset;
        self->End(SocketEnd::Failed);
        return;
      }
      self->SetReading(true);
      self->mHandler->OnConnected();
    });
}

void
Socket::Adopt(tcp::socket aSocket,
              SocketHandler& aHandler,
              Duration aPeerTimeout)
{
  mHandler = &aHandler;
  mSocket = std::move(aSocket);
  error_code ec;
  mRemoteEndpoint = mSocket.remote_endpoint(ec);
  mOpen = true;
  ConfigureSocket(aPeerTimeout);
  SetReading(true);
}

void
Socket::ConfigureSocket(Duration aPeerTimeout)
{
  error_code ec;
  mSocket.non_blocking(true, ec);
  const int socket = mSocket.native_handle();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  const int timeoutMs = static_cast<int>(ToMilliseconds(aPeerTimeout));
  SetOption(socket,
            IPPROTO_TCP,
            TCP_KEEPCNT,
            (timeoutMs / 1000 - kKeepAliveIdleSeconds) /
              kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeoutMs);
}

void
Socket::Write(std::string_view aData)
{
  if (!mOpen || aData.empty()) {
    return;
  }
  if (!mNextWritePrefix.empty()) {
    std::string data;
    data.swap(mNextWritePrefix);
    Write(data.append(aData));
    return;
  }
  if (UnwrittenBytes() == 0) {
    error_code ec;
    const std::size_t n =
      mSocket.write_some(boost::asio::buffer(aData.data(), aData.size()), ec);
    if (ec && ec != boost::asio::error::would_block) {
      // The error is left to the read side to report, so that bytes received
      // before it are still delivered.
      OnWriteError(ec);
      return;
    }
    aData.remove_prefix(ec ? 0 : n);
  }
  if (!aData.empty()) {
    mOutput.append(aData);
    WaitUntilWritable();
  }
}

std::size_t
Socket::UnreadBytes() const
{
  error_code ec;
  return mOpen ? mSocket.available(ec) : 0;
}

void
Socket::ReadReceived()
{
  if (mOpen && mReading) {
    OnReadable();
  }
}

void
Socket::SetReading(bool aReading)
{
  mReading = aReading;
  StopChecks();
  if (mReading) {
    WaitUntilReadable();
  }
}

void
Socket::StopReadingUntilEnd()
{
  mReading = false;
  if (mOpen && !mChecksPeer) {
    mChecksPeer = true;
    mTimer.ScheduleAt(EventLoop::Now() + kPeerCheckInterval);
  }
}

void
Socket::StopChecks()
{
  if (mChecksPeer) {
    mChecksPeer = false;
    mTimer.Clear();
  }
}

void
Socket::OnTimer()
{
  if (!mChecksPeer) {
    End(SocketEnd::Failed);
  } else if (!HasPeerEnded()) {
    mTimer.ScheduleAt(EventLoop::Now() + kPeerCheckInterval);
  }
}

bool
Socket::HasPeerEnded()
{
  if (!mOpen) {
    return true;
  }
  pollfd polled{ mSocket.native_handle(), POLLRDHUP, 0 };
  if (::poll(&polled, 1, 0) <= 0) {
    return false;
  }
  mHasUndeliveredOutput =
    mHasUndeliveredOutput || UnwrittenBytes() > 0 || HasUnacknowledgedOutput();
  const bool orderly = (polled.revents & POLLERR) == 0 && !mWriteFailed;
  End(orderly ? SocketEnd::Closed : SocketEnd::Failed);
  return true;
}

void
Socket::WaitUntilReadable()
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
  // Shared by all connections of the thread.
  static thread_local std::array<char, kReadBufferBytes> tBuffer;
  for (int n = 0; n < kMaxReadsPerWakeUp; ++n) {
    error_code ec;
    const std::size_t limit =
      mDiscardingInput ? tBuffer.size()
                       : std::min(tBuffer.size(), mHandler->ReadLimit());
    const std::size_t size =
      mSocket.read_some(boost::asio::buffer(tBuffer.data(), limit), ec);
    if (ec == boost::asio::error::would_block) {
      break;
    }
    if (ec) {
      const bool orderly = ec == boost::asio::error::eof && !mWriteFailed;
      mHasUndeliveredOutput = mHasUndeliveredOutput || UnwrittenBytes() > 0 ||
                              HasUnacknowledgedOutput();
      End(orderly ? SocketEnd::Closed : SocketEnd::Failed);
      return;
    }
    if (mDiscardingInput) {
      Discard(size);
    } else {
      mHandler->OnData(std::string_view(tBuffer.data(), size));
    }
    if (!mOpen || !mReading || size < limit) {
      break;
    }
  }
  if (mOpen && mReading) {
    WaitUntilReadable();
  }
}

void
Socket::WaitUntilWritable()
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
  while (UnwrittenBytes() > 0) {
    error_code ec;
    const std::size_t n = mSocket.write_some(
      boost::asio::buffer(mOutput.data() + mOutputOffset, UnwrittenBytes()),
      ec);
    if (ec == boost::asio::error::would_block) {
      WaitUntilWritable();
      break;
    }
    if (ec) {
      OnWriteError(ec);
      mOutput.clear();
      mOutputOffset = 0;
      if (mCloseAfterWrites) {
        Close();
      } else if (mClosingGracefully) {
        End(SocketEnd::Failed);
      }
      return;
    }
    mOutputOffset += n;
  }
  if (UnwrittenBytes() == 0) {
    // The connection may be kept for long, and its next output be small.
    std::string().swap(mOutput);
    mOutputOffset = 0;
    if (mCloseAfterWrites) {
      Close();
    } else if (mClosingGracefully) {
      FinishOutput();
    } else {
      mHandler->OnWritten();
    }
  } else if (mOutputOffset > kCompactThresholdBytes) {
    mOutput.erase(0, mOutputOffset);
    mOutputOffset = 0;
  }
}

// The system reports the reset of a connection once only. After a write has met
// it, a read finds the end of the input, as after an orderly end. Where the
// peer had closed the connection before, the error is a broken pipe.
void
Socket::OnWriteError(const error_code& aError)
{
  mHasUndeliveredOutput = true;
  mWriteFailed |= aError != boost::asio::error::broken_pipe;
}

void
Socket::Close(bool aReset)
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  mReading = false;
  mTimer.Clear();
  error_code ec;
  if (aReset) {
    mSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
  }
  mSocket.close(ec);
}

void
Socket::Cancel(bool aAnswered)
{
  if (!mOpen) {
    return;
  }
  if (UnwrittenBytes() > 0 || (!aAnswered && HasUnacknowledgedOutput())) {
    Close(true);
    return;
  }
  // Closing a socket with unread input would reset the connection.
  static thread_local std::array<char, kReadBufferBytes> tBuffer;
  error_code ec;
  for (int n = 0; n < kMaxReadsBeforeCancel && !ec; ++n) {
    mSocket.read_some(boost::asio::buffer(tBuffer), ec);
  }
  // The limit would also end the repetitions.
  SetOption(mSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
  Close();
}

// Whether the peer may not have received all that was written.
bool
Socket::HasUnacknowledgedOutput()
{
  int bytes = 0;
  return ::ioctl(mSocket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes > 0;
}

void
Socket::CloseAfterWrites()
{
  if (UnwrittenBytes() == 0) {
    Close();
    return;
  }
  mCloseAfterWrites = true;
  mReading = false;
}

void
Socket::CloseGracefully()
{
  if (!mOpen) {
    return;
  }
  mClosingGracefully = true;
  StopChecks();
  mReading = false;
  if (UnwrittenBytes() == 0) {
    FinishOutput();
  }
}

// Sends the end of the stream. Closing a socket with unread input would reset
// the connection and drop output that is still on its way.
void
Socket::FinishOutput()
{
  error_code ec;
  mSocket.shutdown(tcp::socket::shutdown_send, ec);
  mDiscardingInput = true;
  mTimer.ScheduleAt(EventLoop::Now() + kLingerTime);
  SetReading(true);
}

void
Socket::Discard(std::size_t aSize)
{
  mDiscardedBytes += aSize;
  if (mDiscardedBytes > kMaxDiscardedBytes) {
    End(SocketEnd::Failed);
  }
}

void
Socket::End(SocketEnd aEnd)
{
  if (!mOpen) {
    return;
  }
  const RefPtr<Socket> self(this);
  Close();
  mHandler->OnEnd(aEnd);
}

} // namespace quetzalquay
