#ifndef QUETZALQUAY_ROUTER_EXPLAINSTORE_H_INCLUDED
#define QUETZALQUAY_ROUTER_EXPLAINSTORE_H_INCLUDED

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace quetzalquay {

namespace schema {
class Explanation;
class ExplainStep;
}

// Keeps the routing decisions of the most recent requests and the reasons for
// them. The number of requests is bounded. Thread-safe.
class ExplainStore
{
public:
  // aCapacity is the number of requests kept; the oldest is evicted first.
  explicit ExplainStore(std::size_t aCapacity);
  ~ExplainStore();

  // Appends a step to a request and sets the step's time to now. Steps beyond
  // the limit per request are dropped.
  void Add(const std::string& aRequestId,
           const std::string& aWorkspace,
           schema::ExplainStep aStep);

  // All steps of a request, or nothing if it is unknown or has been evicted.
  std::optional<schema::Explanation> Find(const std::string& aRequestId) const;

private:
  std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, std::unique_ptr<schema::Explanation>>
    mExplanations;
  std::deque<std::string> mInsertionOrder;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_EXPLAINSTORE_H_INCLUDED
