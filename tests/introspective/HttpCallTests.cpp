#include "wire/HttpClient.h"

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace quetzalquay;

namespace {

// How a server ends a connection after its response.
enum class ServerEnd
{
  Close,
  Reset,
};

// Answers one request, of which it reads at most one buffer, with given bytes.
class RawServer
{
public:
  RawServer(std::string aResponse, ServerEnd aEnd)
    : mResponse(std::move(aResponse))
    , mEnd(aEnd)
    , mListener(::socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(mListener, reinterpret_cast<const sockaddr*>(&at), sizeof at);
    ::listen(mListener, 1);
    socklen_t size = sizeof at;
    ::getsockname(mListener, reinterpret_cast<sockaddr*>(&at), &size);
    mPort = ntohs(at.sin_port);
    mThread = std::thread([this] { Serve(); });
  }
  ~RawServer()
  {
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  HttpAddress Address() const { return { "127.0.0.1", mPort }; }

private:
  void Serve() const
  {
    const int socket = ::accept(mListener, nullptr, nullptr);
    if (socket < 0) {
      return;
    }
    std::array<char, 65536> request{};
    (void)::recv(socket, request.data(), request.size(), 0);
    (void)::send(socket, mResponse.data(), mResponse.size(), MSG_NOSIGNAL);
    if (mEnd == ServerEnd::Reset) {
      const linger now{ 1, 0 };
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    ::close(socket);
  }

  std::string mResponse;
  ServerEnd mEnd;
  int mListener;
  int mPort = 0;
  std::thread mThread;
};

HttpResult
Call(const std::string& aResponse, ServerEnd aEnd, std::size_t aUploadBytes)
{
  const RawServer server(aResponse, aEnd);
  HttpCallSpec spec;
  spec.mMethod = aUploadBytes == 0 ? "GET" : "POST";
  spec.mPath = "/";
  spec.mBody.assign(aUploadBytes, 'x');
  return MakeRef<HttpCall>(server.Address())->Run(spec);
}

} // namespace

// Invalid and incomplete responses to the calls of quetzal-router and
// quetzal-api.
class HttpCallTests : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpCallTests);
  CPPUNIT_TEST(ResponsesThatEndWithTheConnectionAreComplete);
  CPPUNIT_TEST(ResetsBreakResponsesWithoutLength);
  CPPUNIT_TEST(InvalidStatusCodesAreNoResponses);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against complete responses being rejected for lack of a length.
  void ResponsesThatEndWithTheConnectionAreComplete()
  {
    const HttpResult result =
      Call("HTTP/1.1 200 OK\r\n\r\nwhole", ServerEnd::Close, 0);
    CPPUNIT_ASSERT(result.mOutcome == HttpOutcome::Answered);
    CPPUNIT_ASSERT_EQUAL(200, result.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.mBody);
  }

  // Guards against part of a response being taken for a complete one after a
  // reset, also during an upload that is longer than the system's buffers.
  void ResetsBreakResponsesWithoutLength()
  {
    for (const std::size_t upload : { 0U, 1000U, 64U << 20U }) {
      const HttpResult result =
        Call("HTTP/1.1 200 OK\r\n\r\npart", ServerEnd::Reset, upload);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(upload),
                             result.mOutcome == HttpOutcome::Broken);
    }
  }

  // Guards against quetzal-router passing on a response whose status no caller
  // can interpret.
  void InvalidStatusCodesAreNoResponses()
  {
    for (const std::string status :
         { "000", "001", "099", "2", "20", "2000", "-20", "2O0", "" }) {
      const HttpResult result =
        Call("HTTP/1.1 " + status + " OK\r\nContent-Length: 4\r\n\r\nbody",
             ServerEnd::Close,
             0);
      CPPUNIT_ASSERT_MESSAGE("status '" + status + "'",
                             result.mOutcome == HttpOutcome::Broken);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTests);
