#include "peers/PeerRpc.h"

#include "generated/PeerClientStub.h"
#include "generated/PeerServerStub.h"

#include <json/json.h>
#include <memory>
#include <utility>

namespace quetzalquay {

namespace {

// Adapts a PeerTransport to the library's client.
class TransportConnector : public jsonrpc::IClientConnector
{
public:
  explicit TransportConnector(const PeerTransport& aTransport)
    : mTransport(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    if (!mTransport(aMessage, aResult)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no valid answer from the peer");
    }
  }

private:
  const PeerTransport& mTransport;
};

// Returns the responses of the library's server through the aInfo pointer.
class BufferConnector : public jsonrpc::AbstractServerConnector
{
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

  bool SendResponse(const std::string& aResponse, void* aInfo) override
  {
    *static_cast<std::string*>(aInfo) = aResponse;
    return true;
  }
};

Json::Value
ParseObject(const std::string& aText)
{
  Json::Value value(Json::objectValue);
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  reader->parse(aText.data(), aText.data() + aText.size(), &value, nullptr);
  return value.isObject() ? value : Json::Value(Json::objectValue);
}

std::string
SerializeObject(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

} // namespace

bool
CallPeerExchange(const PeerTransport& aTransport,
                 const std::string& aNews,
                 std::string& aResponse,
                 std::string& aReason)
{
  TransportConnector connector(aTransport);
  schema::PeerClientStub client(connector);
  try {
    aResponse = SerializeObject(client.exchange(ParseObject(aNews)));
    return true;
  } catch (const std::exception& error) {
    aReason = error.what();
    return false;
  }
}

class PeerRpcServer::Impl
{
public:
  explicit Impl(Handler aHandler)
    : mStub(mConnector, std::move(aHandler))
  {
    mStub.StartListening();
  }

  std::string HandleRequest(const std::string& aRequest)
  {
    std::string response;
    mConnector.OnRequest(aRequest, &response);
    return response;
  }

private:
  class Stub : public schema::PeerServerStub
  {
  public:
    Stub(jsonrpc::AbstractServerConnector& aConnector, Handler aHandler)
      : schema::PeerServerStub(aConnector)
      , mHandler(std::move(aHandler))
    {
    }

    Json::Value exchange(const Json::Value& aNews) override
    {
      return ParseObject(mHandler(SerializeObject(aNews)));
    }

  private:
    Handler mHandler;
  };

  BufferConnector mConnector;
  Stub mStub;
};

PeerRpcServer::PeerRpcServer(Handler aHandler)
  : mImpl(std::make_unique<Impl>(std::move(aHandler)))
{
}

PeerRpcServer::~PeerRpcServer() = default;

std::string
PeerRpcServer::HandleRequest(const std::string& aRequest)
{
  return mImpl->HandleRequest(aRequest);
}

} // namespace quetzalquay
