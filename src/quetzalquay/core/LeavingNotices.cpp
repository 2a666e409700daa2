#include "core/LeavingNotices.h"

#include <algorithm>

namespace quetzalquay {

bool
LeavingNotices::Add(const std::string& aTarget, const std::string& aIncarnation)
{
  if (Has(aTarget, aIncarnation)) {
    return false;
  }
  mNotices[aTarget] = { aIncarnation, mNextNumber++ };
  if (mNotices.size() > kMaxCount) {
    mNotices.erase(std::min_element(mNotices.begin(),
                                    mNotices.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return aLeft.second.mNumber <
                                             aRight.second.mNumber;
                                    }));
  }
  return true;
}

void
LeavingNotices::OnDeclared(const std::string& aTarget,
                           const std::string& aIncarnation)
{
  const auto it = mNotices.find(aTarget);
  if (it == mNotices.end() || aIncarnation.empty()) {
    return;
  }
  if (it->second.mIncarnation.empty()) {
    it->second.mIncarnation = aIncarnation;
  } else if (it->second.mIncarnation != aIncarnation) {
    mNotices.erase(it);
  }
}

bool
LeavingNotices::Has(const std::string& aTarget,
                    const std::string& aIncarnation) const
{
  const auto it = mNotices.find(aTarget);
  return it != mNotices.end() &&
         (aIncarnation.empty() || it->second.mIncarnation.empty() ||
          it->second.mIncarnation == aIncarnation);
}

} // namespace quetzalquay
