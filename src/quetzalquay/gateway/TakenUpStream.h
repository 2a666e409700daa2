#ifndef QUETZALQUAY_GATEWAY_TAKENUPSTREAM_H_INCLUDED
#define QUETZALQUAY_GATEWAY_TAKENUPSTREAM_H_INCLUDED

#include "core/TakeUp.h"
#include "gateway/Exchange.h"

namespace quetzalquay {

// A stream that its caller takes up after an earlier request, possibly to
// another host. Finds out where the stream began, and then forwards it with a
// StreamExchange; refuses it if that cannot be known.
class TakenUpStream : public Exchange
{
public:
  using Exchange::Exchange;

  void Start() override;
  void OnCallerDisconnected() override;
  void OnExit() override;

private:
  TakeUp Decide() const;
  void CancelLookUp();
  void OnLookedUp();
  void Forward(const TakeUp& aTakeUp);
  void Refuse(const TakeUp& aTakeUp);

  // Number of the pending lookup; 0 if there is none.
  std::uint64_t mLookup = 0;
  RefPtr<Exchange> mStream;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_GATEWAY_TAKENUPSTREAM_H_INCLUDED
