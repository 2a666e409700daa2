#include "wire/OrderHttp.h"

#include "generated/messages.pb.h"
#include "wire/HttpClient.h"
#include "wire/Json.h"

namespace quetzalquay {

namespace {

HttpResult
CallEngine(const TargetAddress& aTarget, HttpCallSpec aSpec, Duration aTimeout)
{
  aSpec.mConnectTimeout = aTimeout;
  aSpec.mReadTimeout = aTimeout;
  HttpCall call(HttpAddress{ aTarget.mHost, aTarget.mPort });
  return call.Run(aSpec);
}

} // namespace

TargetVersions
OrderHttp::ReadVersions(const TargetAddress& aTarget,
                        const std::string& aModel,
                        Duration aTimeout)
{
  TargetVersions holding;
  holding.mTarget = aTarget.mName;
  HttpCallSpec spec;
  spec.mPath = "/v1/orders";
  const HttpResult orders = CallEngine(aTarget, spec, aTimeout);
  spec.mPath = "/v1/load";
  const HttpResult load = CallEngine(aTarget, spec, aTimeout);
  schema::EngineOrder order;
  schema::EngineLoad state;
  if (orders.mStatus != 200 || load.mStatus != 200 ||
      ParseJson(orders.mBody, UnknownFields::Ignore, order) ||
      ParseJson(load.mBody, UnknownFields::Ignore, state)) {
    return holding;
  }
  holding.mReachable = true;
  holding.mLoading = state.state() == "loading";
  for (const auto& it : order.models()) {
    if (it.model() == aModel) {
      holding.mVersions.insert(it.version());
    }
  }
  return holding;
}

OrderOutcome
OrderHttp::SendOrder(const TargetAddress& aTarget,
                     const std::string& aModel,
                     const std::set<std::string>& aVersions,
                     unsigned aFence,
                     Duration aTimeout)
{
  schema::EngineOrder order;
  order.set_fence(aFence);
  order.set_role("serve");
  for (const std::string& it : aVersions) {
    auto* model = order.add_models();
    model->set_model(aModel);
    model->set_version(it);
  }
  HttpCallSpec spec;
  spec.mMethod = "POST";
  spec.mPath = "/v1/orders";
  spec.mBody = ToCompactJson(order);
  const HttpResult result = CallEngine(aTarget, spec, aTimeout);
  if (result.mOutcome != HttpOutcome::Answered) {
    return OrderOutcome::NoAnswer;
  }
  return result.mStatus == 200 ? OrderOutcome::Accepted : OrderOutcome::Fenced;
}

} // namespace quetzalquay
