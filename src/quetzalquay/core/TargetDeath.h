#ifndef QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED

#include "core/NameTable.h"
#include "core/RequestContent.h"

#include <string>
#include <vector>

namespace quetzalquay {

// How the death of a target was recognized.
enum class DeathEvidence
{
  // It refused a connection.
  Refused,
  // It is registered or answers as another incarnation.
  NewIncarnation,
  // Its registration ended without its leaving first.
  Unregistered,
};

// Name of an evidence in logs.
constexpr NameTable<DeathEvidence, 3> kDeathEvidenceNames({
  "refused",
  "new_incarnation",
  "unregistered",
});

// A recognized death of a target, for logs.
struct DeathReport
{
  std::string mTarget;
  std::string mIncarnation;
  DeathEvidence mEvidence = DeathEvidence::Refused;
  // Requests known so far to be lost with the target.
  std::vector<RequestContent> mRequests;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED
