#include "core/TargetReach.h"

namespace quetzalquay {

void
TargetReach::OnReached(const std::string&, const std::string&, Time)
{
}

void
TargetReach::OnNotReached(const std::string&, const std::string&, Time)
{
}

bool
TargetReach::IsCutOff(const std::string&, Time) const
{
  return false;
}

bool
TargetReach::IsSuspected(const std::string&, Time) const
{
  return false;
}

std::optional<std::string>
TargetReach::ChooseHost(const std::string&,
                        const std::vector<std::string>&,
                        Time)
{
  return std::nullopt;
}

void
TargetReach::OnPassedOn(const std::string&)
{
}

void
TargetReach::OnPassedOnEnded(const std::string&)
{
}

void
TargetReach::OnHostFailed(const std::string&, Time)
{
}

} // namespace quetzalquay
