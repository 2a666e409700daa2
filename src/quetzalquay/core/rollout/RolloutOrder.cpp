#include "core/rollout/RolloutOrder.h"

#include "core/NameTable.h"

namespace quetzalquay {

namespace {

constexpr NameTable<RolloutStage, 4> kStageNames(
  { "trial", "shift", "completed", "rolled_back" });

} // namespace

std::string_view
NameOf(RolloutStage aStage)
{
  return kStageNames.NameOf(aStage);
}

std::optional<RolloutStage>
RolloutStageOf(std::string_view aName)
{
  return kStageNames.ValueOf(aName);
}

} // namespace quetzalquay
