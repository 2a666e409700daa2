#include "router/ExplainStore.h"

#include "generated/messages.pb.h"

#include <chrono>
#include <utility>

namespace quetzalquay {

namespace {

constexpr int kMaxStepsPerRequest = 200;

double
UnixTimeMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

} // namespace

ExplainStore::ExplainStore(std::size_t aCapacity)
  : mCapacity(aCapacity)
{
}

ExplainStore::~ExplainStore() = default;

void
ExplainStore::Add(const std::string& aRequestId,
                  const std::string& aWorkspace,
                  schema::ExplainStep aStep)
{
  aStep.set_at(UnixTimeMs());
  const std::lock_guard<std::mutex> lock(mMutex);
  auto& entry = mExplanations[aRequestId];
  if (entry == nullptr) {
    entry = std::make_unique<schema::Explanation>();
    entry->set_request_id(aRequestId);
    entry->set_workspace(aWorkspace);
    mInsertionOrder.push_back(aRequestId);
  }
  if (entry->steps_size() < kMaxStepsPerRequest) {
    *entry->add_steps() = std::move(aStep);
  }
  if (mInsertionOrder.size() > mCapacity) {
    mExplanations.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

std::optional<schema::Explanation>
ExplainStore::Find(const std::string& aRequestId) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto it = mExplanations.find(aRequestId);
  if (it == mExplanations.end()) {
    return std::nullopt;
  }
  return *it->second;
}

} // namespace quetzalquay
