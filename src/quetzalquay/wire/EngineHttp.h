#ifndef QUETZALQUAY_WIRE_ENGINEHTTP_H_INCLUDED
#define QUETZALQUAY_WIRE_ENGINEHTTP_H_INCLUDED

#include "ports/EnginePort.h"
#include "wire/ThreadPool.h"

#include <string>

namespace quetzalquay {

// Implements EnginePort over HTTP with server-sent events.
class EngineHttp : public EnginePort
{
public:
  // aRouterName identifies this process to the engines. aThreads must outlive
  // this object; each open stream occupies one of its threads.
  EngineHttp(std::string aRouterName, ThreadPool& aThreads);

  RefPtr<EngineStream> Start(const TargetAddress& aTarget,
                             EngineStartRequest aStart,
                             RefPtr<EngineSink> aSink) override;
  RefPtr<EngineStream> Reattach(const TargetAddress& aTarget,
                                const std::string& aGeneration,
                                int aAttempt,
                                int aFrom,
                                RefPtr<EngineSink> aSink) override;
  CancelResult Cancel(const TargetAddress& aTarget,
                      const std::string& aGeneration,
                      int aAttempt,
                      Duration aTimeout) override;
  std::optional<EngineLoadReport> ReadLoad(const TargetAddress& aTarget,
                                           Duration aTimeout,
                                           bool& aRefused) override;
  std::optional<EngineCacheReport> ReadCache(const TargetAddress& aTarget,
                                             int aAfter,
                                             Duration aTimeout) override;

private:
  std::string mRouterName;
  ThreadPool& mThreads;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_WIRE_ENGINEHTTP_H_INCLUDED
