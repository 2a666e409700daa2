#include "wire/HttpClient.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <httplib.h>

namespace quetzalquay {

namespace {

std::string
LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aText;
}

// The library accepts any three digits as a status.
constexpr int kMinStatus = 100;

HttpOutcome
ToOutcome(httplib::Error aError)
{
  switch (aError) {
    case httplib::Error::Success:
      return HttpOutcome::Answered;
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
      return HttpOutcome::Refused;
    case httplib::Error::ConnectionTimeout:
      return HttpOutcome::ConnectTimeout;
    default:
      return HttpOutcome::Broken;
  }
}

} // namespace

class HttpCall::Impl
{
public:
  explicit Impl(const HttpAddress& aAddress)
    : mClient(aAddress.mHost, aAddress.mPort)
  {
    mClient.set_tcp_nodelay(true);
    mClient.set_keep_alive(false);
  }

  httplib::Client mClient;
};

HttpCall::HttpCall(HttpAddress aAddress)
  : mAddress(std::move(aAddress))
  , mImpl(std::make_unique<Impl>(mAddress))
{
}

HttpCall::~HttpCall() = default;

HttpResult
HttpCall::Run(const HttpCallSpec& aSpec)
{
  return RunStreamed(aSpec, BodyReceiver());
}

HttpResult
HttpCall::RunStreamed(const HttpCallSpec& aSpec, const BodyReceiver& aReceiver)
{
  HttpResult result;
  mImpl->mClient.set_connection_timeout(aSpec.mConnectTimeout);
  mImpl->mClient.set_read_timeout(aSpec.mReadTimeout);
  mImpl->mClient.set_write_timeout(aSpec.mReadTimeout);
  httplib::Request request;
  request.method = aSpec.mMethod;
  request.path = aSpec.mPath;
  request.body = aSpec.mBody;
  for (const auto& it : aSpec.mHeaders) {
    request.headers.emplace(it.first, it.second);
  }
  if (!aSpec.mBody.empty()) {
    request.headers.emplace("Content-Type", aSpec.mContentType);
  }
  int status = 0;
  request.response_handler = [&status](const httplib::Response& aResponse) {
    status = aResponse.status;
    return true;
  };
  request.content_receiver =
    [&](const char* aData, std::size_t aSize, std::uint64_t, std::uint64_t) {
      if (IsClosed()) {
        return false;
      }
      if (aReceiver && status == 200) {
        return aReceiver(aData, aSize);
      }
      result.mBody.append(aData, aSize);
      return true;
    };
  if (IsClosed()) {
    return result;
  }
  const httplib::Result response = mImpl->mClient.send(request);
  result.mOutcome = ToOutcome(response.error());
  result.mStatus = status;
  if (result.mOutcome == HttpOutcome::Answered && status < kMinStatus) {
    result.mOutcome = HttpOutcome::Broken;
  }
  if (response) {
    result.mStatus = response->status;
    for (const auto& it : response->headers) {
      result.mHeaders.emplace(LowerCase(it.first), it.second);
    }
  }
  return result;
}

void
HttpCall::Close()
{
  mClosed.store(true);
  mImpl->mClient.stop();
}

} // namespace quetzalquay
