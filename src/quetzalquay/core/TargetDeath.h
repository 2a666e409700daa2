#ifndef QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED
#define QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED

#include "core/NameTable.h"
#include "core/Time.h"

#include <cstdint>
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
};

// Name of an evidence in logs.
constexpr NameTable<DeathEvidence, 2> kDeathEvidenceNames({
  "refused",
  "new_incarnation",
});

// The death of a target and what followed for the requests lost with it.
struct DeathReport
{
  std::string mTarget;
  std::string mIncarnation;
  DeathEvidence mEvidence = DeathEvidence::Refused;
  // When the death was recognized.
  Time mAt;
  // Content hashes of the requests that were lost with the target.
  std::vector<std::uint64_t> mRequests;
  // Whether the death counts against these requests; false for a death that
  // belongs to a common failure.
  bool mBlamed = true;
};

} // namespace quetzalquay

#endif // QUETZALQUAY_CORE_TARGETDEATH_H_INCLUDED
