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

// Where the latest requests went and why. Keeps a fixed number of requests.
// Safe for concurrent use.
class ExplainStore
{
public:
  explicit ExplainStore(std::size_t aCapacity);
  ~ExplainStore();

  // Adds a step; its time is filled in.
  void Add(const std::string& aRequestId,
           const std::string& aWorkspace,
           schema::ExplainStep aStep);

  // All steps of a request, or nothing when it is unknown or forgotten.
  std::optional<schema::Explanation> Find(const std::string& aRequestId) const;

private:
  std::size_t mCapacity;
  mutable std::mutex mMutex;
  std::unordered_map<std::string, std::unique_ptr<schema::Explanation>> mById;
  std::deque<std::string> mOrder;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_ROUTER_EXPLAINSTORE_H_INCLUDED
